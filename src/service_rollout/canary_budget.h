#pragma once

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
/// nodes the fleet stays at the share, whoever is cut off, restarted or lost, and the starts add up
/// to no more than chance gives: their mean is what a fraction of a request on each node rounds to.
class CanaryBudget {
 public:
  CanaryBudget(double share, std::uint64_t seed) : share_(share), random_(seed) {}

  /// Whether this request goes to the candidate. Counts the request either way. To be asked once a
  /// request: its second tries go to the stable version.
  bool take(OrderKey order, RouteKey route);
  /// The share from now on; what was spent stays spent.
  void setShare(double share) { share_ = share; }

 private:
  struct Account {
    double earned = 0;
    std::uint64_t spent = 0;
  };

  double share_;
  std::mt19937_64 random_;
  OrderKey order_;
  std::map<std::pair<OrderKey, RouteKey>, Account> accounts_;
};

}  // namespace calicodrift::service_rollout
