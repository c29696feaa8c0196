#pragma once

#include <string_view>

#include "metrics/metrics.h"

namespace calicodrift::orders {

/// Metrics of the order lease and of orders to engines.
class OrderMetrics {
 public:
  explicit OrderMetrics(prometheus::Registry& registry);

  /// @param outcome "accepted", "fenced", "refused", "lost" or "lease_ended" (not sent).
  void countOrder(std::string_view kind, std::string_view outcome);
  void setLeaseHeld(bool held) { leaseHeld_.Set(held ? 1 : 0); }
  void countTenure() { tenures_.Increment(); }
  /// @param state "at_desired", "waiting", "loading", "unreachable" or "held_for_capacity".
  void setEngines(std::string_view state, std::size_t count);

 private:
  prometheus::Family<prometheus::Counter>& orders_;
  prometheus::Gauge& leaseHeld_;
  prometheus::Counter& tenures_;
  prometheus::Family<prometheus::Gauge>& engines_;
};

}  // namespace calicodrift::orders
