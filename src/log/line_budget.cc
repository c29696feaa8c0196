#include "log/line_budget.h"

#include <algorithm>
#include <utility>

namespace calicodrift::log {

bool LineBudget::tryTake(std::string_view event, MonotonicTime now) {
  auto found = buckets_.find(event);
  if (found == buckets_.end()) {
    found = buckets_.emplace(std::string(event), Bucket{}).first;
    found->second.updated = now;
  }
  Bucket& bucket = found->second;
  constexpr double kMsPerSecond = 1000;
  const double seconds = toMilliseconds(now - bucket.updated) / kMsPerSecond;
  bucket.tokens = std::min(kBurst, bucket.tokens + std::max(0.0, seconds) * kLinesPerSecond);
  bucket.updated = std::max(bucket.updated, now);
  if (bucket.tokens < 1) {
    ++bucket.suppressed;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

std::uint64_t LineBudget::takeSuppressed(std::string_view event) {
  const auto found = buckets_.find(event);
  return found == buckets_.end() ? 0 : std::exchange(found->second.suppressed, 0);
}

}  // namespace calicodrift::log
