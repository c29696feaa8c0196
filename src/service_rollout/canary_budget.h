#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>

#include "service_rollout/observations.h"
#include "service_rollout/order.h"

namespace calicodrift::service_rollout {

/// Limits this node's share of requests that go to a candidate, by route.
///
/// Invariant: on each route the node has sent at most `share` of the order's requests to the
/// candidate, plus an initial credit below 1 that is drawn uniformly from [0, 1). The fleet
/// therefore keeps to the share without communication between nodes, whichever nodes are
/// disconnected, restarted or lost: an account that has earned x from requests has spent the
/// integer part of x plus its initial credit, which is x on average. Over n accounts (one per node
/// and route) the sum deviates by less than n, and by more than 2.7 x sqrt(n) in fewer than 1 of
/// 10^6 orders (Hoeffding, as each account deviates by a rounding within 1 and with mean 0).
class CanaryBudget {
 public:
  CanaryBudget(double share, std::uint64_t seed) : share_(share), random_(seed) {}

  /// Whether this request goes to the candidate. Counts the request in either case. Call it once
  /// per request: retries go to the stable version.
  bool assignToCandidate(OrderKey order, RouteKey route);
  /// Removes the request's contribution to the share, if the request reached no server.
  void refund(OrderKey order, RouteKey route);
  /// Sets the share for further requests; exposure already spent is kept.
  void setShare(double share) { share_ = share; }
  /// Number of orders that have accounts.
  std::size_t orders() const { return accounts_.size(); }

  /// Maximum number of orders whose accounts are kept; the least recently used are dropped. Far
  /// more than the number of services rolled out concurrently.
  static constexpr std::size_t kMaxOrders = 16;

 private:
  struct Account {
    /// The initial credit plus the share of each request since.
    double earned = 0;
    std::uint64_t spent = 0;
  };
  struct OrderAccounts {
    std::map<RouteKey, Account> routes;
    std::uint64_t lastLookup = 0;
  };

  OrderAccounts& accountsOf(OrderKey order);

  double share_;
  std::mt19937_64 random_;
  /// Number of lookups; identifies the least recently used order.
  std::uint64_t lookups_ = 0;
  std::map<OrderKey, OrderAccounts> accounts_;
};

}  // namespace calicodrift::service_rollout
