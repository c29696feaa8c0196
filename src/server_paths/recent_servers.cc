#include "server_paths/recent_servers.h"

namespace calicodrift::server_paths {

void RecentServers::recordUse(const Endpoint& server, MonotonicTime now) {
  const auto known = places_.find(server);
  if (known != places_.end()) {
    known->second->second = now;
    uses_.splice(uses_.begin(), uses_, known->second);
    return;
  }
  uses_.emplace_front(server, now);
  places_.emplace(server, uses_.begin());
  if (uses_.size() > kMaxServers) {
    places_.erase(uses_.back().first);
    uses_.pop_back();
  }
}

std::vector<Endpoint> RecentServers::used(MonotonicTime now) const {
  std::vector<Endpoint> found;
  for (const auto& [server, at] : uses_) {
    if (now - at > kRecency) {
      break;
    }
    found.push_back(server);
  }
  return found;
}

}  // namespace calicodrift::server_paths
