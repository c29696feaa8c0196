#include "fleet/leaving_servers.h"

#include <algorithm>

namespace calicodrift::fleet {

bool LeavingServers::note(ServerKey run) {
  const auto [found, added] = entries_.try_emplace(run);
  if (!added) {
    return false;
  }
  found->second.notedAt = ++changes_;
  if (entries_.size() > kMost) {
    dropLongestGone();
  }
  return true;
}

std::vector<ServerKey> LeavingServers::notedSince(std::uint64_t change) const {
  std::vector<ServerKey> runs;
  for (const auto& [run, entry] : entries_) {
    if (entry.notedAt > change) {
      runs.push_back(run);
    }
  }
  return runs;
}

void LeavingServers::forgetGone(const std::function<bool(ServerKey)>& isListed,
                                Milliseconds provenFor) {
  for (auto item = entries_.begin(); item != entries_.end();) {
    Milliseconds& unlistedFor = item->second.unlistedFor;
    unlistedFor = isListed(item->first) ? Milliseconds(0) : unlistedFor + provenFor;
    item = unlistedFor >= kForgetAfter ? entries_.erase(item) : std::next(item);
  }
}

void LeavingServers::dropLongestGone() {
  const auto isSooner = [](const auto& one, const auto& two) {
    return one.second.unlistedFor < two.second.unlistedFor ||
           (one.second.unlistedFor == two.second.unlistedFor &&
            one.second.notedAt > two.second.notedAt);
  };
  entries_.erase(std::max_element(entries_.begin(), entries_.end(), isSooner));
}

}  // namespace calicodrift::fleet
