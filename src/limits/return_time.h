#pragma once

#include <cstdint>
#include <random>

#include "common/clock.h"

namespace calicodrift::limits {

/// The least time over which callers that are refused together come back.
inline constexpr Milliseconds kLeastSpread{250};

/// When a refused caller is to come back: after the wait, spread over as much again and a little
/// more, so that callers that are refused together don't return together.
template <typename Random>
Milliseconds spreadReturn(Milliseconds wait, Random& random) {
  std::uniform_int_distribution<std::int64_t> spread(0, (kLeastSpread + wait).count());
  return wait + Milliseconds(spread(random));
}

}  // namespace calicodrift::limits
