#pragma once

#include <optional>

#include "common/clock.h"
#include "service_rollout/plan.h"

namespace calicodrift::service_rollout {

/// Tracks per service what a single observation does not show: how long its record has been in its
/// phase, and for how long no requests have run on the versions that may stop when the order ends.
/// Performs no I/O; the caller passes the time.
class PhaseWatch {
 public:
  /// Sets `phaseAge` and `drainedFor`.
  void observe(PlanInput& input, MonotonicTime now);

 private:
  std::optional<Phase> phase_;
  OrderKey order_;
  MonotonicTime phaseSince_{};
  std::optional<MonotonicTime> drainedSince_;
};

}  // namespace calicodrift::service_rollout
