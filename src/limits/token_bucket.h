#pragma once

#include "common/clock.h"

namespace calicodrift::limits {

/// Allows `rate` units a second on average and at most `burst` units at once. The rate may change
/// at any time.
/// Invariant: what is taken in any window is at most the rate integrated over it, plus the content
/// at its start, plus the debt that was allowed, as content arises from refill only. A bucket that
/// is filled by setRate() is full at first, so that a restarted node serves at once.
class TokenBucket {
 public:
  /// @param perSecond units a second, not negative. The burst is the refill of kBurstTime, and one
  /// unit at least.
  void setRate(double perSecond, MonotonicTime now);
  /// Sets rate and burst; keeps the content as far as the burst allows.
  void setLimit(double perSecond, double burst, MonotonicTime now);
  /// Replaces the content, within the burst.
  void setContent(double units, MonotonicTime now);
  /// Takes one unit if it is there.
  bool tryTake(MonotonicTime now) { return tryTake(1, 0, now); }
  /// Takes `units` where the content is above zero and covers them but for `debt`; the content may
  /// fall below zero by as much. More than the burst and the debt is given when the bucket is full,
  /// so that no size is refused for good.
  bool tryTake(double units, double debt, MonotonicTime now);
  /// Until one unit is there at the present rate; at most kLongestWait.
  Milliseconds waitForOne(MonotonicTime now) const { return waitFor(1, now); }
  /// Until the content is at least `units`, or the burst where that is less.
  Milliseconds waitFor(double units, MonotonicTime now) const;
  double rate() const { return rate_; }
  double burst() const { return burst_; }
  double contentAt(MonotonicTime now) const;

  static constexpr Milliseconds kBurstTime{500};
  static constexpr Milliseconds kLongestWait{60'000};

 private:
  double rate_ = 0;
  double burst_ = 1;
  double content_ = 0;
  MonotonicTime updated_{};
  bool started_ = false;
};

}  // namespace calicodrift::limits
