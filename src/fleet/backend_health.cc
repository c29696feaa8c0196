#include "fleet/backend_health.h"

#include <algorithm>

namespace calicodrift::fleet {
namespace {

/// Returns `first` doubled `doublings` times, at most kMaxBackoff.
Milliseconds exponentialBackoff(Milliseconds first, std::size_t doublings) {
  // Bounds the shift; ten doublings of either initial value exceed kMaxBackoff.
  constexpr std::size_t kMaxDoublings = 10;
  const auto factor = static_cast<std::int64_t>(1) << std::min(doublings, kMaxDoublings);
  return std::min(first * factor, BackendHealth::kMaxBackoff);
}

}  // namespace

void BackendHealth::probeSucceeded(MonotonicTime now) {
  if (reachable_) {
    if (now - reachableSince_ > kMaxBackoff) {
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
  const bool flapped = now - reachableSince_ < kMaxBackoff;
  // The first loss causes no hold-off: a restarted back end serves from its first successful probe.
  heldOffUntil_ = flapped && flaps_ > 0 ? now + exponentialBackoff(kFirstHoldOff, flaps_ - 1) : now;
  flaps_ = flapped ? flaps_ + 1 : 1;
  return true;
}

void BackendHealth::withdrawFailures() {
  consecutiveFailures_ = 0;
  ejections_ = 0;
  ejectedUntil_ = {};
}

void BackendHealth::requestSucceeded() {
  consecutiveFailures_ = 0;
  ejections_ = 0;
}

bool BackendHealth::requestFailed(MonotonicTime now) {
  ++consecutiveFailures_;
  if (consecutiveFailures_ < kFailuresToEject) {
    return false;
  }
  consecutiveFailures_ = 0;
  ejectedUntil_ = now + exponentialBackoff(kFirstEjection, ejections_);
  ++ejections_;
  return true;
}

}  // namespace calicodrift::fleet
