#include "relay/view_refresh_scheduler.h"

#include <algorithm>

namespace calicodrift::relay {
namespace {

/// Divisors of the read age. With a read age of 1,200 ms and a bound of 2,000 ms, the deepest nodes
/// read at 1,425 ms and have made three calls by 1,950 ms.
constexpr int kStaggerDivisor = 16;
constexpr int kCallTimeoutDivisor = 8;
constexpr int kFirstPauseDivisor = 24;
/// A node that regains its path to the store reads within one and a half times the longest pause.
/// The longest pause equals the read age, so this takes less time than the bound. Growth limits
/// the load from failing calls, each of which has a cost.
constexpr int kPauseGrowth = 2;
/// Nodes below this depth all have the same stagger; most views have arrived by a shorter path by
/// then.
constexpr std::uint32_t kMaxStaggeredDepth = 3;

}  // namespace

ViewRefreshSettings viewRefreshSettings(Milliseconds readAge) {
  return {readAge / kStaggerDivisor, readAge / kCallTimeoutDivisor, readAge / kFirstPauseDivisor,
          readAge};
}

ViewRefreshScheduler::ViewRefreshScheduler(ViewRefreshSettings settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      jitter_(randomUpTo(settings_.stagger)),
      nextPause_(settings_.firstPause) {}

MonotonicTime ViewRefreshScheduler::due(MonotonicTime provenAt, Milliseconds readAge,
                                        std::uint32_t depth) const {
  const std::uint32_t above = std::clamp<std::uint32_t>(depth, 1, kMaxStaggeredDepth) - 1;
  const Milliseconds stagger = static_cast<std::int64_t>(above) * settings_.stagger + jitter_;
  return std::max(provenAt + readAge + stagger, notBefore_);
}

void ViewRefreshScheduler::onRead(bool reached, MonotonicTime asked, MonotonicTime now) {
  jitter_ = randomUpTo(settings_.stagger);
  if (reached) {
    nextPause_ = settings_.firstPause;
    notBefore_ = {};
    return;
  }
  const Milliseconds pause = nextPause_;
  nextPause_ = std::min(pause * kPauseGrowth, settings_.longestPause);
  const MonotonicTime ended = std::max(now, asked + settings_.callTimeout);
  notBefore_ = ended + pause / 2 + randomUpTo(pause);
}

Milliseconds ViewRefreshScheduler::randomUpTo(Milliseconds longest) {
  return Milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
}

}  // namespace calicodrift::relay
