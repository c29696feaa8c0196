#include "limits/tenant_shares.h"

#include <algorithm>
#include <vector>

#include "limits/water_fill.h"

namespace calicodrift::limits {
namespace {

/// Demand comes in bursts; a share somewhat above its average lets them through.
constexpr double kDemandHeadroom = 1.25;
/// Part of the unwanted rate that is handed out ahead of demand; the rest waits for newcomers.
constexpr double kSparePart = 0.5;

}  // namespace

std::optional<ShareGrant> TenantShares::grant(const ShareRequest& request, double limit,
                                              Milliseconds renewal, MonotonicTime now) {
  dropExpired(now);
  Holder& holder = holders_[request.node];
  if (!isNewer(request, holder)) {
    return std::nullopt;
  }
  const double others = countedAt(now) - (holder.expiry > now ? holder.counted : 0);
  const double available = std::max(0.0, limit - others);
  const double held = std::min(static_cast<double>(request.heldRate), available);
  if (held > 0 && holder.number == 0) {
    // Granted by a predecessor, whose other shares may run as long as this one.
    grantFrom_ = std::max(grantFrom_, now + Milliseconds(request.heldMs));
  }
  holder.incarnation = request.incarnation;
  holder.number = request.number;
  holder.demand = request.demand;
  const double target = frozenAt(now) ? held : fairShare(holder, limit);
  // Rounded to what the message carries, so that both sides count the same.
  const auto rate = static_cast<float>(std::min(target, available));
  holder.counted = std::max(held, static_cast<double>(rate));
  const Milliseconds term = renewal * LeaseSettings::kRenewalsPerTerm;
  holder.expiry = std::max(holder.expiry, now + term);
  ShareGrant answer;
  answer.tenant = request.tenant;
  answer.number = request.number;
  answer.rate = rate;
  answer.waiting = frozenAt(now) && rate == 0;
  answer.termMs = static_cast<std::uint32_t>(term.count());
  answer.renewMs = static_cast<std::uint32_t>(renewal.count());
  return answer;
}

double TenantShares::countedAt(MonotonicTime now) const {
  double sum = 0;
  for (const auto& entry : holders_) {
    sum += entry.second.expiry > now ? entry.second.counted : 0;
  }
  return sum;
}

void TenantShares::dropExpired(MonotonicTime now) {
  std::erase_if(holders_, [now](const auto& entry) { return entry.second.expiry <= now; });
}

bool TenantShares::isNewer(const ShareRequest& request, const Holder& holder) {
  if (request.incarnation != holder.incarnation) {
    return request.incarnation > holder.incarnation;
  }
  return request.number > holder.number;
}

double TenantShares::fairShare(const Holder& holder, double limit) const {
  std::vector<Demand> demands;
  double wanted = 0;
  for (const auto& entry : holders_) {
    const double amount = entry.second.demand * kDemandHeadroom;
    demands.push_back({amount, 1});
    wanted += amount;
  }
  const double spare = std::max(0.0, limit - wanted) * kSparePart;
  const double level = fairLevel(std::move(demands), limit);
  return std::min(holder.demand * kDemandHeadroom, level) +
         spare / static_cast<double>(holders_.size());
}

}  // namespace calicodrift::limits
