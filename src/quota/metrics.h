#pragma once

#include <string>

#include "metrics/metrics.h"

namespace calicodrift::quota {

/// All counters of the quota module. By tenant: as many as the configuration has with a limit.
class QuotaMetrics {
 public:
  explicit QuotaMetrics(prometheus::Registry& registry);

  void countAdmitted(const std::string& tenant, double units);
  void countRefused(const std::string& tenant, double units);
  /// A request passed, or not, by what the node was granted before it lost its sources.
  void countUnreached() { unreached_.Increment(); }
  /// Batches sent to a source, and those that no source answered.
  void countBatch(bool answered);
  /// Units that came from roots of other groups.
  void countBorrowed(double units) { borrowed_.Increment(units); }
  void observeWait(double seconds) { wait_.Observe(seconds); }

 private:
  prometheus::Family<prometheus::Counter>& admitted_;
  prometheus::Family<prometheus::Counter>& refused_;
  prometheus::Counter& unreached_;
  prometheus::Counter& batches_;
  prometheus::Counter& silentBatches_;
  prometheus::Counter& borrowed_;
  prometheus::Histogram& wait_;
};

}  // namespace calicodrift::quota
