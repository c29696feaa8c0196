#include "orders/order_metrics.h"

#include <string>

namespace calicodrift::orders {

OrderMetrics::OrderMetrics(prometheus::Registry& registry)
    : orders_(prometheus::BuildCounter()
                  .Name("calicodrift_orders_total")
                  .Help("Orders to engines by kind and outcome")
                  .Register(registry)),
      leaseHeld_(prometheus::BuildGauge()
                     .Name("calicodrift_order_lease_held")
                     .Help("1 while this node holds the order lease")
                     .Register(registry)
                     .Add({})),
      tenures_(prometheus::BuildCounter()
                   .Name("calicodrift_order_lease_tenures_total")
                   .Help("Times that this node got the order lease")
                   .Register(registry)
                   .Add({})),
      engines_(prometheus::BuildGauge()
                   .Name("calicodrift_rollout_engines")
                   .Help("Engines by state of the roll-out, on the lease holder")
                   .Register(registry)) {}

void OrderMetrics::countOrder(std::string_view kind, std::string_view outcome) {
  orders_.Add({{"kind", std::string(kind)}, {"outcome", std::string(outcome)}}).Increment();
}

void OrderMetrics::setEngines(std::string_view state, std::size_t count) {
  engines_.Add({{"state", std::string(state)}}).Set(static_cast<double>(count));
}

}  // namespace calicodrift::orders
