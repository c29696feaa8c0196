#pragma once

#include "common/clock.h"
#include "common/error.h"

namespace calicodrift::limits {

/// Bounds the repeated dispatches of one router, so that retries never multiply the load: each
/// request earns a fraction of a retry, and a small floor keeps quiet routers able to retry.
/// Invariant: over any window, retries <= fraction x requests + floor rate x window + burst.
class RetryBudget {
 public:
  /// @param fraction retries that one request earns, as 0.1.
  /// @param floorPerSecond, floorBurst what a quiet node has, by the second and at once.
  explicit RetryBudget(double fraction, double floorPerSecond = kFloorPerSecond,
                       double floorBurst = kFloorBurst)
      : fraction_(fraction),
        floorPerSecond_(floorPerSecond),
        floorBurst_(floorBurst),
        floor_(floorBurst) {}

  void onRequest(MonotonicTime now);
  /// Takes one retry if the budget has it.
  bool tryTake(MonotonicTime now);
  /// Whether a retry after `cause` counts. A refused connection cost the back end nothing, and a
  /// stream that already delivered tokens must be completed; `max-attempts` bounds both.
  static bool counts(ErrorKind cause, bool tokensDelivered);

  static constexpr double kFloorPerSecond = 1;
  static constexpr double kFloorBurst = 10;
  /// Requests of this long can earn retries ahead.
  static constexpr double kEarnedSeconds = 2;

 private:
  void refill(MonotonicTime now);

  double fraction_;
  double floorPerSecond_;
  double floorBurst_;
  double earned_ = 0;
  double floor_;
  MonotonicTime updated_{};
};

}  // namespace calicodrift::limits
