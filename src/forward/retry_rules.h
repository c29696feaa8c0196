#pragma once

#include "common/error.h"
#include "routes/route_table.h"

namespace calicodrift::forward {

/// Dispatches of one request so far.
struct AttemptCount {
  /// Sent, regardless of the outcome.
  std::size_t sent = 0;
  /// May have run.
  std::size_t mayHaveRun = 0;
  /// Not run, because the server had other weights than this node expected.
  std::size_t weightsMismatches = 0;
};

/// Whether a failed dispatch may be retried.
enum class RetryDecision {
  kNo,
  /// The failed dispatch did not reach its server, so no retry budget is consumed.
  kFree,
  /// The retry sends the request to a server once more: only if the retry budget allows it.
  kBudgeted,
};

/// Whether an error proves that the server has not run the request.
bool provesNotRun(ErrorKind kind);

/// Invariant: a request that isn't idempotent is sent again only after proof that it has not run,
/// so it runs at most once; and no request runs on more servers than its route allows.
RetryDecision mayRetry(const routes::Route& route, ErrorKind failure, const AttemptCount& attempts);

/// Error reported to the caller after the last dispatch.
///
/// Invariant: it states that the request has not run only if that is proven for every dispatch.
ErrorKind finalKind(ErrorKind last, const AttemptCount& attempts);

}  // namespace calicodrift::forward
