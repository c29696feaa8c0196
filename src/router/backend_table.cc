#include "router/backend_table.h"

#include <algorithm>
#include <set>

namespace calicodrift::router {

std::string_view toString(BackendLoss loss) {
  switch (loss) {
    case BackendLoss::kRemoved:
      return "removed";
    case BackendLoss::kLeaving:
      return "leaving";
    case BackendLoss::kUnreachable:
      return "unreachable";
    case BackendLoss::kRestarted:
      return "restarted";
    case BackendLoss::kReloaded:
      return "reloaded";
    case BackendLoss::kEjected:
      return "ejected";
  }
  return "unreachable";
}

void BackendTable::applyMachineList(const std::vector<object_api::Machine>& machines) {
  std::set<BackendId> listed;
  for (const object_api::Machine& machine : machines) {
    listed.insert(machine.id);
    Backend& backend = backends_[machine.id];
    const bool wasLeaving = backend.machine.terminating;
    if (backend.machine.endpoint != machine.endpoint) {
      // Another process: nothing is known of it until it was probed.
      backend.health.forget();
    }
    backend.machine = machine;
    refresh(backend, monotonicNow());
    if (machine.terminating && !wasLeaving) {
      listener_(machine.id, BackendLoss::kLeaving);
    }
  }
  std::vector<BackendId> removed;
  for (const auto& entry : backends_) {
    if (!listed.contains(entry.first)) {
      removed.push_back(entry.first);
    }
  }
  for (const BackendId& id : removed) {
    unlist(backends_[id]);
    backends_.erase(id);
    listener_(id, BackendLoss::kRemoved);
  }
}

void BackendTable::applyProbe(const BackendId& id, const ProbeResult& result, MonotonicTime now) {
  if (result.id != id) {
    // Another process has this address: the one that was meant is gone.
    applyProbeFailure(id, now);
    return;
  }
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  Backend& backend = found->second;
  setIdentity(backend, result.incarnation, result.weights);
  backend.reportedRequests = result.reportedRequests;
  if (result.draining && !backend.draining) {
    listener_(id, BackendLoss::kLeaving);
  }
  backend.draining = result.draining;
  backend.accepting = result.accepting;
  backend.reportedPrefillTokens = result.reportedPrefillTokens;
  backend.sentPrefillTokens = 0;
  backend.health.probeSucceeded(now);
  refresh(backend, now);
}

void BackendTable::applyProbeFailure(const BackendId& id, MonotonicTime now) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.health.becameUnreachable(now)) {
    refresh(found->second, now);
    listener_(id, BackendLoss::kUnreachable);
  }
}

void BackendTable::markOutdated(const BackendId& id) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    found->second.accepting = false;
    refresh(found->second, monotonicNow());
  }
}

void BackendTable::applyAnswer(const BackendId& id, Incarnation incarnation,
                               WeightsVersion weights) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    setIdentity(found->second, incarnation, weights);
    refresh(found->second, monotonicNow());
  }
}

void BackendTable::setIdentity(Backend& backend, Incarnation incarnation, WeightsVersion weights) {
  const bool known = backend.incarnation != Incarnation();
  const bool restarted = known && backend.incarnation != incarnation;
  const bool reloaded = known && backend.weights != weights;
  backend.incarnation = incarnation;
  backend.weights = weights;
  if (restarted) {
    backend.health.restarted();
    listener_(backend.machine.id, BackendLoss::kRestarted);
  } else if (reloaded) {
    listener_(backend.machine.id, BackendLoss::kReloaded);
  }
}

void BackendTable::recordSuccess(const BackendId& id) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    found->second.health.requestSucceeded();
  }
}

void BackendTable::recordFailure(const BackendId& id, MonotonicTime now) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.health.requestFailed(now)) {
    refresh(found->second, now);
    listener_(id, BackendLoss::kEjected);
  }
}

std::vector<object_api::Machine> BackendTable::machines() const {
  std::vector<object_api::Machine> all;
  all.reserve(backends_.size());
  for (const auto& entry : backends_) {
    all.push_back(entry.second.machine);
  }
  return all;
}

const routing::CandidateSet& BackendTable::engines(const ModelId& model,
                                                   WeightsVersion weights) const {
  return findSet({object_api::MachineKind::kEngine, model.value(), weights});
}

