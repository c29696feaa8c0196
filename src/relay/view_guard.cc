#include "relay/view_guard.h"

#include <algorithm>

namespace calicodrift::relay {
namespace {

/// Parts of the age at which views are read, as divisors. With 1,200 ms for a bound of 2,000 ms the
/// deepest nodes read at 1,425 ms, and have called three times by 1,950 ms.
constexpr int kStaggerPart = 16;
constexpr int kCallPart = 8;
constexpr int kFirstPausePart = 24;
/// A node that gets its path back reads within one and a half of the longest pause, which is the
/// age itself: below the bound. Each failed call has its price.
constexpr int kPauseGrowth = 2;
/// Below this depth all wait alike: most views come by a shorter way by then.
constexpr std::uint32_t kDeepest = 3;

}  // namespace

ViewGuardSettings viewGuardSettings(Milliseconds readAge) {
  return {readAge / kStaggerPart, readAge / kCallPart, readAge / kFirstPausePart, readAge};
}

ViewGuard::ViewGuard(ViewGuardSettings settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      lot_(anyOf(settings_.stagger)),
      nextPause_(settings_.firstPause) {}

MonotonicTime ViewGuard::due(MonotonicTime provenAt, Milliseconds readAge,
                             std::uint32_t depth) const {
  const std::uint32_t above = std::clamp<std::uint32_t>(depth, 1, kDeepest) - 1;
  const Milliseconds stagger = static_cast<std::int64_t>(above) * settings_.stagger + lot_;
  return std::max(provenAt + readAge + stagger, notBefore_);
}

void ViewGuard::onRead(bool reached, MonotonicTime now) {
  lot_ = anyOf(settings_.stagger);
  if (reached) {
    nextPause_ = settings_.firstPause;
    notBefore_ = {};
    return;
  }
  const Milliseconds pause = nextPause_;
  nextPause_ = std::min(pause * kPauseGrowth, settings_.longestPause);
  notBefore_ = now + pause / 2 + anyOf(pause);
}

Milliseconds ViewGuard::anyOf(Milliseconds longest) {
  return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
}

}  // namespace calicodrift::relay
