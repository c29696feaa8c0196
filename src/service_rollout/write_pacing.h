#pragma once

#include <optional>
#include <random>

#include "common/clock.h"
#include "common/error.h"
#include "service_rollout/plan.h"

namespace calicodrift::service_rollout {

struct WritePacingSettings {
  /// Longest wait for the views to show a write that succeeded. They do after 250 ms mostly; where
  /// they don't, the condition of the next write fails and does no harm.
  Milliseconds longestViewWait{1000};
  /// First pause after a failed write; doubles up to the longest, with jitter. A store that
  /// recovers is written to within the longest, which has to be well below an order's shortest
  /// duration of some seconds.
  Milliseconds firstPause{100};
  Milliseconds longestPause{1600};
};

/// When the lease holder may write next for one service. No I/O; calls are told the time.
///
/// Invariant: no write is repeated blindly. After one that succeeded the views show it first, and
/// after one that may have been done the views were the newest state at a later time.
class WritePacing {
 public:
  explicit WritePacing(WritePacingSettings settings) : settings_(settings) {}

  bool mayWrite(const PlanInput& input, MonotonicTime now) const;
  void onWritten(PlanStep step, store::Revision revision, MonotonicTime now);
  void onFailed(ErrorKind kind, MonotonicTime now, std::mt19937_64& random);

 private:
  Milliseconds nextPause(std::mt19937_64& random);

  WritePacingSettings settings_;
  /// What the views of orders and of records have to show, until `viewsDue_`.
  store::Revision ordersNeeded_;
  store::Revision recordsNeeded_;
  MonotonicTime viewsDue_{};
  /// Both views have to be proven later than this.
  std::optional<MonotonicTime> proofNeeded_;
  MonotonicTime notBefore_{};
  unsigned failures_ = 0;
};

}  // namespace calicodrift::service_rollout
