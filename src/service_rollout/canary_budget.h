#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>

#include "service_rollout/observations.h"
#include "service_rollout/order.h"

namespace calicodrift::service_rollout {

/// This node's share of a candidate's exposure, by route.
///
/// Invariant: on each route the node has sent at most `share` of the order's requests to the
/// candidate, plus a start below 1 that is drawn evenly from [0, 1). So without any message between
/// nodes the fleet stays at the share, whoever is cut off, restarted or lost: an account that has
/// earned x has spent the whole part of x plus its start, which is x in the mean. Over n accounts
/// (one a node and route) the sum is off by less than n, and beyond 2.7 x sqrt(n) in fewer than 1
/// of 10^6 orders (Hoeffding, as each account is off by a rounding within 1 around a mean of 0).
class CanaryBudget {
 public:
  CanaryBudget(double share, std::uint64_t seed) : share_(share), random_(seed) {}

  /// Whether this request goes to the candidate. Counts the request either way. To be asked once a
  /// request: its second tries go to the stable version.
  bool take(OrderKey order, RouteKey route);
  /// The request reached no server after all: what it added to the share is taken back.
  void refund(OrderKey order, RouteKey route);
  /// The share from now on; what was spent stays spent.
  void setShare(double share) { share_ = share; }
  /// Orders that have accounts.
  std::size_t orders() const { return accounts_.size(); }

  /// Orders whose accounts are kept, the last that were asked for. Far more than services that roll
  /// at once.
  static constexpr std::size_t kMostOrders = 16;

 private:
  struct Account {
    /// The start, and the share of each request since.
    double earned = 0;
    std::uint64_t spent = 0;
  };
  struct OrderAccounts {
    std::map<RouteKey, Account> routes;
    std::uint64_t lastAsked = 0;
  };

  OrderAccounts& accountsOf(OrderKey order);

  double share_;
  std::mt19937_64 random_;
  /// Counts the requests; tells which order was asked for last.
  std::uint64_t asked_ = 0;
  std::map<OrderKey, OrderAccounts> accounts_;
};

}  // namespace calicodrift::service_rollout
