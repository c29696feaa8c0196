// Tracks the current run of each server and the load that belongs to it.

#include <algorithm>

#include "fleet/server_pool.h"

namespace calicodrift::fleet {

void ServerPool::apply(const Server& server, MonotonicTime now) {
  const auto [found, added] = servers_.try_emplace(server.id, prefillTokensPerMs_);
  Entry& entry = found->second;
  if (added) {
    beginRun(entry, server, now);
    return;
  }
  switch (orderOf(server.started, entry.server.started)) {
    case RunOrder::kSame:
      update(entry, server, now);
      return;
    case RunOrder::kLater:
      restart(entry, server, now);
      return;
    case RunOrder::kEarlier:
      return;
    case RunOrder::kUnknown:
      if (!entry.server.draining) {
        edit(entry).draining = true;
        refresh(entry, now);
        listener_(entry.server, ServerLoss::kUnplaced);
      }
      return;
  }
}

void ServerPool::applyRestart(const BackendId& id, Incarnation started,
                              std::vector<LoadedModel> models, MonotonicTime now) {
  Entry* entry = entryOf(id);
  if (entry == nullptr || orderOf(started, entry->server.started) != RunOrder::kLater) {
    return;
  }
  Server later = entry->server;
  later.started = started;
  later.models = std::move(models);
  restart(*entry, later, now);
}

bool ServerPool::isCurrent(const Server& server) const {
  const Server* known = find(server.id);
  return known == nullptr || known->started == server.started;
}

void ServerPool::beginRun(Entry& entry, const Server& server, MonotonicTime now) {
  // A listed server is assumed to be reachable until a probe or a connect fails.
  entry.health.probeSucceeded(now);
  entry.warmUntil = now + server.warmUp;
  edit(entry) = server;
  entry.key = keyOf(server);
  entry.server.draining = server.draining || leaving_.contains(entry.key);
  entry.track = trackOf(server);
  if (distances_ != nullptr) {
    distances_->addZone(server.zone);
  }
  refresh(entry, now);
}

void ServerPool::restart(Entry& entry, const Server& later, MonotonicTime now) {
  const Server earlier = entry.server;
  if (entry.outstanding > 0) {
    replacedRuns_[{earlier.id, incarnationOf(earlier)}] = {earlier.service, earlier.version,
                                                           entry.outstanding};
  }
  removeFromSets(entry);
  removeFromIndex(entry);
  removeFromActive(entry);
  edit(entry);
  entry = Entry(prefillTokensPerMs_);
  beginRun(entry, later, now);
  listener_(earlier, ServerLoss::kRestarted);
}

void ServerPool::update(Entry& entry, const Server& server, MonotonicTime now) {
  const bool draining = server.draining || leaving_.contains(entry.key);
  const bool startsDraining = draining && !entry.server.draining;
  const bool reloaded = entry.server.models != server.models;
  edit(entry) = server;
  entry.server.draining = draining;
  entry.track = trackOf(server);
  if (distances_ != nullptr) {
    distances_->addZone(server.zone);
  }
  if (reloaded) {
    // The pause was due to the load of weights, which has completed.
    entry.pausedUntil = {};
    entry.reloadedAt = now;
  }
  refresh(entry, now);
  if (reloaded) {
    listener_(server, ServerLoss::kReloaded);
  }
  if (startsDraining) {
    listener_(server, ServerLoss::kDraining);
  }
}

ServerPool::Entry* ServerPool::entryOf(const BackendId& id, const DispatchLoad& load) {
  Entry* entry = entryOf(id);
  const bool isCurrentRun = entry != nullptr && incarnationOf(entry->server) == load.incarnation;
  return isCurrentRun ? entry : nullptr;
}

void ServerPool::addLoad(const BackendId& id, const DispatchLoad& load, MonotonicTime now) {
  if (Entry* entry = entryOf(id, load)) {
    ++entry->outstanding;
    entry->outstandingTokens += load.tokens;
    entry->prefillTokens += load.prefillTokens;
    refresh(*entry, now);
  }
}

void ServerPool::endPrefill(const BackendId& id, const DispatchLoad& load, MonotonicTime now) {
  if (Entry* entry = entryOf(id, load)) {
    entry->prefillTokens -= std::min(entry->prefillTokens, load.prefillTokens);
    refresh(*entry, now);
  }
}

void ServerPool::removeLoad(const BackendId& id, const DispatchLoad& load, MonotonicTime now) {
  if (Entry* entry = entryOf(id, load)) {
    entry->outstanding -= std::min<std::size_t>(entry->outstanding, 1);
    entry->outstandingTokens -= std::min(entry->outstandingTokens, load.tokens);
    refresh(*entry, now);
    return;
  }
  const auto earlier = replacedRuns_.find({id, load.incarnation});
  if (earlier != replacedRuns_.end() && --earlier->second.outstanding == 0) {
    replacedRuns_.erase(earlier);
  }
}

}  // namespace calicodrift::fleet
