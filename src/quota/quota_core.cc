#include "quota/quota_core.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "common/hashing.h"

namespace calicodrift::quota {
namespace {

/// A process that has not refreshed its role for this long was stalled. Other nodes may have
/// replaced it as a root in the meantime.
constexpr Milliseconds kStallThreshold{1000};
/// Wait time if the time until capacity is available is unknown.
constexpr Milliseconds kUnknownWait{250};

std::uint32_t toUnits(double units) {
  constexpr double kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::clamp(std::ceil(units), 0.0, kMax));
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
      entry->second.setRole(role_.role, role_.share, now);
    }
  }
}

void QuotaCore::setRole(const QuotaRoleShare& role, MonotonicTime now) {
  const bool stalled = refreshedAt_ != MonotonicTime{} && now - refreshedAt_ > kStallThreshold;
  refreshedAt_ = now;
  role_ = role;
  for (auto& entry : accounts_) {
    entry.second.setRole(role.role, role.share, now);
    if (stalled) {
      entry.second.discardHeld(now);
    }
  }
}

Decision QuotaCore::claim(TenantKey tenant, double units, MonotonicTime now) {
  TenantAccount* account = findAccount(tenant);
  if (account == nullptr) {
    return {Verdict::kGranted, Milliseconds(0)};
  }
  return account->claim(units, now);
}

Claim QuotaCore::toMessage(TenantKey tenant, double units, MonotonicTime now) {
  Claim claim;
  claim.tenant = tenant;
  claim.units = toUnits(units);
  if (TenantAccount* account = findAccount(tenant)) {
    claim.prefetch = toUnits(account->prefetchDemand(now));
  }
  return claim;
}

Decision QuotaCore::onAnswer(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent,
                             MonotonicTime now) {
  lastContact_ = now;
  TenantAccount* account = findAccount(claim.tenant);
  if (account != nullptr) {
    static_cast<void>(account->acceptPrefetch(claim, answer, sent));
  }
  if (answer.waitMs == 0) {
    if (account != nullptr) {
      account->onGranted(claim.units, now);
    }
    return {Verdict::kGranted, Milliseconds(0)};
  }
  Milliseconds wait(answer.waitMs);
  if (account != nullptr) {
    if (role_.role == QuotaRole::kRoot) {
      wait = std::min(wait, account->waitFor(claim.units, now));
    }
    account->onRefused(wait, now);
  }
  return {Verdict::kRefused, wait};
}

Decision QuotaCore::onNoReply(TenantKey tenant, double units, MonotonicTime now) {
  TenantAccount* account = findAccount(tenant);
  if (account != nullptr && role_.role == QuotaRole::kRoot) {
    return {Verdict::kRefused, account->waitFor(units, now)};
  }
  const bool passes =
      account == nullptr || account->claimWhileDisconnected(units, lastContact_, now);
  return {passes ? Verdict::kGranted : Verdict::kRefused, passes ? Milliseconds(0) : kUnknownWait};
}

ClaimAnswer QuotaCore::toAnswer(const Claim& claim, const Decision& decision, MonotonicTime now) {
  ClaimAnswer answer;
  if (decision.verdict != Verdict::kGranted) {
    answer.waitMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, decision.wait.count()));
    return answer;
  }
  if (TenantAccount* account = findAccount(claim.tenant)) {
    answer.prefetch = static_cast<std::uint32_t>(account->grantPrefetch(claim.prefetch, now));
    answer.prefetchTermMs = static_cast<std::uint32_t>(account->prefetchTerm().count());
  }
  return answer;
}

std::vector<Claim> QuotaCore::borrowClaims(std::size_t lenders, MonotonicTime now) {
  std::vector<Claim> claims;
  if (role_.role != QuotaRole::kRoot || lenders == 0) {
    return claims;
  }
  for (auto& [key, account] : accounts_) {
    const double requested = account.borrowDemand(now);
    if (requested >= 1) {
      claims.push_back({key, 0, toUnits(requested / static_cast<double>(lenders))});
    }
  }
  return claims;
}

double QuotaCore::onBorrowed(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent) {
  TenantAccount* account = findAccount(claim.tenant);
  const bool granted = account != nullptr && answer.waitMs == 0;
  return granted ? account->acceptPrefetch(claim, answer, sent) : 0;
}

void QuotaCore::giveBack(TenantKey tenant, double units, MonotonicTime now) {
  if (TenantAccount* account = findAccount(tenant)) {
    account->giveBack(units, now);
  }
}

TenantAccount* QuotaCore::findAccount(TenantKey tenant) {
  const auto found = accounts_.find(tenant);
  return found == accounts_.end() ? nullptr : &found->second;
}

}  // namespace calicodrift::quota
