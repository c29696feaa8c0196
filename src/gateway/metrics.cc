#include "gateway/metrics.h"

#include <string>

namespace calicodrift::gateway {

GatewayMetrics::GatewayMetrics(prometheus::Registry& registry)
    : unreadable_(prometheus::BuildCounter()
                      .Name("calicodrift_gateway_unreadable_objects_total")
                      .Help("objects of the store that can't be read, one a change of theirs, by "
                            "kind and reason")
                      .Register(registry)) {}

void GatewayMetrics::countUnreadable(std::string_view kind, std::string_view reason) {
  unreadable_.Add({{"kind", std::string(kind)}, {"reason", std::string(reason)}}).Increment();
}

}  // namespace calicodrift::gateway
