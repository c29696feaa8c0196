#include "quota/allowance.h"

#include <algorithm>

namespace calicodrift::quota {
namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr double kAheadPart = 0.25;
constexpr double kDebtPart = 0.125;
/// Each change of a root costs its start content once; four of them in one window make up the
/// eighth.
constexpr double kStartPart = 0.125 / 4;
constexpr double kIslandPart = 0.25;
/// Longer terms bring fewer questions no more, as demand moves on.
constexpr double kLongestAheadMs = 500;
/// A node that found no source within this time has lost the store too, or is about to be a root.
constexpr double kLongestIslandMs = 1500;

/// Time in which the limit refills so many units.
Milliseconds refillTime(double units, const TenantLimit& limit, double longestMs) {
  const double milliseconds =
      limit.unitsPerSecond > 0 ? units / limit.unitsPerSecond * kMsPerSecond : 0;
  return Milliseconds(static_cast<std::int64_t>(std::min(milliseconds, longestMs)));
}

}  // namespace

Allowance::Allowance(const QuotaBounds& bounds, const TenantLimit& limit) {
  const double windowSeconds = toMilliseconds(bounds.window) / kMsPerSecond;
  const double allowed = limit.unitsPerSecond * windowSeconds + limit.burst;
  const double excess = allowed * bounds.overshoot + bounds.slack;
  aheadTerm = refillTime(excess * kAheadPart, limit, kLongestAheadMs);
  debt = excess * kDebtPart;
  start = excess * kStartPart;
  islandTerm = refillTime(excess * kIslandPart, limit, kLongestIslandMs);
}

}  // namespace calicodrift::quota
