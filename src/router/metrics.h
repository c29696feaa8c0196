#pragma once

#include <string>

#include "common/error.h"
#include "common/priority.h"
#include "metrics/metrics.h"

namespace calicodrift::router {

/// All counters of the router module.
class RouterMetrics {
 public:
  explicit RouterMetrics(prometheus::Registry& registry);

  /// A refused or failed request, by error kind.
  void countError(ErrorKind kind);
  void countRequest(const std::string& tenant, Priority priority);
  void observeFirstToken(const std::string& tenant, Priority priority, double seconds);
  void countTokens(const std::string& policy, std::size_t promptTokens, std::size_t cachedTokens,
                   std::size_t outputTokens);
  void countDispatch(const std::string& policy);
  void countRetry(std::string_view reason);
  void countResume() { resumes_.Increment(); }
  void countBundleAdopted(double version);
  void countBackendChange(std::string_view change);
  /// Brings the gauges of the process up to date, before the page is rendered.
  void updateProcess(std::size_t activeRequests);
  /// Dispatches whose end this node has not seen, at the time of a read of /metrics.
  void setOutstanding(std::size_t dispatches);

 private:
  prometheus::Family<prometheus::Counter>& errors_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Histogram>& firstToken_;
  prometheus::Family<prometheus::Counter>& tokens_;
  prometheus::Family<prometheus::Counter>& dispatches_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Counter& resumes_;
  prometheus::Gauge& bundleVersion_;
  prometheus::Family<prometheus::Counter>& backendChanges_;
  prometheus::Gauge& residentMemory_;
  prometheus::Gauge& activeRequests_;
  prometheus::Gauge& outstanding_;
};

}  // namespace calicodrift::router
