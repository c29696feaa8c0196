#include "quota/tenant_account.h"

#include <algorithm>

namespace calicodrift::quota {
namespace {

constexpr double kMsPerSecond = 1000.0;
/// Averaging window of the demand: shorter than a traffic wave, longer than the gaps between a
/// node's requests of one tenant.
constexpr Milliseconds kDemandWindow{2000};
/// Minimum number of claims expected per term for prefetching to be worthwhile.
constexpr double kMinClaimsPerTerm = 2;
/// A root grants units in advance only from the upper half of its content, so that claims take
/// precedence.
constexpr double kReservedFraction = 0.5;
/// Wait time reported if this node cannot know when capacity is available.
constexpr Milliseconds kUnknownWait{250};
/// Maximum time for which a refusal by the source holds, so that new capacity is found soon.
constexpr Milliseconds kMaxRefusalTime{100};

}  // namespace

TenantAccount::TenantAccount(const QuotaBounds& bounds, const TenantLimit& limit,
                             MonotonicTime limitedSince)
    : limit_(limit),
      allowance_(bounds, limit),
      limitedSince_(limitedSince),
      demand_(kDemandWindow),
      claims_(kDemandWindow),
      granted_(kDemandWindow) {}

void TenantAccount::setLimit(const QuotaBounds& bounds, const TenantLimit& limit,
                             MonotonicTime now) {
  if (limit == limit_) {
    return;
  }
  limit_ = limit;
  allowance_ = Allowance(bounds, limit);
  limitedSince_ = now;
  prefetched_.clear();
  refusedUntil_ = now;
  applyShare(now);
}

void TenantAccount::setRole(QuotaRole role, double share, MonotonicTime now) {
  if (role == role_ && share == share_) {
    return;
  }
  const bool becomesRoot = role == QuotaRole::kRoot && role_ != QuotaRole::kRoot;
  role_ = role;
  share_ = share;
  refusedUntil_ = now;
  applyShare(now);
  if (becomesRoot) {
    issued_.setContent(allowance_.initialContent * share_, now);
  }
}

void TenantAccount::applyShare(MonotonicTime now) {
  issued_.setLimit(limit_.unitsPerSecond * share_, limit_.burst * share_, now);
}

void TenantAccount::discardHeld(MonotonicTime now) {
  prefetched_.clear();
  disconnectedSince_.reset();
  if (role_ == QuotaRole::kRoot) {
    issued_.setContent(std::min(issued_.contentAt(now), allowance_.initialContent * share_), now);
  }
}

Decision TenantAccount::claim(double units, MonotonicTime now) {
  demand_.add(units, now);
  claims_.add(1, now);
  if (takePrefetched(units, now) ||
      (role_ == QuotaRole::kRoot && issued_.tryTake(units, allowance_.maxDebt, now))) {
    granted_.add(units, now);
    return {Verdict::kGranted, Milliseconds(0)};
  }
  if (now < refusedUntil_) {
    return {Verdict::kRefused, std::chrono::ceil<Milliseconds>(refusedUntil_ - now)};
  }
  return {Verdict::kAskSource,
          role_ == QuotaRole::kRoot ? issued_.waitFor(units, now) : kUnknownWait};
}

bool TenantAccount::claimWhileDisconnected(double units, MonotonicTime lastContact,
                                           MonotonicTime now) {
  if (lastContact == MonotonicTime{} || now - lastContact > allowance_.disconnectedTerm) {
    return false;
  }
  if (disconnectedSince_ != lastContact) {
    disconnectedSince_ = lastContact;
    const double rate = std::min(granted_.perSecond(now), limit_.unitsPerSecond);
    const double held = rate * toMilliseconds(allowance_.disconnectedTerm) / kMsPerSecond;
    // Filled once for the whole term.
    disconnectedBucket_.setLimit(0, held, now);
    disconnectedBucket_.setContent(held, now);
  }
  return disconnectedBucket_.tryTake(units, allowance_.initialContent, now);
}

void TenantAccount::onGranted(double units, MonotonicTime now) {
  granted_.add(units, now);
}

void TenantAccount::onRefused(Milliseconds wait, MonotonicTime now) {
  refusedUntil_ = now + std::min(wait, kMaxRefusalTime);
}

void TenantAccount::addPrefetched(double units, MonotonicTime until) {
  if (units > 0) {
    prefetched_.push_back({units, until});
  }
}

double TenantAccount::acceptPrefetch(const Claim& claim, const ClaimAnswer& answer,
                                     MonotonicTime sent) {
  if (sent < limitedSince_) {
    return 0;
  }
  const double units = std::min(claim.prefetch, answer.prefetch);
  const Milliseconds term = std::min(Milliseconds(answer.prefetchTermMs), allowance_.prefetchTerm);
  addPrefetched(units, sent + term);
  return units;
}

void TenantAccount::giveBack(double units, MonotonicTime now) {
  addPrefetched(units, now + allowance_.prefetchTerm);
}

double TenantAccount::prefetchDemand(MonotonicTime now) {
  const double termSeconds = toMilliseconds(allowance_.prefetchTerm) / kMsPerSecond;
  const bool worthwhile = claims_.perSecond(now) * termSeconds >= kMinClaimsPerTerm;
  if (role_ != QuotaRole::kFollower || !worthwhile || now < nextPrefetch_) {
    return 0;
  }
  // At most once per half term, so that the claims of one batch do not each request the same units.
  nextPrefetch_ = now + allowance_.prefetchTerm / 2;
  return std::max(0.0, demand_.perSecond(now) * termSeconds / 2 - heldAt(now));
}

double TenantAccount::grantPrefetch(double requested, MonotonicTime now) {
  if (role_ != QuotaRole::kRoot || requested <= 0) {
    return 0;
  }
  const double spare = issued_.contentAt(now) - issued_.burst() * kReservedFraction;
  const double given = std::min(requested, spare);
  return given > 0 && issued_.tryTake(given, 0, now) ? given : 0;
}

double TenantAccount::borrowDemand(MonotonicTime now) {
  const bool runsShort = issued_.contentAt(now) < issued_.burst() * kReservedFraction;
  if (role_ != QuotaRole::kRoot || !runsShort) {
    return 0;
  }
  const double termSeconds = toMilliseconds(allowance_.prefetchTerm) / kMsPerSecond;
  const double demand = std::min(demand_.perSecond(now), limit_.unitsPerSecond);
  return std::max(0.0, demand * termSeconds - std::max(0.0, heldAt(now)));
}

double TenantAccount::heldAt(MonotonicTime now) {
  dropExpired(now);
  double held = role_ == QuotaRole::kRoot ? issued_.contentAt(now) : 0;
  for (const PrefetchedUnits& entry : prefetched_) {
    held += entry.units;
  }
  return held;
}

bool TenantAccount::takePrefetched(double units, MonotonicTime now) {
  dropExpired(now);
  double sum = 0;
  for (const PrefetchedUnits& entry : prefetched_) {
    sum += entry.units;
  }
  if (sum < units) {
    return false;
  }
  double left = units;
  while (left > 0 && !prefetched_.empty()) {
    PrefetchedUnits& first = prefetched_.front();
    const double taken = std::min(first.units, left);
    first.units -= taken;
    left -= taken;
    if (first.units <= 0) {
      prefetched_.pop_front();
    }
  }
  return true;
}

void TenantAccount::dropExpired(MonotonicTime now) {
  std::erase_if(prefetched_, [now](const PrefetchedUnits& entry) { return now >= entry.until; });
}

}  // namespace calicodrift::quota