std::map<WeightsVersion, std::size_t> BackendTable::engineVersions(const ModelId& model) const {
  std::map<WeightsVersion, std::size_t> versions;
  for (const auto& [key, sets] : sets_) {
    if (key.kind == object_api::MachineKind::kEngine && key.serves == model.value()) {
      versions[key.weights] = sets.healthy.size() + sets.ejected.size();
    }
  }
  return versions;
}

WeightsVersion BackendTable::weightsOf(const BackendId& id) const {
  const auto found = backends_.find(id);
  const bool alive = found != backends_.end() && found->second.health.reachable();
  return alive ? found->second.weights : WeightsVersion();
}

const routing::CandidateSet& BackendTable::services(std::string_view service) const {
  return findSet({object_api::MachineKind::kService, std::string(service), WeightsVersion()});
}

const routing::CandidateSet& BackendTable::findSet(const SetKey& key) const {
  static const routing::CandidateSet kNone;
  const auto found = sets_.find(key);
  if (found == sets_.end()) {
    return kNone;
  }
  return found->second.healthy.empty() ? found->second.ejected : found->second.healthy;
}

void BackendTable::refresh(Backend& backend, MonotonicTime now) {
  const bool listed = usable(backend);
  const Listing listing{keyOf(backend), backend.health.ejected(now)};
  if (backend.listedIn && (!listed || *backend.listedIn != listing)) {
    unlist(backend);
  }
  if (!listed) {
    return;
  }
  CandidateSets& sets = sets_[listing.key];
  (listing.ejected ? sets.ejected : sets.healthy).put(toCandidate(backend));
  backend.listedIn = listing;
}

void BackendTable::unlist(Backend& backend) {
  if (!backend.listedIn) {
    return;
  }
  const auto found = sets_.find(backend.listedIn->key);
  CandidateSets& sets = found->second;
  (backend.listedIn->ejected ? sets.ejected : sets.healthy).erase(backend.machine.id);
  if (sets.healthy.empty() && sets.ejected.empty()) {
    sets_.erase(found);
  }
  backend.listedIn.reset();
}

BackendTable::SetKey BackendTable::keyOf(const Backend& backend) {
  const bool engine = backend.machine.kind == object_api::MachineKind::kEngine;
  return {backend.machine.kind, backend.machine.serves,
          engine ? backend.weights : WeightsVersion()};
}

std::optional<Endpoint> BackendTable::endpointOf(const BackendId& id) const {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return std::nullopt;
  }
  return found->second.machine.endpoint;
}

void BackendTable::addOutstanding(const BackendId& id, std::size_t tokens) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    ++found->second.outstanding;
    found->second.outstandingTokens += tokens;
    refresh(found->second, monotonicNow());
  }
}

void BackendTable::addPrefill(const BackendId& id, std::size_t tokens) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    found->second.sentPrefillTokens += tokens;
    refresh(found->second, monotonicNow());
  }
}

void BackendTable::removeOutstanding(const BackendId& id, std::size_t tokens) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.outstanding > 0) {
    --found->second.outstanding;
    found->second.outstandingTokens -= std::min(found->second.outstandingTokens, tokens);
    refresh(found->second, monotonicNow());
  }
}

std::size_t BackendTable::outstanding() const {
  std::size_t sum = 0;
  for (const auto& entry : backends_) {
    sum += entry.second.outstanding;
  }
  return sum;
}

bool BackendTable::usable(const Backend& backend) {
  return backend.health.reachable() && backend.accepting && backend.machine.ready &&
         backend.machine.serving && !backend.machine.terminating && !backend.draining;
}

routing::Candidate BackendTable::toCandidate(const Backend& backend) {
  routing::Candidate candidate;
  candidate.id = backend.machine.id;
  candidate.incarnation = backend.incarnation;
  candidate.weights = backend.weights;
  candidate.outstanding = backend.outstanding;
  candidate.outstandingTokens = backend.outstandingTokens;
  candidate.reportedRequests = backend.reportedRequests;
  candidate.reportedPrefillTokens = backend.reportedPrefillTokens;
  candidate.sentPrefillTokens = backend.sentPrefillTokens;
  return candidate;
}

OutstandingGuard::OutstandingGuard(BackendTable& table, BackendId id, std::size_t tokens)
    : table_(table), id_(std::move(id)), tokens_(tokens) {
  table_.addOutstanding(id_, tokens_);
}

OutstandingGuard::~OutstandingGuard() {
  table_.removeOutstanding(id_, tokens_);
}

}  // namespace calicodrift::router
