#pragma once

#include <boost/asio/awaitable.hpp>

#include "forward/metrics.h"
#include "forward/protocol.h"
#include "forward/request_gate.h"
#include "forward/request_log.h"
#include "http/server.h"

namespace calicodrift::forward {

/// Returns the fields for logging a refusal, from the configuration that decided it.
RefusalFacts refusalFacts(const ConfigurationView& view, const Request& request);

/// Answers callers with errors of this node; counts and logs them, and adds a retry time if the
/// error is transient.
class Refusals {
 public:
  Refusals(const CallerProtocol& callers, ForwardMetrics& metrics, Milliseconds retryAfter)
      : callers_(callers), metrics_(metrics), retryAfter_(retryAfter) {}

  boost::asio::awaitable<void> answer(http::ResponseWriter& writer, Error error,
                                      RefusalFacts facts) const;

 private:
  const CallerProtocol& callers_;
  ForwardMetrics& metrics_;
  Milliseconds retryAfter_;
};

}  // namespace calicodrift::forward
