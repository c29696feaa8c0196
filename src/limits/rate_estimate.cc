#include "limits/rate_estimate.h"

#include <cmath>

namespace calicodrift::limits {

void RateEstimate::add(double units, MonotonicTime now) {
  constexpr double kMsPerSecond = 1000.0;
  rate_ = perSecond(now) + units * kMsPerSecond / toMilliseconds(window_);
  updated_ = now;
}

double RateEstimate::perSecond(MonotonicTime now) const {
  if (now <= updated_) {
    return rate_;
  }
  return rate_ * std::exp(-toMilliseconds(now - updated_) / toMilliseconds(window_));
}

}  // namespace calicodrift::limits
