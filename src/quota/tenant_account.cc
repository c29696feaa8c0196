#include "quota/tenant_account.h"

#include <algorithm>

namespace calicodrift::quota {
namespace {

constexpr double kMsPerSecond = 1000.0;
/// Demand as it was over the last seconds: shorter than a wave of traffic, longer than the pauses
/// between a node's requests of one tenant.
constexpr Milliseconds kDemandWindow{2000};
/// Claims that a term must bring for units ahead of them to be worth asking for.
constexpr double kLeastClaimsAhead = 2;
/// A root grants ahead out of the upper half of its content only, so that claims come first.
constexpr double kKeptShare = 0.5;
/// Told where this node can't know when there is room.
constexpr Milliseconds kUnknownWait{250};
/// A refusal by the source holds for no longer, so that room that comes back is found soon.
constexpr Milliseconds kLongestRefusal{100};

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
  ahead_.clear();
  refusedUntil_ = now;
  applyPart(now);
}

void TenantAccount::setPlace(Place place, double part, MonotonicTime now) {
  if (place == place_ && part == part_) {
    return;
  }
  const bool becomesRoot = place == Place::kRoot && place_ != Place::kRoot;
  place_ = place;
  part_ = part;
  refusedUntil_ = now;
  applyPart(now);
  if (becomesRoot) {
    minted_.setContent(allowance_.start * part_, now);
  }
}

void TenantAccount::applyPart(MonotonicTime now) {
  minted_.setLimit(limit_.unitsPerSecond * part_, limit_.burst * part_, now);
}

void TenantAccount::forgetHeld(MonotonicTime now) {
  ahead_.clear();
  islandSince_.reset();
  if (place_ == Place::kRoot) {
    minted_.setContent(std::min(minted_.contentAt(now), allowance_.start * part_), now);
  }
}

Decision TenantAccount::claim(double units, MonotonicTime now) {
  demand_.add(units, now);
  claims_.add(1, now);
  if (takeAhead(units, now) ||
      (place_ == Place::kRoot && minted_.tryTake(units, allowance_.debt, now))) {
    granted_.add(units, now);
    return {Verdict::kGranted, Milliseconds(0)};
  }
  if (now < refusedUntil_) {
    return {Verdict::kRefused, std::chrono::ceil<Milliseconds>(refusedUntil_ - now)};
  }
  return {Verdict::kAsk, place_ == Place::kRoot ? minted_.waitFor(units, now) : kUnknownWait};
}

bool TenantAccount::claimAsIsland(double units, MonotonicTime lastContact, MonotonicTime now) {
  if (lastContact == MonotonicTime{} || now - lastContact > allowance_.islandTerm) {
    return false;
  }
  if (islandSince_ != lastContact) {
    islandSince_ = lastContact;
    const double rate = std::min(granted_.perSecond(now), limit_.unitsPerSecond);
    const double held = rate * toMilliseconds(allowance_.islandTerm) / kMsPerSecond;
    // Filled once for the whole term.
    island_.setLimit(0, held, now);
    island_.setContent(held, now);
  }
  return island_.tryTake(units, allowance_.start, now);
}

void TenantAccount::onGranted(double units, MonotonicTime now) {
  granted_.add(units, now);
}

void TenantAccount::onRefused(Milliseconds wait, MonotonicTime now) {
  refusedUntil_ = now + std::min(wait, kLongestRefusal);
}

void TenantAccount::addAhead(double units, MonotonicTime until) {
  if (units > 0) {
    ahead_.push_back({units, until});
  }
}

double TenantAccount::takeGrantedAhead(const Claim& claim, const ClaimAnswer& answer,
                                       MonotonicTime sent) {
  if (sent < limitedSince_) {
    return 0;
  }
  const double units = std::min(claim.ahead, answer.ahead);
  const Milliseconds term = std::min(Milliseconds(answer.aheadTermMs), allowance_.aheadTerm);
  addAhead(units, sent + term);
  return units;
}

void TenantAccount::giveBack(double units, MonotonicTime now) {
  addAhead(units, now + allowance_.aheadTerm);
}

double TenantAccount::wantedAhead(MonotonicTime now) {
  const double termSeconds = toMilliseconds(allowance_.aheadTerm) / kMsPerSecond;
  const bool worthwhile = claims_.perSecond(now) * termSeconds >= kLeastClaimsAhead;
  if (place_ != Place::kFollower || !worthwhile || now < nextAhead_) {
    return 0;
  }
  // Once in half a term, so that claims of one batch don't each ask for the same.
  nextAhead_ = now + allowance_.aheadTerm / 2;
  return std::max(0.0, demand_.perSecond(now) * termSeconds / 2 - heldAt(now));
}

double TenantAccount::grantAhead(double wanted, MonotonicTime now) {
  if (place_ != Place::kRoot || wanted <= 0) {
    return 0;
  }
  const double spare = minted_.contentAt(now) - minted_.burst() * kKeptShare;
  const double given = std::min(wanted, spare);
  return given > 0 && minted_.tryTake(given, 0, now) ? given : 0;
}

double TenantAccount::wantedToBorrow(MonotonicTime now) {
  const bool runsShort = minted_.contentAt(now) < minted_.burst() * kKeptShare;
  if (place_ != Place::kRoot || !runsShort) {
    return 0;
  }
  const double termSeconds = toMilliseconds(allowance_.aheadTerm) / kMsPerSecond;
  const double demand = std::min(demand_.perSecond(now), limit_.unitsPerSecond);
  return std::max(0.0, demand * termSeconds - std::max(0.0, heldAt(now)));
}

double TenantAccount::heldAt(MonotonicTime now) {
  dropExpired(now);
  double held = place_ == Place::kRoot ? minted_.contentAt(now) : 0;
  for (const Ahead& entry : ahead_) {
    held += entry.units;
  }
  return held;
}

bool TenantAccount::takeAhead(double units, MonotonicTime now) {
  dropExpired(now);
  double sum = 0;
  for (const Ahead& entry : ahead_) {
    sum += entry.units;
  }
  if (sum < units) {
    return false;
  }
  double left = units;
  while (left > 0 && !ahead_.empty()) {
    Ahead& first = ahead_.front();
    const double taken = std::min(first.units, left);
    first.units -= taken;
    left -= taken;
    if (first.units <= 0) {
      ahead_.pop_front();
    }
  }
  return true;
}

void TenantAccount::dropExpired(MonotonicTime now) {
  std::erase_if(ahead_, [now](const Ahead& entry) { return now >= entry.until; });
}

}  // namespace calicodrift::quota
