#pragma once

#include "metrics/metrics.h"

namespace calicodrift::server_limits {

/// All counters of the module.
class ServerLimitMetrics {
 public:
  explicit ServerLimitMetrics(prometheus::Registry& registry);

  /// The head of an answer of this node named a limit that was not known, or another one.
  void countNamed() { named_.Increment(); }
  /// The same named none any more.
  void countLifted() { lifted_.Increment(); }
  /// What a head named can't be read.
  void countUnreadable() { unreadable_.Increment(); }
  /// Units that requests of this node asked for.
  void countUnit(bool granted) { (granted ? granted_ : refused_).Increment(); }
  /// No node that may give out units answered.
  void countUndecided() { undecided_.Increment(); }
  /// Reports to neighbours, by whether they were taken.
  void countReport(bool taken) { (taken ? takenReports_ : failedReports_).Increment(); }
  /// Another node told that a server leaves.
  void countLeavingLearnt() { leavingLearnt_.Increment(); }
  /// Servers that this node asked because nobody else did.
  void countProbe() { probes_.Increment(); }
  void observeWait(double seconds) { wait_.Observe(seconds); }
  void setLimited(std::size_t servers) { limited_.Set(static_cast<double>(servers)); }

 private:
  prometheus::Counter& named_;
  prometheus::Counter& lifted_;
  prometheus::Counter& unreadable_;
  prometheus::Counter& granted_;
  prometheus::Counter& refused_;
  prometheus::Counter& undecided_;
  prometheus::Counter& takenReports_;
  prometheus::Counter& failedReports_;
  prometheus::Counter& leavingLearnt_;
  prometheus::Counter& probes_;
  prometheus::Gauge& limited_;
  prometheus::Histogram& wait_;
};

}  // namespace calicodrift::server_limits
