#include "quota/quota_core.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/hashing.h"

namespace calicodrift::quota {
namespace {

/// A process that has not come to its pulse for so long was frozen, or as good as that. Others may
/// have taken its place as a root meanwhile.
constexpr Milliseconds kLongestSilence{1000};
/// Where nothing is known of the time until there is room.
constexpr Milliseconds kUnknownWait{250};

std::uint32_t toUnits(double units) {
  constexpr double kMost = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp(std::ceil(units), 0.0, kMost));
}

}  // namespace

TenantKey keyOf(const TenantId& tenant) {
  return TenantKey(hashBytes(tenant.value()));
}

void QuotaCore::applyLimits(const std::map<TenantId, TenantLimit>& limits, MonotonicTime now) {
  std::unordered_map<TenantKey, TenantLimit> byKey;
  for (const auto& [tenant, limit] : limits) {
    byKey.emplace(keyOf(tenant), limit);
  }
  std::erase_if(accounts_, [&byKey](const auto& entry) { return !byKey.contains(entry.first); });
  for (const auto& [key, limit] : byKey) {
    const auto [entry, isNew] = accounts_.try_emplace(key, bounds_, limit, now);
    entry->second.setLimit(bounds_, limit, now);
    if (isNew) {
      entry->second.setPlace(place_.place, place_.part, now);
    }
  }
}

void QuotaCore::setPlace(const NodePlace& place, MonotonicTime now) {
  const bool stoodStill = pulsedAt_ != MonotonicTime{} && now - pulsedAt_ > kLongestSilence;
  pulsedAt_ = now;
  place_ = place;
  for (auto& entry : accounts_) {
    entry.second.setPlace(place.place, place.part, now);
    if (stoodStill) {
      entry.second.forgetHeld(now);
    }
  }
}

Decision QuotaCore::claim(TenantKey tenant, double units, MonotonicTime now) {
  TenantAccount* account = accountOf(tenant);
  if (account == nullptr) {
    return {Verdict::kGranted, Milliseconds(0)};
  }
  return account->claim(units, now);
}

Claim QuotaCore::toMessage(TenantKey tenant, double units, MonotonicTime now) {
  Claim claim;
  claim.tenant = tenant;
  claim.units = toUnits(units);
  if (TenantAccount* account = accountOf(tenant)) {
    claim.ahead = toUnits(account->wantedAhead(now));
  }
  return claim;
}

Decision QuotaCore::onAnswer(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent,
                             MonotonicTime now) {
  lastContact_ = now;
  TenantAccount* account = accountOf(claim.tenant);
  if (account != nullptr) {
    static_cast<void>(account->takeGrantedAhead(claim, answer, sent));
  }
  if (answer.waitMs == 0) {
    if (account != nullptr) {
      account->onGranted(claim.units, now);
    }
    return {Verdict::kGranted, Milliseconds(0)};
  }
  Milliseconds wait(answer.waitMs);
  if (account != nullptr) {
    if (place_.place == Place::kRoot) {
      wait = std::min(wait, account->waitFor(claim.units, now));
    }
    account->onRefused(wait, now);
  }
  return {Verdict::kRefused, wait};
}

Decision QuotaCore::onSilence(TenantKey tenant, double units, MonotonicTime now) {
  TenantAccount* account = accountOf(tenant);
  if (account != nullptr && place_.place == Place::kRoot) {
    return {Verdict::kRefused, account->waitFor(units, now)};
  }
  const bool passes = account == nullptr || account->claimAsIsland(units, lastContact_, now);
  return {passes ? Verdict::kGranted : Verdict::kRefused, passes ? Milliseconds(0) : kUnknownWait};
}

ClaimAnswer QuotaCore::toAnswer(const Claim& claim, const Decision& decision, MonotonicTime now) {
  ClaimAnswer answer;
  if (decision.verdict != Verdict::kGranted) {
    answer.waitMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, decision.wait.count()));
    return answer;
  }
  if (TenantAccount* account = accountOf(claim.tenant)) {
    answer.ahead = static_cast<std::uint32_t>(account->grantAhead(claim.ahead, now));
    answer.aheadTermMs = static_cast<std::uint32_t>(account->aheadTerm().count());
  }
  return answer;
}

std::vector<Claim> QuotaCore::toBorrow(std::size_t lenders, MonotonicTime now) {
  std::vector<Claim> claims;
  if (place_.place != Place::kRoot || lenders == 0) {
    return claims;
  }
  for (auto& [key, account] : accounts_) {
    const double wanted = account.wantedToBorrow(now);
    if (wanted >= 1) {
      claims.push_back({key, 0, toUnits(wanted / static_cast<double>(lenders))});
    }
  }
  return claims;
}

double QuotaCore::onBorrowed(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent) {
  TenantAccount* account = accountOf(claim.tenant);
  const bool lent = account != nullptr && answer.waitMs == 0;
  return lent ? account->takeGrantedAhead(claim, answer, sent) : 0;
}

void QuotaCore::giveBack(TenantKey tenant, double units, MonotonicTime now) {
  if (TenantAccount* account = accountOf(tenant)) {
    account->giveBack(units, now);
  }
}

TenantAccount* QuotaCore::accountOf(TenantKey tenant) {
  const auto found = accounts_.find(tenant);
  return found == accounts_.end() ? nullptr : &found->second;
}

}  // namespace calicodrift::quota
