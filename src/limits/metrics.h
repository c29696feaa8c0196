#pragma once

#include <string>
#include <string_view>

#include "common/error.h"
#include "common/priority.h"
#include "metrics/metrics.h"

namespace calicodrift::limits {

/// All counters of the limits module.
class LimitsMetrics {
 public:
  explicit LimitsMetrics(prometheus::Registry& registry);

  void countAdmitted(const std::string& tenant, Priority priority);
  void countRefused(const std::string& tenant, Priority priority, ErrorKind kind);
  /// Requests a second that this node allows a tenant.
  void setShare(const std::string& tenant, double requestsPerSecond);
  /// Shares that this node handed out as the owner of a tenant's rate.
  void countGrant() { grants_.Increment(); }
  /// Tokens that may be outstanding at a model's engines by this router, those that are, and how
  /// often the window has shrunk.
  void setModel(const std::string& model, double windowTokens, double outstandingTokens,
                std::size_t windowCuts);
  void countRetryRefused() { retriesRefused_.Increment(); }

 private:
  prometheus::Family<prometheus::Counter>& admitted_;
  prometheus::Family<prometheus::Counter>& refused_;
  prometheus::Family<prometheus::Gauge>& shares_;
  prometheus::Counter& grants_;
  prometheus::Family<prometheus::Gauge>& windows_;
  prometheus::Family<prometheus::Gauge>& outstanding_;
  prometheus::Family<prometheus::Gauge>& windowCuts_;
  prometheus::Counter& retriesRefused_;
};

}  // namespace calicodrift::limits
