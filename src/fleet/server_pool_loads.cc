// Load on the servers, of this node and of others, and what follows from it. Visits the active
// servers only.

#include <algorithm>
#include <utility>

#include "fleet/server_pool.h"
#include "routing/cost.h"

namespace calicodrift::fleet {
namespace {

/// A single node that cannot reach a server may itself be cut off.
constexpr std::size_t kMinPeersToDeprioritize = 2;
/// Slightly longer than the interval between two reports of the other nodes.
constexpr Milliseconds kPeerSuspicionDuration{600};

}  // namespace

void ServerPool::updateActive(Entry& entry) {
  const bool loaded = entry.outstanding > 0 || entry.outstandingTokens > 0 ||
                      entry.prefillTokens > 0 || entry.peers != ServerLoad{};
  const bool active =
      loaded || !entry.health.reachable() || entry.announcedWeights != WeightsVersion();
  if (active == entry.active) {
    return;
  }
  if (active) {
    entry.active = true;
    active_.emplace(entry.server.id, &entry);
  } else {
    removeFromActive(entry);
  }
}

void ServerPool::removeFromActive(Entry& entry) {
  if (std::exchange(entry.active, false)) {
    active_.erase(entry.server.id);
  }
}

KnownLoad ServerPool::knownLoad(const BackendId& id) const {
  KnownLoad load;
  load.reportedAt = peerLoadsAt_;
  const auto found = servers_.find(id);
  if (found != servers_.end()) {
    load.own = found->second.outstanding;
    load.others = found->second.peers.requests;
  }
  return load;
}

void ServerPool::announceLoads(const std::map<BackendId, WeightsVersion>& loads,
                               MonotonicTime now) {
  std::map<Entry*, WeightsVersion> announced;
  for (const auto& [id, entry] : active_) {
    if (entry->announcedWeights != WeightsVersion()) {
      announced[entry] = WeightsVersion();
    }
  }
  for (const auto& [id, weights] : loads) {
    if (Entry* entry = entryOf(id)) {
      announced[entry] = weights;
    }
  }
  for (const auto& [entry, weights] : announced) {
    if (entry->announcedWeights != weights) {
      entry->announcedWeights = weights;
      refresh(*entry, now);
    }
  }
}

std::vector<Server> ServerPool::unreachable() const {
  std::vector<Server> found;
  for (const auto& [id, entry] : active_) {
    ++visits_;
    if (!entry->health.reachable()) {
      found.push_back(entry->server);
    }
  }
  return found;
}

ServiceReach ServerPool::reachOf(std::string_view service) const {
  ServiceReach reach;
  reach.listed = counts_.listed(service);
  for (const auto& [id, entry] : active_) {
    ++visits_;
    if (entry->server.service == service && !entry->health.reachable()) {
      ++reach.unreachable;
      reach.unreachableElsewhere += entry->peers.unreachableFrom > 0 ? 1 : 0;
    }
  }
  return reach;
}

Milliseconds ServerPool::maxQueueWait() const {
  double longestMs = 0;
  for (const auto& [id, entry] : active_) {
    ++visits_;
    if (!entry->server.models.empty()) {
      longestMs = std::max(longestMs, routing::expectedWaitMs(toCandidate(*entry)));
    }
  }
  return Milliseconds(static_cast<std::int64_t>(longestMs));
}

ServerLoads ServerPool::ownLoads() const {
  ServerLoads loads;
  for (const auto& [id, entry] : active_) {
    ++visits_;
    const ServerLoad load{entry->outstanding, entry->outstandingTokens, entry->prefillTokens,
                          entry->health.reachable() ? std::size_t{0} : std::size_t{1},
                          awaitsWeights(*entry) ? entry->announcedWeights : WeightsVersion()};
    if (load != ServerLoad{}) {
      loads[entry->key] = load;
    }
  }
  return loads;
}

void ServerPool::setPeerLoads(const ServerLoads& loads, MonotonicTime now) {
  peerLoadsAt_ = now;
  std::vector<Entry*> withoutLoad;
  for (const auto& [id, entry] : active_) {
    ++visits_;
    if (entry->peers != ServerLoad{} && !loads.contains(entry->key)) {
      withoutLoad.push_back(entry);
    }
  }
  for (Entry* entry : withoutLoad) {
    applyPeerLoad(*entry, ServerLoad{}, now);
  }
  for (const auto& [key, load] : loads) {
    if (Entry* entry = entryOf(key)) {
      applyPeerLoad(*entry, load, now);
    }
  }
}

void ServerPool::applyPeerLoad(Entry& entry, const ServerLoad& load, MonotonicTime now) {
  const bool suspected = load.unreachableFrom >= kMinPeersToDeprioritize;
  if (suspected) {
    deprioritize(entry, now + kPeerSuspicionDuration);
  }
  if (suspected || load != entry.peers) {
    entry.peers = load;
    refresh(entry, now);
  }
}

}  // namespace calicodrift::fleet
