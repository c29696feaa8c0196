#include "forward/retry_rules.h"

#include <algorithm>

namespace calicodrift::forward {
namespace {

/// Dispatches beyond the route's number of servers, for servers that refused or could not be
/// reached.
constexpr std::size_t kExtraDispatches = 2;
/// Dispatches beyond those that found other weights than expected: while servers load newer weights
/// one after the other, what a node knows of them is older than a load takes, and each such answer
/// corrects it.
constexpr std::size_t kMostOtherWeights = 4;

}  // namespace

bool provesNotRun(ErrorKind kind) {
  return kind == ErrorKind::kConnectFailed || kind == ErrorKind::kBackendRefused ||
         kind == ErrorKind::kFenced || kind == ErrorKind::kOtherWeights ||
         kind == ErrorKind::kServerWithdrawn;
}

RetryDecision mayRetry(const routes::Route& route, ErrorKind failure,
                       const AttemptCount& attempts) {
  const std::size_t uncounted = std::min(attempts.otherWeights, kMostOtherWeights);
  if (attempts.sent - uncounted >= route.maxAttempts + kExtraDispatches) {
    return RetryDecision::kNo;
  }
  if (failure == ErrorKind::kConnectFailed || failure == ErrorKind::kServerWithdrawn) {
    return RetryDecision::kFree;
  }
  if (provesNotRun(failure)) {
    return RetryDecision::kBudgeted;
  }
  const bool failedThere =
      failure == ErrorKind::kOutcomeUnknown || failure == ErrorKind::kStreamBroken ||
      failure == ErrorKind::kProtocolViolation || failure == ErrorKind::kDeadlineExceeded ||
      failure == ErrorKind::kWeightsOutdated;
  const bool serversLeft = attempts.mayHaveRun < route.maxAttempts;
  return failedThere && route.idempotent() && serversLeft ? RetryDecision::kBudgeted
                                                          : RetryDecision::kNo;
}

}  // namespace calicodrift::forward
