#include "rollout/weights_targets.h"

namespace calicodrift::rollout {

void WeightsTargets::name(const ModelId& model, WeightsVersion version, MonotonicTime since,
                          MonotonicTime heardAt) {
  // Known versions keep the times at which they were first heard of.
  namings_[model].emplace(version, Naming{since, heardAt});
}

std::optional<WeightsVersion> WeightsTargets::newest(const ModelId& model) const {
  const auto found = namings_.find(model);
  if (found == namings_.end() || found->second.empty()) {
    return std::nullopt;
  }
  return found->second.rbegin()->first;
}

WeightsVersion WeightsTargets::least(const ModelId& model, MonotonicTime now) const {
  const auto found = namings_.find(model);
  if (found == namings_.end()) {
    return {};
  }
  WeightsVersion least;
  for (const auto& [version, naming] : found->second) {
    if (now - naming.since >= term_) {
      least = version;
    }
  }
  return least;
}

const WeightsTargets::Naming* WeightsTargets::successorOf(const ModelId& model,
                                                          WeightsVersion version) const {
  const auto found = namings_.find(model);
  if (found == namings_.end()) {
    return nullptr;
  }
  const auto successor = found->second.upper_bound(version);
  return successor == found->second.end() ? nullptr : &successor->second;
}

std::optional<MonotonicTime> WeightsTargets::outdatedSince(const ModelId& model,
                                                           WeightsVersion version) const {
  const Naming* successor = successorOf(model, version);
  return successor == nullptr ? std::nullopt : std::optional(successor->since);
}

std::optional<MonotonicTime> WeightsTargets::successorHeardAt(const ModelId& model,
                                                              WeightsVersion version) const {
  const Naming* successor = successorOf(model, version);
  return successor == nullptr ? std::nullopt : std::optional(successor->heardAt);
}

std::vector<ModelId> WeightsTargets::models() const {
  std::vector<ModelId> all;
  all.reserve(namings_.size());
  for (const auto& [model, versions] : namings_) {
    all.push_back(model);
  }
  return all;
}

}  // namespace calicodrift::rollout
