#include "service_rollout/canary_budget.h"

#include <algorithm>

namespace calicodrift::service_rollout {

bool CanaryBudget::assignToCandidate(OrderKey order, RouteKey route) {
  OrderAccounts& accounts = accountsOf(order);
  const auto [found, added] = accounts.routes.try_emplace(route);
  Account& account = found->second;
  if (added) {
    account.earned = std::uniform_real_distribution<double>(0, 1)(random_);
  }
  account.earned += share_;
  const bool granted = static_cast<double>(account.spent + 1) <= account.earned;
  if (granted) {
    ++account.spent;
  }
  return granted;
}

void CanaryBudget::refund(OrderKey order, RouteKey route) {
  const auto accounts = accounts_.find(order);
  if (accounts == accounts_.end()) {
    return;
  }
  if (const auto found = accounts->second.routes.find(route);
      found != accounts->second.routes.end()) {
    found->second.earned -= share_;
  }
}

CanaryBudget::OrderAccounts& CanaryBudget::accountsOf(OrderKey order) {
  ++lookups_;
  const auto [found, added] = accounts_.try_emplace(order);
  found->second.lastLookup = lookups_;
  if (added && accounts_.size() > kMaxOrders) {
    const auto oldest = std::min_element(accounts_.begin(), accounts_.end(),
                                         [](const auto& one, const auto& other) {
                                           return one.second.lastLookup < other.second.lastLookup;
                                         });
    accounts_.erase(oldest);
  }
  return found->second;
}

}  // namespace calicodrift::service_rollout
