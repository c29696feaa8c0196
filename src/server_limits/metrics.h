#pragma once

#include "metrics/metrics.h"

namespace calicodrift::server_limits {

/// Metrics of the server_limits module.
class ServerLimitMetrics {
 public:
  explicit ServerLimitMetrics(prometheus::Registry& registry);

  /// The head of an answer to this node named a new or a changed limit.
  void countNamed() { named_.Increment(); }
  /// The head of an answer to this node no longer named a limit.
  void countLifted() { lifted_.Increment(); }
  /// The limit named in the head of an answer could not be parsed.
  void countUnreadable() { unreadable_.Increment(); }
  /// A unit requested by this node was granted or refused.
  void countUnit(bool granted) { (granted ? granted_ : refused_).Increment(); }
  /// A permit requested by this node was issued, refused, or could not be decided on.
  void countPermit(bool issued) { (issued ? issuedPermits_ : refusedPermits_).Increment(); }
  void countUndecidedPermit() { undecidedPermits_.Increment(); }
  /// No node that may issue units answered.
  void countUndecided() { undecided_.Increment(); }
  /// A report to a neighbour was accepted or failed.
  void countReport(bool taken) { (taken ? takenReports_ : failedReports_).Increment(); }
  /// Another node reported that a server is leaving.
  void countLeavingLearnt() { leavingLearnt_.Increment(); }
  /// Another node reported that a server has no capacity left.
  void countFullLearnt() { fullLearnt_.Increment(); }
  /// This node probed a limited server that had received no requests.
  void countProbe() { probes_.Increment(); }
  void observeWait(double seconds) { wait_.Observe(seconds); }
  void setSpared(std::size_t servers) { spared_.Set(static_cast<double>(servers)); }
  void setLimited(std::size_t servers) { limited_.Set(static_cast<double>(servers)); }

 private:
  prometheus::Counter& named_;
  prometheus::Counter& lifted_;
  prometheus::Counter& unreadable_;
  prometheus::Counter& granted_;
  prometheus::Counter& refused_;
  prometheus::Counter& issuedPermits_;
  prometheus::Counter& refusedPermits_;
  prometheus::Counter& undecidedPermits_;
  prometheus::Counter& undecided_;
  prometheus::Counter& takenReports_;
  prometheus::Counter& failedReports_;
  prometheus::Counter& leavingLearnt_;
  prometheus::Counter& fullLearnt_;
  prometheus::Counter& probes_;
  prometheus::Gauge& limited_;
  prometheus::Gauge& spared_;
  prometheus::Histogram& wait_;
};

}  // namespace calicodrift::server_limits
