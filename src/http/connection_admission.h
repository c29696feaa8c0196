#pragma once

#include "common/clock.h"

namespace calicodrift::http {

/// Decides whether a server takes a new connection, by how late its event loop runs. A process that
/// gets more connections than it has processor time for would read requests that it answers late; a
/// connection that is closed with its request unread is tried again at another node. Does no I/O;
/// callers pass the time.
///
/// Invariant: while connections come, one is taken each kMinInterval at least, so that a server
/// that calls itself ready never turns all callers away.
class ConnectionAdmission {
 public:
  /// @param maxDelay delay of the event loop from which connections are refused; 0: never.
  explicit ConnectionAdmission(Milliseconds maxDelay) : maxDelay_(maxDelay) {}

  void setMaxDelay(Milliseconds maxDelay) { maxDelay_ = maxDelay; }
  /// Records how long a task that was ready to run has waited.
  void observeDelay(MonotonicTime::duration delay);
  bool admit(MonotonicTime now);
  /// Whether the loop is so late that connections are refused.
  bool overloaded() const { return overloaded_; }

  static constexpr Milliseconds kMinInterval{250};
  /// A single delay may come from one long task, or from a process that stood still.
  static constexpr int kDelaysToRefuse = 3;

 private:
  Milliseconds maxDelay_;
  int longDelays_ = 0;
  bool overloaded_ = false;
  MonotonicTime lastAdmitted_{};
};

}  // namespace calicodrift::http
