#include "fleet/full_servers.h"

namespace calicodrift::fleet {

bool FullServers::add(ServerKey server, MonotonicTime until, MonotonicTime now) {
  std::erase_if(entries_, [now](const auto& item) { return item.second.until <= now; });
  const auto found = entries_.find(server);
  if (until <= now || (found != entries_.end() && until < found->second.until + kSamePause)) {
    return false;
  }
  entries_[server] = {until, now, ++changes_};
  return true;
}

std::optional<MonotonicTime> FullServers::addedAt(ServerKey server, MonotonicTime now) const {
  const auto found = entries_.find(server);
  const bool inForce = found != entries_.end() && found->second.until > now;
  return inForce ? std::optional(found->second.addedAt) : std::nullopt;
}

std::vector<FullServer> FullServers::addedSince(std::uint64_t change, MonotonicTime now) const {
  std::vector<FullServer> added;
  for (const auto& [server, entry] : entries_) {
    if (entry.recordedAt > change && entry.until > now) {
      added.push_back({server, entry.until});
    }
  }
  return added;
}

}  // namespace calicodrift::fleet
