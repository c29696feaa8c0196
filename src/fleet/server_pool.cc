#include "fleet/server_pool.h"

#include <algorithm>
#include <utility>

#include "routing/cost.h"

namespace calicodrift::fleet {

std::string_view toString(ServerLoss loss) {
  switch (loss) {
    case ServerLoss::kRemoved:
      return "removed";
    case ServerLoss::kDraining:
      return "draining";
    case ServerLoss::kWithheld:
      return "withheld";
    case ServerLoss::kUnreachable:
      return "unreachable";
    case ServerLoss::kEjected:
      return "ejected";
    case ServerLoss::kReloaded:
      return "reloaded";
    case ServerLoss::kRestarted:
      return "restarted";
    case ServerLoss::kUnplaced:
      return "unplaced";
  }
  return "removed";
}

void ServerPool::removeUnlisted(const std::set<BackendId>& listed) {
  std::vector<BackendId> gone;
  for (const auto& [id, entry] : servers_) {
    if (!listed.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const BackendId& id : gone) {
    remove(id);
  }
}

void ServerPool::withhold(const BackendId& id, MonotonicTime now) {
  Entry* entry = entryOf(id);
  if (entry == nullptr || entry->server.draining) {
    return;
  }
  edit(*entry).draining = true;
  refresh(*entry, now);
  listener_(entry->server, ServerLoss::kWithheld);
}

void ServerPool::remove(const BackendId& id) {
  Entry* entry = entryOf(id);
  if (entry == nullptr) {
    return;
  }
  removeFromSets(*entry);
  removeFromIndex(*entry);
  removeFromActive(*entry);
  const Server server = edit(*entry);
  servers_.erase(id);
  listener_(server, ServerLoss::kRemoved);
}

void ServerPool::setMinWeights(const ModelId& model, WeightsVersion least, MonotonicTime now) {
  WeightsVersion& known = minWeights_[model];
  if (known == least) {
    return;
  }
  known = least;
  for (auto& [id, entry] : servers_) {
    refresh(entry, now);
  }
}

void ServerPool::applyWeights(const BackendId& id, const ModelId& model, WeightsVersion weights,
                              MonotonicTime now) {
  Entry* entry = entryOf(id);
  if (entry == nullptr) {
    return;
  }
  const std::vector<LoadedModel>& models = entry->server.models;
  const auto outdated = std::find_if(models.begin(), models.end(), [&](const LoadedModel& loaded) {
    // The list lags behind answers, never the reverse.
    return loaded.model == model && loaded.weights < weights;
  });
  if (outdated == models.end()) {
    return;
  }
  const auto place = outdated - models.begin();
  edit(*entry).models[static_cast<std::size_t>(place)].weights = weights;
  entry->reloadedAt = now;
  refresh(*entry, now);
  listener_(entry->server, ServerLoss::kReloaded);
}

void ServerPool::markUnreachable(const BackendId& id, MonotonicTime now) {
  Entry* entry = entryOf(id);
  if (entry != nullptr && entry->health.becameUnreachable(now)) {
    refresh(*entry, now);
    listener_(entry->server, ServerLoss::kUnreachable);
  }
}

void ServerPool::recordFailedConnect(const BackendId& id, MonotonicTime begunAt,
                                     MonotonicTime now) {
  const Entry* entry = entryOf(id);
  if (entry != nullptr && entry->heardAt <= begunAt) {
    markUnreachable(id, now);
  }
}

void ServerPool::recordHeard(const BackendId& id, MonotonicTime now) {
  if (Entry* entry = entryOf(id)) {
    entry->heardAt = now;
  }
}

void ServerPool::probeSucceeded(const BackendId& id, MonotonicTime now) {
  if (Entry* entry = entryOf(id)) {
    entry->health.probeSucceeded(now);
    refresh(*entry, now);
  }
}

void ServerPool::pause(const BackendId& id, MonotonicTime until, MonotonicTime now) {
  if (Entry* entry = entryOf(id)) {
    deprioritize(*entry, until);
    refresh(*entry, now);
  }
}

void ServerPool::deprioritize(Entry& entry, MonotonicTime until) {
  entry.pausedUntil = std::max(entry.pausedUntil, until);
  pauseExpiries_.emplace(until, entry.server.id);
}

void ServerPool::recordSuccess(const BackendId& id) {
  if (Entry* entry = entryOf(id)) {
    entry->health.requestSucceeded();
  }
}

void ServerPool::recordFailure(const BackendId& id, MonotonicTime now) {
  Entry* entry = entryOf(id);
  if (entry == nullptr || !entry->health.requestFailed(now)) {
    return;
  }
  // Ejections expire by time, since failed requests, not failed probes, caused them.
  pauseExpiries_.emplace(entry->health.ejectedUntil(), id);
  refresh(*entry, now);
  listener_(entry->server, ServerLoss::kEjected);
}

void ServerPool::withdrawFailures(const BackendId& id, MonotonicTime now) {
  if (Entry* entry = entryOf(id)) {
    entry->health.withdrawFailures();
    refresh(*entry, now);
  }
}

const routing::CandidateSet& ServerPool::candidates(std::string_view service, const ModelId& model,
                                                    MonotonicTime now, Track track) {
  static const routing::CandidateSet kNone;
  expirePauses(now);
  expireDistances(now);
  const auto found = sets_.find(SetKey{std::string(service), model, track});
  if (found == sets_.end()) {
    return kNone;
  }
  const CandidateSets& sets = found->second;
  return sets.preferred.empty() ? sets.fallback : sets.preferred;
}

const Server* ServerPool::find(const BackendId& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second.server;
}

const Server* ServerPool::findAt(const Endpoint& endpoint) const {
  const auto found = byEndpoint_.find(endpoint);
  return found == byEndpoint_.end() ? nullptr : find(found->second);
}

const Server* ServerPool::findRun(ServerKey key) const {
  const Entry* entry = entryOf(key);
  return entry == nullptr ? nullptr : &entry->server;
}

void ServerPool::visit(const std::function<void(const Server&)>& visitor) const {
  for (const auto& [id, entry] : servers_) {
    visitor(entry.server);
  }
}

void ServerPool::setMemoryTokens(const std::string& service, std::size_t tokens,
                                 MonotonicTime now) {
  std::size_t& known = memoryTokens_[service];
  if (known == tokens) {
    return;
  }
  known = tokens;
  for (auto& [id, entry] : servers_) {
    refresh(entry, now);
  }
}

void ServerPool::setPauseBound(const std::string& service, Milliseconds bound, MonotonicTime now) {
  Milliseconds& known = pauseBounds_[service];
  if (known == bound) {
    return;
  }
  known = bound;
  for (auto& [id, entry] : servers_) {
    refresh(entry, now);
  }
}

void ServerPool::observeConnect(const BackendId& id, double milliseconds, MonotonicTime now) {
  const Entry* entry = entryOf(id);
  if (distances_ == nullptr || entry == nullptr) {
    return;
  }
  const ZoneId zone = entry->server.zone;
  if (!distances_->observe(zone, milliseconds, now)) {
    return;
  }
  for (auto& [otherId, other] : servers_) {
    if (other.server.zone == zone) {
      refresh(other, now);
    }
  }
}

double ServerPool::rttMsTo(const Server& server, MonotonicTime now) const {
  return distances_ == nullptr ? 0 : distances_->distanceTo(server.zone, now).rttMs;
}

void ServerPool::observeFirstToken(const BackendId& id, std::size_t tokens, double milliseconds) {
  if (Entry* entry = entryOf(id)) {
    entry->prefillRate.observe(tokens, milliseconds);
  }
}

ServerPool::Entry* ServerPool::entryOf(const BackendId& id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

ServerPool::Entry* ServerPool::entryOf(ServerKey key) const {
  const auto found = byKey_.find(key);
  return found == byKey_.end() ? nullptr : found->second;
}

Server& ServerPool::edit(Entry& entry) {
  if (std::exchange(entry.counted, false)) {
    counts_.remove(entry.server);
  }
  return entry.server;
}

bool ServerPool::usable(const Entry& entry) const {
  return !entry.server.draining && entry.health.reachable();
}

bool ServerPool::meetsMinWeights(const LoadedModel& loaded) const {
  const auto least = minWeights_.find(loaded.model);
  return least == minWeights_.end() || loaded.weights >= least->second;
}

bool ServerPool::awaitsWeights(const Entry& entry) {
  const WeightsVersion announced = std::max(entry.announcedWeights, entry.peers.loading);
  return std::any_of(entry.server.models.begin(), entry.server.models.end(),
                     [announced](const LoadedModel& loaded) { return loaded.weights < announced; });
}

std::vector<ServerPool::SetKey> ServerPool::eligibleSetKeys(const Entry& entry) const {
  std::vector<SetKey> keys;
  if (!usable(entry) || !entry.track) {
    return keys;
  }
  if (entry.server.models.empty()) {
    keys.push_back({entry.server.service, ModelId(), *entry.track});
  }
  for (const LoadedModel& loaded : entry.server.models) {
    if (meetsMinWeights(loaded)) {
      keys.push_back({entry.server.service, loaded.model, *entry.track});
    }
  }
  return keys;
}

routing::Candidate ServerPool::toCandidate(const Entry& entry) const {
  routing::Candidate candidate;
  candidate.id = entry.server.id;
  candidate.incarnation = incarnationOf(entry.server);
  candidate.outstanding = entry.outstanding;
  candidate.outstandingTokens = entry.outstandingTokens;
  candidate.sentPrefillTokens = entry.prefillTokens;
  candidate.prefillTokensPerMs = entry.prefillRate.tokensPerMs();
  candidate.slots = entry.server.slots;
  const auto memory = memoryTokens_.find(entry.server.service);
  candidate.memoryTokens = memory == memoryTokens_.end() ? 0 : memory->second;
  const auto pause = pauseBounds_.find(entry.server.service);
  candidate.maxStreamPauseMs = pause == pauseBounds_.end() ? 0 : toMilliseconds(pause->second);
  candidate.peerRequests = entry.peers.requests;
  candidate.peerTokens = entry.peers.tokens;
  candidate.peerPrefillTokens = entry.peers.prefillTokens;
  return candidate;
}

void ServerPool::updateIndex(Entry& entry) {
  if (entry.indexedAs == entry.server.endpoint && entry.indexedKey == entry.key) {
    return;
  }
  removeFromIndex(entry);
  entry.indexedAs = entry.server.endpoint;
  byEndpoint_[entry.server.endpoint] = entry.server.id;
  entry.indexedKey = entry.key;
  byKey_[entry.key] = &entry;
}

void ServerPool::removeFromIndex(Entry& entry) {
  if (entry.indexedKey) {
    byKey_.erase(*entry.indexedKey);
    entry.indexedKey.reset();
  }
  if (!entry.indexedAs) {
    return;
  }
  const auto found = byEndpoint_.find(*entry.indexedAs);
  if (found != byEndpoint_.end() && found->second == entry.server.id) {
    byEndpoint_.erase(found);
  }
  entry.indexedAs.reset();
}

void ServerPool::refresh(Entry& entry, MonotonicTime now) {
  ++visits_;
  if (!std::exchange(entry.counted, true)) {
    counts_.add(entry.server);
  }
  updateIndex(entry);
  updateActive(entry);
  const bool backedOff = backoffs_.excludedUntil(entry.server.id, now).has_value();
  std::vector<SetKey> keys = backedOff ? std::vector<SetKey>() : eligibleSetKeys(entry);
  if (keys != entry.memberOf) {
    removeFromSets(entry);
  }
  const ZoneDistance distance =
      distances_ == nullptr ? ZoneDistance{} : distances_->distanceTo(entry.server.zone, now);
  const bool fallback =
      entry.health.ejected(now) || now < entry.pausedUntil || awaitsWeights(entry);
  for (const SetKey& key : keys) {
    CandidateSets& sets = sets_[key];
    (fallback ? sets.preferred : sets.fallback).erase(entry.server.id);
    routing::Candidate candidate = toCandidate(entry);
    candidate.rttMs = distance.rttMs;
    candidate.nearby = distance.nearby;
    for (const LoadedModel& loaded : entry.server.models) {
      if (loaded.model == key.model) {
        candidate.weights = loaded.weights;
      }
    }
    (fallback ? sets.fallback : sets.preferred).put(std::move(candidate));
  }
  entry.memberOf = std::move(keys);
}

void ServerPool::removeFromSets(Entry& entry) {
  for (const SetKey& key : entry.memberOf) {
    const auto found = sets_.find(key);
    found->second.preferred.erase(entry.server.id);
    found->second.fallback.erase(entry.server.id);
    if (found->second.preferred.empty() && found->second.fallback.empty()) {
      sets_.erase(found);
    }
  }
  entry.memberOf.clear();
}

void ServerPool::expireDistances(MonotonicTime now) {
  if (distances_ == nullptr || !distances_->dropExpired(now)) {
    return;
  }
  // Zones without a region use the RTT of the farthest zone, so every entry may be affected.
  for (auto& [id, entry] : servers_) {
    refresh(entry, now);
  }
}

void ServerPool::expirePauses(MonotonicTime now) {
  while (!pauseExpiries_.empty() && pauseExpiries_.begin()->first <= now) {
    const BackendId id = pauseExpiries_.begin()->second;
    pauseExpiries_.erase(pauseExpiries_.begin());
    if (Entry* entry = entryOf(id)) {
      refresh(*entry, now);
    }
  }
}

LoadGuard::LoadGuard(ServerPool& pool, BackendId id, DispatchLoad load)
    : pool_(pool.self()), id_(std::move(id)), load_(load) {
  pool.addLoad(id_, load_, monotonicNow());
}

LoadGuard::~LoadGuard() {
  endPrefill();
  if (const auto pool = pool_.lock()) {
    (*pool)->removeLoad(id_, load_, monotonicNow());
  }
}

void LoadGuard::endPrefill() {
  if (std::exchange(prefilling_, false)) {
    if (const auto pool = pool_.lock()) {
      (*pool)->endPrefill(id_, load_, monotonicNow());
    }
  }
}

}  // namespace calicodrift::fleet
