#include "fleet/server_backoffs.h"

#include <algorithm>

namespace calicodrift::fleet {

bool ServerBackoffs::add(const BackendId& server, MonotonicTime until, MonotonicTime now) {
  if (entries_.size() >= kMaxEntries && !entries_.contains(server)) {
    removeExpired(now);
  }
  if (entries_.size() >= kMaxEntries && !entries_.contains(server)) {
    const auto first = std::min_element(
        entries_.begin(), entries_.end(),
        [](const auto& one, const auto& two) { return one.second.end() < two.second.end(); });
    entries_.erase(first);
  }
  Entry& entry = entries_[server];
  if (until <= entry.backoffUntil) {
    return false;
  }
  entry.backoffUntil = until;
  return true;
}

std::optional<MonotonicTime> ServerBackoffs::excludedUntil(const BackendId& server,
                                                           MonotonicTime now) const {
  const auto found = entries_.find(server);
  if (found == entries_.end() || found->second.end() <= now) {
    return std::nullopt;
  }
  return found->second.end();
}

std::optional<MonotonicTime> ServerBackoffs::recordSent(const BackendId& server,
                                                        MonotonicTime now) {
  const auto found = entries_.find(server);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  found->second.trialUntil = now + kTrialTimeout;
  return found->second.end();
}

bool ServerBackoffs::recordAnswered(const BackendId& server, MonotonicTime sentAt) {
  const auto found = entries_.find(server);
  if (found == entries_.end() || sentAt < found->second.backoffUntil) {
    return false;
  }
  entries_.erase(found);
  return true;
}

std::vector<std::pair<BackendId, MonotonicTime>> ServerBackoffs::excluded(MonotonicTime now) const {
  std::vector<std::pair<BackendId, MonotonicTime>> servers;
  for (const auto& [id, entry] : entries_) {
    if (entry.end() > now) {
      servers.emplace_back(id, entry.end());
    }
  }
  return servers;
}

void ServerBackoffs::removeExpired(MonotonicTime now) {
  std::erase_if(entries_,
                [now](const auto& item) { return item.second.end() + kRetention <= now; });
}

}  // namespace calicodrift::fleet
