#pragma once

#include <string>

#include "metrics/metrics.h"

namespace calicodrift::quota {

/// All metrics of the quota module. The number of tenant labels is the number of configured tenants
/// with a limit.
class QuotaMetrics {
 public:
  explicit QuotaMetrics(prometheus::Registry& registry);

  void countAdmitted(const std::string& tenant, double units);
  void countRefused(const std::string& tenant, double units);
  /// Counts a claim that was decided from units granted earlier because no source was reachable.
  void countUnreached() { unreached_.Increment(); }
  /// Counts a batch of claims, by whether any source replied to it.
  void countBatch(bool answered);
  /// Counts units borrowed from roots of other groups.
  void countBorrowed(double units) { borrowed_.Increment(units); }
  void observeWait(double seconds) { wait_.Observe(seconds); }

 private:
  prometheus::Family<prometheus::Counter>& admitted_;
  prometheus::Family<prometheus::Counter>& refused_;
  prometheus::Counter& unreached_;
  prometheus::Counter& answeredBatches_;
  prometheus::Counter& unansweredBatches_;
  prometheus::Counter& borrowed_;
  prometheus::Histogram& wait_;
};

}  // namespace calicodrift::quota
