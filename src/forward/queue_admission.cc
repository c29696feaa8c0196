#include "forward/queue_admission.h"

#include <algorithm>

namespace calicodrift::forward {

void QueueAdmission::applyConfiguration(ConfigVersion version) {
  if (version > configuration_) {
    configuration_ = version;
    targets_.clear();
  }
}

std::optional<Milliseconds> QueueAdmission::refuse(Milliseconds wait, Milliseconds target,
                                                   unsigned rank, MonotonicTime now) {
  /// The queues count as short again below this fraction of the steady limit.
  constexpr double kRecoveredShare = 0.5;
  const auto waitMs = static_cast<double>(wait.count());
  const Milliseconds shortest = shortestTarget(target, rank);
  const auto targetMs = static_cast<double>(std::max(shortest, Milliseconds(1)).count());
  const double steadyMs = settings_.steadyTargets * targetMs;
  if (waitMs > steadyMs) {
    congestedSince_ = congestedSince_.value_or(now);
  } else if (waitMs < kRecoveredShare * steadyMs) {
    congestedSince_.reset();
  }
  const double share = rank == 0 ? 1 : settings_.lowerPriorityShare;
  if (waitMs <= limitTargets(now) * share * targetMs) {
    return std::nullopt;
  }
  return std::min(wait, settings_.maxRetryAfter);
}

Milliseconds QueueAdmission::shortestTarget(Milliseconds target, unsigned rank) {
  Milliseconds& ofRank = targets_.try_emplace(rank, target).first->second;
  ofRank = std::min(ofRank, target);
  // Requests of the same rank keep their own targets.
  Milliseconds shortest = target;
  for (const auto& [other, known] : targets_) {
    if (other < rank) {
      shortest = std::min(shortest, known);
    }
  }
  return shortest;
}

double QueueAdmission::limitTargets(MonotonicTime now) const {
  const bool steady = congestedSince_ && now - *congestedSince_ > settings_.burst;
  return steady ? settings_.steadyTargets : settings_.burstTargets;
}

}  // namespace calicodrift::forward
