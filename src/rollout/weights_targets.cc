#include "rollout/weights_targets.h"

namespace calicodrift::rollout {

void WeightsTargets::name(const ModelId& model, WeightsVersion version, MonotonicTime since) {
  // Known versions keep the time at which they were first heard of.
  namedSince_[model].emplace(version, since);
}

std::optional<WeightsVersion> WeightsTargets::newest(const ModelId& model) const {
  const auto found = namedSince_.find(model);
  if (found == namedSince_.end() || found->second.empty()) {
    return std::nullopt;
  }
  return found->second.rbegin()->first;
}

WeightsVersion WeightsTargets::least(const ModelId& model, MonotonicTime now) const {
  const auto found = namedSince_.find(model);
  if (found == namedSince_.end()) {
    return {};
  }
  WeightsVersion least;
  for (const auto& [version, since] : found->second) {
    if (now - since >= term_) {
      least = version;
    }
  }
  return least;
}

std::optional<MonotonicTime> WeightsTargets::outdatedSince(const ModelId& model,
                                                           WeightsVersion version) const {
  const auto found = namedSince_.find(model);
  if (found == namedSince_.end()) {
    return std::nullopt;
  }
  const auto successor = found->second.upper_bound(version);
  return successor == found->second.end() ? std::nullopt : std::optional(successor->second);
}

std::vector<ModelId> WeightsTargets::models() const {
  std::vector<ModelId> all;
  all.reserve(namedSince_.size());
  for (const auto& [model, versions] : namedSince_) {
    all.push_back(model);
  }
  return all;
}

}  // namespace calicodrift::rollout
