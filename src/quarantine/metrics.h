#pragma once

#include "metrics/metrics.h"

namespace calicodrift::quarantine {

/// Sizes of one ledger.
struct LedgerSizes {
  std::size_t tracked = 0;
  std::size_t barred = 0;
  /// Suspects that were evicted to bound memory.
  std::size_t evicted = 0;
};

/// Metrics of the quarantine module.
class QuarantineMetrics {
 public:
  explicit QuarantineMetrics(prometheus::Registry& registry);

  /// A server process crashed under a request of this node.
  void countCrash() { crashes_.Increment(); }
  void countBarredRefusal() { barredRefusals_.Increment(); }
  /// A request was refused because of a part of its prompt.
  void countBarredPartRefusal() { barredPartRefusals_.Increment(); }
  void countTrialRefusal() { trialRefusals_.Increment(); }
  /// An attempt of a suspect was admitted.
  void countTrial() { trials_.Increment(); }
  /// A report to a neighbour was accepted or failed.
  void countReport(bool taken) { (taken ? takenReports_ : failedReports_).Increment(); }
  void countRecordWrite(bool written) { (written ? writes_ : failedWrites_).Increment(); }
  void set(const LedgerSizes& sizes);
  void setParts(const LedgerSizes& sizes);

 private:
  prometheus::Counter& crashes_;
  prometheus::Counter& barredRefusals_;
  prometheus::Counter& barredPartRefusals_;
  prometheus::Counter& trialRefusals_;
  prometheus::Counter& trials_;
  prometheus::Counter& takenReports_;
  prometheus::Counter& failedReports_;
  prometheus::Counter& writes_;
  prometheus::Counter& failedWrites_;
  prometheus::Gauge& tracked_;
  prometheus::Gauge& barred_;
  prometheus::Gauge& evicted_;
  prometheus::Gauge& trackedParts_;
  prometheus::Gauge& barredParts_;
  prometheus::Gauge& evictedParts_;
};

}  // namespace calicodrift::quarantine
