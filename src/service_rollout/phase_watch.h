#pragma once

#include <optional>

#include "common/clock.h"
#include "service_rollout/plan.h"

namespace calicodrift::service_rollout {

/// Knows of one service what takes more than one look: how long its record has stood in its phase,
/// and for how long nothing has run on the versions that the order's end lets stop. No I/O; told
/// the time.
class PhaseWatch {
 public:
  /// Fills in `phaseAge` and `drainedFor`.
  void observe(PlanInput& input, MonotonicTime now);

 private:
  std::optional<Phase> phase_;
  OrderKey order_;
  MonotonicTime phaseSince_{};
  std::optional<MonotonicTime> drainedSince_;
};

}  // namespace calicodrift::service_rollout
