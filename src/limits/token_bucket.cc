#include "limits/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace calicodrift::limits {
namespace {

constexpr double kMsPerSecond = 1000.0;

}  // namespace

void TokenBucket::setRate(double perSecond, MonotonicTime now) {
  const bool fresh = !started_;
  setLimit(perSecond, std::max(1.0, perSecond * toMilliseconds(kBurstTime) / kMsPerSecond), now);
  if (fresh) {
    content_ = burst_;
  }
}

void TokenBucket::setLimit(double perSecond, double burst, MonotonicTime now) {
  const double content = contentAt(now);
  rate_ = perSecond;
  burst_ = burst;
  content_ = started_ ? std::min(content, burst_) : 0;
  updated_ = now;
  started_ = true;
}

void TokenBucket::setContent(double units, MonotonicTime now) {
  content_ = std::min(units, burst_);
  updated_ = now;
}

bool TokenBucket::tryTake(double units, double debt, MonotonicTime now) {
  content_ = contentAt(now);
  updated_ = now;
  const double least = std::min(units - debt, burst_);
  if (content_ <= 0 || content_ < least) {
    return false;
  }
  content_ -= units;
  return true;
}

Milliseconds TokenBucket::waitFor(double units, MonotonicTime now) const {
  const double missing = std::min(units, burst_) - contentAt(now);
  if (missing <= 0) {
    return Milliseconds(0);
  }
  const double longest = toMilliseconds(kLongestWait);
  const double wait = rate_ > 0 ? missing / rate_ * kMsPerSecond : longest;
  return Milliseconds(static_cast<std::int64_t>(std::ceil(std::min(wait, longest))));
}

double TokenBucket::contentAt(MonotonicTime now) const {
  if (now <= updated_) {
    return content_;
  }
  const double refill = rate_ * toMilliseconds(now - updated_) / kMsPerSecond;
  return std::min(burst_, content_ + refill);
}

}  // namespace calicodrift::limits
