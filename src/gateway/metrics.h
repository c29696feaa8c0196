#pragma once

#include <string_view>

#include "metrics/metrics.h"

namespace calicodrift::gateway {

/// Counters of the node's views of the store; all are declared here.
class GatewayMetrics {
 public:
  explicit GatewayMetrics(prometheus::Registry& registry);

  /// An object appeared, or changed, that can't be read.
  /// @param reason one of store/unreadable.h.
  void countUnreadable(std::string_view kind, std::string_view reason);

 private:
  prometheus::Family<prometheus::Counter>& unreadable_;
};

}  // namespace calicodrift::gateway
