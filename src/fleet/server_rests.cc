#include "fleet/server_rests.h"

#include <algorithm>

namespace calicodrift::fleet {

bool ServerRests::note(const BackendId& server, MonotonicTime until, MonotonicTime now) {
  if (entries_.size() >= kMost && !entries_.contains(server)) {
    forgetOver(now);
  }
  if (entries_.size() >= kMost && !entries_.contains(server)) {
    const auto first = std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& one, const auto& two) { return one.second.end() < two.second.end(); });
    entries_.erase(first);
  }
  Entry& entry = entries_[server];
  if (until <= entry.restUntil) {
    return false;
  }
  entry.restUntil = until;
  return true;
}

std::optional<MonotonicTime> ServerRests::excludedUntil(const BackendId& server,
                                                        MonotonicTime now) const {
  const auto found = entries_.find(server);
  if (found == entries_.end() || found->second.end() <= now) {
    return std::nullopt;
  }
  return found->second.end();
}

std::optional<MonotonicTime> ServerRests::noteSent(const BackendId& server, MonotonicTime now) {
  const auto found = entries_.find(server);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  found->second.trialUntil = now + kTrialTime;
  return found->second.end();
}

bool ServerRests::noteAnswered(const BackendId& server, MonotonicTime sentAt) {
  const auto found = entries_.find(server);
  if (found == entries_.end() || sentAt < found->second.restUntil) {
    return false;
  }
  entries_.erase(found);
  return true;
}

std::vector<std::pair<BackendId, MonotonicTime>> ServerRests::excluded(MonotonicTime now) const {
  std::vector<std::pair<BackendId, MonotonicTime>> servers;
  for (const auto& [id, entry] : entries_) {
    if (entry.end() > now) {
      servers.emplace_back(id, entry.end());
    }
  }
  return servers;
}

void ServerRests::forgetOver(MonotonicTime now) {
  std::erase_if(entries_,
                [now](const auto& item) { return item.second.end() + kForgetAfter <= now; });
}

}  // namespace calicodrift::fleet
