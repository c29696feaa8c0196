#include "forward/retry_rules.h"

#include <algorithm>

namespace calicodrift::forward {
namespace {

/// Dispatches allowed beyond the route's number of servers, for servers that refused or were
/// unreachable.
constexpr std::size_t kExtraDispatches = 2;
/// Dispatches that found other weights than expected and don't count as attempts: while servers
/// load newer weights one after the other, a node's knowledge of them is older than a load takes,
/// and each such answer corrects it.
constexpr std::size_t kMaxUncountedDispatches = 4;

}  // namespace

bool provesNotRun(ErrorKind kind) {
  return kind == ErrorKind::kConnectFailed || kind == ErrorKind::kBackendRefused ||
         kind == ErrorKind::kFenced || kind == ErrorKind::kOtherWeights ||
         kind == ErrorKind::kServerWithdrawn;
}

RetryDecision mayRetry(const routes::Route& route, ErrorKind failure,
                       const AttemptCount& attempts) {
  const std::size_t uncounted = std::min(attempts.weightsMismatches, kMaxUncountedDispatches);
  if (attempts.sent - uncounted >= route.maxAttempts + kExtraDispatches) {
    return RetryDecision::kNo;
  }
  if (failure == ErrorKind::kConnectFailed || failure == ErrorKind::kServerWithdrawn) {
    return RetryDecision::kFree;
  }
  if (provesNotRun(failure)) {
    return RetryDecision::kBudgeted;
  }
  const bool failedOnServer =
      failure == ErrorKind::kOutcomeUnknown || failure == ErrorKind::kStreamBroken ||
      failure == ErrorKind::kProtocolViolation || failure == ErrorKind::kDeadlineExceeded ||
      failure == ErrorKind::kWeightsOutdated;
  const bool serversLeft = attempts.mayHaveRun < route.maxAttempts;
  return failedOnServer && route.idempotent() && serversLeft ? RetryDecision::kBudgeted
                                                             : RetryDecision::kNo;
}

ErrorKind finalKind(ErrorKind last, const AttemptCount& attempts) {
  if (attempts.mayHaveRun > 0) {
    return errorRow(last).run == RunStatement::kNo ? ErrorKind::kOutcomeUnknown : last;
  }
  if (last == ErrorKind::kDeadlineExceeded) {
    return ErrorKind::kOverloaded;
  }
  return provesNotRun(last) ? ErrorKind::kNoBackend : last;
}

}  // namespace calicodrift::forward
