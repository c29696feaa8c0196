#pragma once

#include <cstddef>

#include "common/clock.h"

namespace calicodrift::fleet {

/// Health of one back end as seen by this node, from its own probes and from the outcomes of the
/// requests that it sent there. Does no I/O and reads no clock: callers pass the time.
///
/// Tracks two kinds of failure:
/// - Unreachable (a probe or a connect failed): excluded at once, and readmitted after a successful
///   probe. A back end that fails again soon after its return (flapping) is held off longer each
///   time.
/// - Ejected (it answers probes, but consecutive requests to it fail): skipped for a time that
///   doubles with each ejection. The table ignores ejections where no other back end is left, since
///   the fault is then likelier to be elsewhere.
class BackendHealth {
 public:
  /// Consecutive failed requests that cause an ejection.
  static constexpr std::size_t kFailuresToEject = 3;
  static constexpr Milliseconds kFirstEjection{1000};
  static constexpr Milliseconds kFirstHoldOff{500};
  /// Upper bound of ejections and hold-offs. A back end that stays reachable for longer than this
  /// is no longer considered flapping.
  static constexpr Milliseconds kMaxBackoff{30000};

  bool reachable() const { return reachable_; }
  bool ejected(MonotonicTime now) const { return now < ejectedUntil_; }
  MonotonicTime ejectedUntil() const { return ejectedUntil_; }

  /// Records a successful probe.
  void probeSucceeded(MonotonicTime now);
  /// Records a failed probe or connect. Returns whether the back end was reachable until now.
  bool becameUnreachable(MonotonicTime now);
  /// Discards the request failures of the previous process.
  void restarted() { withdrawFailures(); }
  /// Discards request failures that were not the back end's, and the ejection for them.
  void withdrawFailures();
  /// Marks the back end unreachable until the next successful probe.
  void forget() { reachable_ = false; }
  void requestSucceeded();
  /// Returns whether this failure causes an ejection.
  bool requestFailed(MonotonicTime now);

 private:
  bool reachable_ = false;
  MonotonicTime reachableSince_{};
  /// Successful probes before this time do not make the back end reachable.
  MonotonicTime heldOffUntil_{};
  std::size_t flaps_ = 0;
  std::size_t consecutiveFailures_ = 0;
  std::size_t ejections_ = 0;
  MonotonicTime ejectedUntil_{};
};

}  // namespace calicodrift::fleet
