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
  }
  return "unreachable";
}

void BackendTable::applyMachineList(const std::vector<platform::Machine>& machines) {
  std::set<BackendId> listed;
  for (const platform::Machine& machine : machines) {
    listed.insert(machine.id);
    Backend& backend = backends_[machine.id];
    const bool wasLeaving = backend.machine.terminating;
    if (backend.machine.endpoint != machine.endpoint) {
      // Another process: nothing is known of it until it was probed.
      backend.alive = false;
    }
    backend.machine = machine;
    refresh(backend);
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

void BackendTable::applyProbe(const BackendId& id, const ProbeResult& result) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return;
  }
  Backend& backend = found->second;
  const bool known = backend.incarnation != Incarnation();
  if (known && backend.incarnation != result.incarnation) {
    listener_(id, BackendLoss::kRestarted);
  } else if (known && backend.weights != result.weights) {
    listener_(id, BackendLoss::kReloaded);
  }
  backend.incarnation = result.incarnation;
  backend.weights = result.weights;
  backend.reportedRequests = result.reportedRequests;
  backend.accepting = result.accepting;
  backend.reportedPrefillTokens = result.reportedPrefillTokens;
  backend.sentPrefillTokens = 0;
  backend.alive = true;
  refresh(backend);
}

void BackendTable::applyProbeFailure(const BackendId& id) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.alive) {
    found->second.alive = false;
    refresh(found->second);
    listener_(id, BackendLoss::kUnreachable);
  }
}

void BackendTable::markOutdated(const BackendId& id) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    found->second.accepting = false;
    refresh(found->second);
  }
}

std::vector<platform::Machine> BackendTable::machines() const {
  std::vector<platform::Machine> all;
  all.reserve(backends_.size());
  for (const auto& entry : backends_) {
    all.push_back(entry.second.machine);
  }
  return all;
}

const routing::CandidateSet& BackendTable::engines(const ModelId& model,
                                                   WeightsVersion weights) const {
  return findSet({platform::MachineKind::kEngine, model.value(), weights});
}

std::map<WeightsVersion, std::size_t> BackendTable::engineVersions(const ModelId& model) const {
  std::map<WeightsVersion, std::size_t> versions;
  for (const auto& [key, candidates] : sets_) {
    const auto& [kind, serves, weights] = key;
    if (kind == platform::MachineKind::kEngine && serves == model.value() && !candidates.empty()) {
      versions[weights] = candidates.size();
    }
  }
  return versions;
}

WeightsVersion BackendTable::weightsOf(const BackendId& id) const {
  const auto found = backends_.find(id);
  const bool alive = found != backends_.end() && found->second.alive;
  return alive ? found->second.weights : WeightsVersion();
}

const routing::CandidateSet& BackendTable::services(std::string_view service) const {
  return findSet({platform::MachineKind::kService, std::string(service), WeightsVersion()});
}

const routing::CandidateSet& BackendTable::findSet(const SetKey& key) const {
  static const routing::CandidateSet kNone;
  const auto found = sets_.find(key);
  return found == sets_.end() ? kNone : found->second;
}

void BackendTable::refresh(Backend& backend) {
  const bool listed = usable(backend);
  const SetKey key = keyOf(backend);
  if (backend.listedIn && (!listed || *backend.listedIn != key)) {
    unlist(backend);
  }
  if (listed) {
    sets_[key].put(toCandidate(backend));
    backend.listedIn = key;
  }
}

void BackendTable::unlist(Backend& backend) {
  if (!backend.listedIn) {
    return;
  }
  const auto found = sets_.find(*backend.listedIn);
  found->second.erase(backend.machine.id);
  if (found->second.empty()) {
    sets_.erase(found);
  }
  backend.listedIn.reset();
}

BackendTable::SetKey BackendTable::keyOf(const Backend& backend) {
  const bool engine = backend.machine.kind == platform::MachineKind::kEngine;
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
    refresh(found->second);
  }
}

void BackendTable::addPrefill(const BackendId& id, std::size_t tokens) {
  const auto found = backends_.find(id);
  if (found != backends_.end()) {
    found->second.sentPrefillTokens += tokens;
    refresh(found->second);
  }
}

void BackendTable::removeOutstanding(const BackendId& id, std::size_t tokens) {
  const auto found = backends_.find(id);
  if (found != backends_.end() && found->second.outstanding > 0) {
    --found->second.outstanding;
    found->second.outstandingTokens -= std::min(found->second.outstandingTokens, tokens);
    refresh(found->second);
  }
}

bool BackendTable::usable(const Backend& backend) {
  return backend.alive && backend.accepting && backend.machine.ready && backend.machine.serving &&
         !backend.machine.terminating;
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
