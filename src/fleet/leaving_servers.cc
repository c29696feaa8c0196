#include "fleet/leaving_servers.h"

#include <algorithm>

namespace calicodrift::fleet {

bool LeavingServers::add(ServerKey run) {
  const auto [found, added] = entries_.try_emplace(run);
  if (!added) {
    return false;
  }
  found->second.recordedAt = ++changes_;
  if (entries_.size() > kMaxEntries) {
    evictLongestUnlisted();
  }
  return true;
}

std::vector<ServerKey> LeavingServers::addedSince(std::uint64_t change) const {
  std::vector<ServerKey> runs;
  for (const auto& [run, entry] : entries_) {
    if (entry.recordedAt > change) {
      runs.push_back(run);
    }
  }
  return runs;
}

void LeavingServers::removeUnlisted(const std::function<bool(ServerKey)>& isListed,
                                    Milliseconds freshFor) {
  for (auto item = entries_.begin(); item != entries_.end();) {
    Milliseconds& unlistedFor = item->second.unlistedFor;
    unlistedFor = isListed(item->first) ? Milliseconds(0) : unlistedFor + freshFor;
    item = unlistedFor >= kRetention ? entries_.erase(item) : std::next(item);
  }
}

void LeavingServers::evictLongestUnlisted() {
  const auto isKeptLonger = [](const auto& one, const auto& two) {
    return one.second.unlistedFor < two.second.unlistedFor ||
           (one.second.unlistedFor == two.second.unlistedFor &&
            one.second.recordedAt > two.second.recordedAt);
  };
  entries_.erase(std::max_element(entries_.begin(), entries_.end(), isKeptLonger));
}

}  // namespace calicodrift::fleet
