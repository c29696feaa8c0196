#pragma once

#include <cstddef>

#include "common/clock.h"

namespace calicodrift::fleet {

/// Health of one back end as this node sees it, from its own probes and from the outcomes of the
/// requests that it sent there. No I/O and no clock: every call is told the time.
///
/// Two mechanisms, for two kinds of failure:
/// - Unreachable (a probe or a connect failed): out at once, and back after a good probe. One that
///   fails again soon after it came back (flapping) stays out longer each time.
/// - Ejected (it answers probes, but requests to it break one after the other): passed over for a
///   time that doubles with each ejection. The table ignores ejections where no other back end is
///   left, as then the fault is likelier to be elsewhere.
class BackendHealth {
 public:
  /// Failed requests in a row until ejection.
  static constexpr std::size_t kFailuresToEject = 3;
  static constexpr Milliseconds kFirstEjection{1000};
  static constexpr Milliseconds kFirstHoldOff{500};
  /// Longest ejection and longest hold-off; also how long a back end must stay up to count as calm.
  static constexpr Milliseconds kLongest{30000};

  bool reachable() const { return reachable_; }
  bool ejected(MonotonicTime now) const { return now < ejectedUntil_; }
  MonotonicTime ejectedUntil() const { return ejectedUntil_; }

  /// A probe was answered well.
  void probeSucceeded(MonotonicTime now);
  /// A probe or a connect failed. True if it was reachable until now.
  bool becameUnreachable(MonotonicTime now);
  /// It is another process now: what was known of the old one's requests does not count.
  void restarted();
  /// Nothing is known until the next good probe.
  void forget() { reachable_ = false; }
  void requestSucceeded();
  /// True if this failure ejects it.
  bool requestFailed(MonotonicTime now);

 private:
  bool reachable_ = false;
  MonotonicTime reachableSince_{};
  /// A good probe before this time does not bring it back.
  MonotonicTime heldOffUntil_{};
  std::size_t flaps_ = 0;
  std::size_t failuresInRow_ = 0;
  std::size_t ejections_ = 0;
  MonotonicTime ejectedUntil_{};
};

}  // namespace calicodrift::fleet
