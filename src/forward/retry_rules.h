#pragma once

#include "common/error.h"
#include "routes/route_table.h"

namespace calicodrift::forward {

/// Dispatches of one request so far.
struct AttemptCount {
  /// Sent, whatever came of it.
  std::size_t sent = 0;
  /// May have run.
  std::size_t mayHaveRun = 0;
  /// Not run, as the server had other weights than this node knew.
  std::size_t otherWeights = 0;
};

/// What may follow a failed dispatch.
enum class RetryDecision {
  kNo,
  /// It never reached a server, so that no budget is needed.
  kFree,
  /// A server gets it a second time: only if the retry budget allows.
  kBudgeted,
};

/// Whether an error proves that no server has run the request.
bool provesNotRun(ErrorKind kind);

/// Invariant: a request that isn't idempotent is sent again only after proof that it has not run,
/// so it runs at most once; and none runs on more servers than its route allows.
RetryDecision mayRetry(const routes::Route& route, ErrorKind failure, const AttemptCount& attempts);

}  // namespace calicodrift::forward
