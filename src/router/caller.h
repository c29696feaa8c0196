#pragma once

#include <optional>
#include <string>

#include "bundle/bundle.h"
#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"
#include "common/priority.h"
#include "http/message.h"

namespace calicodrift::router {

/// What the headers of a request say of its caller and of how it is to be treated.
struct Caller {
  const bundle::Tenant* tenant = nullptr;
  RequestId requestId;
  Priority priority = Priority::kNormal;
  MonotonicTime received;
  MonotonicTime deadline;
  /// May run at most once.
  bool notRepeatable = false;
  std::string idempotencyKey;
  /// First token index that the caller lacks, from Last-Event-ID.
  std::size_t resumeFrom = 0;
  /// Weights that began the answer to be resumed, from Last-Event-ID; 0 where it names none.
  WeightsVersion resumeWeights;
};

/// Identifies the tenant by its API key and reads the request's headers.
/// Fails with kUnauthenticated or kMalformedRequest.
Result<Caller> readCaller(const bundle::Bundle& bundle, const http::Request& request,
                          Milliseconds defaultDeadline);

/// "REQUEST_ID/wWEIGHTS/INDEX": the id of one stream event that callers send back as Last-Event-ID.
/// It names the weights, so that no router continues the answer by other ones.
std::string callerEventId(const RequestId& id, WeightsVersion weights, std::size_t index);

}  // namespace calicodrift::router
