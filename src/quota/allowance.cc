#include "quota/allowance.h"

#include <algorithm>

namespace calicodrift::quota {
namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr double kPrefetchFraction = 0.25;
constexpr double kDebtFraction = 0.125;
/// Every root change issues the initial content once. Four root changes in one window use up an
/// eighth of the excess.
constexpr double kInitialFraction = 0.125 / 4;
constexpr double kDisconnectedFraction = 0.25;
/// Longer terms do not reduce the number of claims any further, because demand changes.
constexpr double kMaxPrefetchMs = 500;
/// A node that found no source within this time, in milliseconds, has lost the store as well or is
/// about to become a root.
constexpr double kMaxDisconnectedMs = 1500;

/// Time in which the limit refills `units`, capped at `maxMs`.
Milliseconds refillTime(double units, const TenantLimit& limit, double maxMs) {
  const double milliseconds =
      limit.unitsPerSecond > 0 ? units / limit.unitsPerSecond * kMsPerSecond : 0;
  return Milliseconds(static_cast<std::int64_t>(std::min(milliseconds, maxMs)));
}

}  // namespace

Allowance::Allowance(const QuotaBounds& bounds, const TenantLimit& limit) {
  const double windowSeconds = toMilliseconds(bounds.window) / kMsPerSecond;
  const double allowed = limit.unitsPerSecond * windowSeconds + limit.burst;
  const double excess = allowed * bounds.overshoot + bounds.slack;
  prefetchTerm = refillTime(excess * kPrefetchFraction, limit, kMaxPrefetchMs);
  maxDebt = excess * kDebtFraction;
  initialContent = excess * kInitialFraction;
  disconnectedTerm = refillTime(excess * kDisconnectedFraction, limit, kMaxDisconnectedMs);
}

}  // namespace calicodrift::quota
