#include "limits/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace calicodrift::limits {

void RetryBudget::onRequest(MonotonicTime now) {
  refill(now);
  earned_ += fraction_;
}

bool RetryBudget::tryTake(MonotonicTime now) {
  refill(now);
  double& source = earned_ >= 1 ? earned_ : floor_;
  if (source < 1) {
    return false;
  }
  source -= 1;
  return true;
}

bool RetryBudget::counts(ErrorKind cause, bool tokensDelivered) {
  return !tokensDelivered && cause != ErrorKind::kConnectFailed && cause != ErrorKind::kFenced;
}

void RetryBudget::refill(MonotonicTime now) {
  if (updated_ == MonotonicTime{}) {
    updated_ = now;
  }
  constexpr double kMsPerSecond = 1000.0;
  const double seconds = std::max(0.0, toMilliseconds(now - updated_) / kMsPerSecond);
  // What is not used is forgotten with the requests that earned it.
  earned_ *= std::exp(-seconds / kEarnedSeconds);
  floor_ = std::min(floorBurst_, floor_ + seconds * floorPerSecond_);
  updated_ = std::max(updated_, now);
}

}  // namespace calicodrift::limits
