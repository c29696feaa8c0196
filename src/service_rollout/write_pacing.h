#pragma once

#include <optional>
#include <random>

#include "common/clock.h"
#include "common/error.h"
#include "service_rollout/plan.h"

namespace calicodrift::service_rollout {

struct WritePacingSettings {
  /// Maximum wait for the views to show a successful write. They usually do after 250 ms; if they
  /// don't, the condition of the next write fails without harm.
  Milliseconds maxViewWait{1000};
  /// Initial pause after a failed write; doubles up to the maximum, with jitter. A recovered store
  /// is written to within the maximum, which must be well below an order's shortest duration of
  /// some seconds.
  Milliseconds initialPause{100};
  Milliseconds maxPause{1600};
};

/// Determines when the lease holder may write next for one service. Performs no I/O; the caller
/// passes the time.
///
/// Invariant: no write is repeated blindly. After a successful write the views must show it first,
/// and after one that may have been applied the views must have been the newest state at a later
/// time.
class WritePacing {
 public:
  explicit WritePacing(WritePacingSettings settings) : settings_(settings) {}

  bool mayWrite(const PlanInput& input, MonotonicTime now) const;
  void onWritten(PlanStep step, store::Revision revision, MonotonicTime now);
  void onFailed(ErrorKind kind, MonotonicTime now, std::mt19937_64& random);

 private:
  Milliseconds nextPause(std::mt19937_64& random);

  WritePacingSettings settings_;
  /// Revisions that the views of orders and of records must reach, until `viewDeadline_`.
  store::Revision minOrdersRevision_;
  store::Revision minRecordsRevision_;
  MonotonicTime viewDeadline_{};
  /// Both views must be proven later than this.
  std::optional<MonotonicTime> minProofTime_;
  MonotonicTime notBefore_{};
  unsigned failures_ = 0;
};

}  // namespace calicodrift::service_rollout
