#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "common/clock.h"

namespace calicodrift::testing {

/// In which the requests at a server that names a limit are counted.
inline constexpr Milliseconds kArrivalWindow{4000};

/// The most times in any kArrivalWindow, which ends before its last moment.
/// @param times in their order.
inline std::size_t mostInAnyWindow(const std::vector<MonotonicTime>& times) {
  std::size_t most = 0;
  for (std::size_t first = 0, next = 0; first < times.size(); ++first) {
    while (next < times.size() && times[next] - times[first] < kArrivalWindow) {
      ++next;
    }
    most = std::max(most, next - first);
  }
  return most;
}

/// How many requests may come in any kArrivalWindow at a server that takes so many a second.
struct ArrivalBound {
  double tolerance = 1;
  double more = 0;

  double at(double perSecond) const {
    return tolerance * perSecond * toMilliseconds(kArrivalWindow) / 1000 + more;
  }
};

/// What the nodes aim at, over all of them, whatever each was told.
inline constexpr ArrivalBound kAimedArrivals{1.1, 2};
/// What the users allow from nodes that know of the limit.
inline constexpr ArrivalBound kAllowedArrivals{1.5, 5};

}  // namespace calicodrift::testing
