// Notices that servers send in their answers; they outlive the servers' entries in the list.

#include <algorithm>
#include <optional>

#include "fleet/server_pool.h"

namespace calicodrift::fleet {

bool ServerPool::recordLeaving(ServerKey run, MonotonicTime now) {
  if (!leaving_.add(run)) {
    return false;
  }
  Entry* entry = entryOf(run);
  if (entry != nullptr && !entry->server.draining) {
    edit(*entry).draining = true;
    refresh(*entry, now);
    listener_(entry->server, ServerLoss::kDraining);
  }
  return true;
}

void ServerPool::expireNotices(Milliseconds freshFor, MonotonicTime now) {
  backoffs_.removeExpired(now);
  if (!leaving_.empty()) {
    leaving_.removeUnlisted([this](ServerKey run) { return findRun(run) != nullptr; }, freshFor);
  }
}

void ServerPool::recordBackoff(const BackendId& id, MonotonicTime until, MonotonicTime now) {
  if (!backoffs_.add(id, until, now)) {
    return;
  }
  pauseExpiries_.emplace(until, id);
  if (Entry* entry = entryOf(id)) {
    refresh(*entry, now);
  }
}

bool ServerPool::recordFull(ServerKey run, MonotonicTime until, Milliseconds spread,
                            MonotonicTime now) {
  if (!full_.add(run, until, now)) {
    return false;
  }
  if (const Server* server = findRun(run)) {
    recordBackoff(server->id, until + spread, now);
  }
  return true;
}

bool ServerPool::recordSent(const BackendId& id, MonotonicTime now) {
  if (backoffs_.empty()) {
    return false;
  }
  const std::optional<MonotonicTime> until = backoffs_.recordSent(id, now);
  Entry* entry = entryOf(id);
  if (until && entry != nullptr) {
    pauseExpiries_.emplace(*until, id);
    refresh(*entry, now);
  }
  return until.has_value();
}

void ServerPool::recordAnswered(const BackendId& id, MonotonicTime sentAt, MonotonicTime now) {
  if (backoffs_.empty() || !backoffs_.recordAnswered(id, sentAt)) {
    return;
  }
  if (Entry* entry = entryOf(id)) {
    refresh(*entry, now);
  }
}

BackedOffServers ServerPool::backedOffServers(std::string_view service, const ModelId& model,
                                              MonotonicTime now) const {
  BackedOffServers backedOff;
  for (const auto& [id, end] : backoffs_.excluded(now)) {
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
      continue;
    }
    const std::vector<SetKey> keys = eligibleSetKeys(found->second);
    const bool matches = std::any_of(keys.begin(), keys.end(), [&](const SetKey& key) {
      return key.service == service && key.model == model;
    });
    if (matches) {
      ++backedOff.count;
      backedOff.firstEnd = std::min(end, backedOff.firstEnd.value_or(end));
    }
  }
  return backedOff;
}

}  // namespace calicodrift::fleet
