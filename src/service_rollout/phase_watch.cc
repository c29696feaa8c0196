#include "service_rollout/phase_watch.h"

namespace calicodrift::service_rollout {

void PhaseWatch::observe(PlanInput& input, MonotonicTime now) {
  const Phase phase = input.record ? input.record->phase : Phase::kSteady;
  const OrderKey order = input.record ? keyOf(*input.record) : OrderKey();
  if (phase_ != phase || order_ != order) {
    phase_ = phase;
    order_ = order;
    phaseSince_ = now;
    drainedSince_.reset();
  }
  const std::size_t running =
      phase == Phase::kShifting ? input.stableInFlight : input.otherInFlight;
  if (running > 0) {
    drainedSince_.reset();
  } else if (!drainedSince_) {
    drainedSince_ = now;
  }
  input.phaseAge = std::chrono::duration_cast<Milliseconds>(now - phaseSince_);
  input.drainedFor = std::chrono::duration_cast<Milliseconds>(now - drainedSince_.value_or(now));
}

}  // namespace calicodrift::service_rollout
