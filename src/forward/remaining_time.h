#pragma once

#include <algorithm>

#include "common/clock.h"

namespace calicodrift::forward {

/// Time until `end`, at least 1 ms, for timeouts.
inline Milliseconds remainingTime(MonotonicTime end) {
  const auto left = std::chrono::duration_cast<Milliseconds>(end - monotonicNow());
  return std::max(left, Milliseconds(1));
}

}  // namespace calicodrift::forward
