#include "fleet/backend_health.h"

#include <algorithm>

namespace calicodrift::fleet {
namespace {

/// `first` doubled `times` times, up to the longest.
Milliseconds doubled(Milliseconds first, std::size_t times) {
  constexpr std::size_t kEnoughDoublings = 10;
  const auto factor = static_cast<std::int64_t>(1) << std::min(times, kEnoughDoublings);
  return std::min(first * factor, BackendHealth::kLongest);
}

}  // namespace

void BackendHealth::probeSucceeded(MonotonicTime now) {
  if (reachable_) {
    if (now - reachableSince_ > kLongest) {
      flaps_ = 0;
    }
    return;
  }
  if (now >= heldOffUntil_) {
    reachable_ = true;
    reachableSince_ = now;
  }
}

bool BackendHealth::becameUnreachable(MonotonicTime now) {
  if (!reachable_) {
    return false;
  }
  reachable_ = false;
  const bool flapped = now - reachableSince_ < kLongest;
  // The first loss is held against nobody: a restarted back end serves from its first good probe.
  heldOffUntil_ = flapped && flaps_ > 0 ? now + doubled(kFirstHoldOff, flaps_ - 1) : now;
  flaps_ = flapped ? flaps_ + 1 : 1;
  return true;
}

void BackendHealth::restarted() {
  failuresInRow_ = 0;
  ejections_ = 0;
  ejectedUntil_ = {};
}

void BackendHealth::requestSucceeded() {
  failuresInRow_ = 0;
  ejections_ = 0;
}

bool BackendHealth::requestFailed(MonotonicTime now) {
  ++failuresInRow_;
  if (failuresInRow_ < kFailuresToEject) {
    return false;
  }
  failuresInRow_ = 0;
  ejectedUntil_ = now + doubled(kFirstEjection, ejections_);
  ++ejections_;
  return true;
}

}  // namespace calicodrift::fleet
