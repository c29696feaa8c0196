#include "weights/weights_targets.h"

#include <algorithm>

namespace calicodrift::weights {

void WeightsTargets::addObserved(const ModelId& model, WeightsVersion version, MonotonicTime now,
                                 Milliseconds maxDelay) {
  histories_[model].addObserved(version, now, maxDelay);
}

void WeightsTargets::addDiscovered(const ModelId& model, WeightsVersion version,
                                   MonotonicTime provenAt, MonotonicTime now) {
  const Milliseconds discoveredTerm = std::min(kDiscoveredTerm, terms_.send / 2);
  const bool watchedBefore = provenAt != MonotonicTime{};
  const MonotonicTime discoveredEnd = startedAt_ + discoveredTerm;
  IncompleteHistoryLimits limits{discoveredEnd, discoveredEnd, discoveredEnd - terms_.send};
  if (watchedBefore) {
    limits.send = std::max(provenAt + terms_.send, now + discoveredTerm);
    limits.wait = std::max(provenAt + terms_.wait, now + discoveredTerm);
    limits.since = provenAt;
  }
  histories_[model].addDiscovered(version, limits, now);
}

bool WeightsTargets::merge(const std::vector<fleet::NamedWeights>& named, MonotonicTime now) {
  bool changed = false;
  for (const fleet::NamedWeights& received : named) {
    const auto history = histories_.find(received.model);
    if (history != histories_.end()) {
      changed = history->second.merge(received, now) || changed;
    }
  }
  return changed;
}

bool WeightsTargets::raiseFloor(const ModelId& model, WeightsVersion floor, MonotonicTime now) {
  const auto history = histories_.find(model);
  return history != histories_.end() && history->second.raiseFloor(floor, now);
}

std::vector<fleet::NamedWeights> WeightsTargets::exportNamings(MonotonicTime now) const {
  std::vector<fleet::NamedWeights> exported;
  for (const auto& [model, history] : histories_) {
    if (auto named = history.exportNamings(model, terms_, now)) {
      exported.push_back(std::move(*named));
    }
  }
  return exported;
}

std::optional<WeightsVersion> WeightsTargets::newest(const ModelId& model) const {
  const WeightsHistory* history = historyOf(model);
  if (history == nullptr || history->newest() == WeightsVersion()) {
    return std::nullopt;
  }
  return history->newest();
}

WeightsVersion WeightsTargets::leastSendable(const ModelId& model, MonotonicTime now) const {
  const WeightsHistory* history = historyOf(model);
  return history == nullptr ? WeightsVersion() : history->leastSendable(terms_, now);
}

WeightsVersion WeightsTargets::leastWaitable(const ModelId& model, MonotonicTime now) const {
  const WeightsHistory* history = historyOf(model);
  return history == nullptr ? WeightsVersion() : history->leastWaitable(terms_, now);
}

WeightsVersion WeightsTargets::confirmedLeast(const ModelId& model, MonotonicTime now) const {
  const WeightsHistory* history = historyOf(model);
  return history == nullptr ? WeightsVersion() : history->confirmedLeast(terms_, now);
}

std::optional<MonotonicTime> WeightsTargets::nextExpiry(MonotonicTime now) const {
  std::optional<MonotonicTime> next;
  for (const auto& [model, history] : histories_) {
    if (const auto end = history.nextExpiry(terms_, now)) {
      next = std::min(*end, next.value_or(*end));
    }
  }
  return next;
}

std::optional<MonotonicTime> WeightsTargets::outdatedSince(const ModelId& model,
                                                           WeightsVersion version) const {
  const WeightsHistory* history = historyOf(model);
  return history == nullptr ? std::nullopt : history->outdatedSince(version);
}

std::optional<MonotonicTime> WeightsTargets::successorLearnedAt(const ModelId& model,
                                                                WeightsVersion version) const {
  const WeightsHistory* history = historyOf(model);
  return history == nullptr ? std::nullopt : history->supersessionLearnedAt(version);
}

std::optional<NamingSource> WeightsTargets::successorSource(const ModelId& model,
                                                            WeightsVersion version) const {
  const WeightsHistory* history = historyOf(model);
  return history == nullptr ? std::nullopt : history->supersessionSource(version);
}

std::vector<ModelId> WeightsTargets::models() const {
  std::vector<ModelId> all;
  all.reserve(histories_.size());
  for (const auto& [model, history] : histories_) {
    all.push_back(model);
  }
  return all;
}

const WeightsHistory* WeightsTargets::historyOf(const ModelId& model) const {
  const auto found = histories_.find(model);
  return found == histories_.end() ? nullptr : &found->second;
}

}  // namespace calicodrift::weights
