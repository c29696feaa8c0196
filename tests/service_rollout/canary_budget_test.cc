#include "service_rollout/canary_budget.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace calicodrift::service_rollout {
namespace {

constexpr double kShare = 0.05;
const OrderKey kOrder(7);
const RouteKey kRoute(3);

/// Result of one order over a fleet whose nodes get very different traffic.
struct SimulationResult {
  std::uint64_t requests = 0;
  std::uint64_t exposed = 0;
  /// Whether no account has spent more than its share plus 1.
  bool withinEachAccount = true;
};

/// @param restarts whether every third node loses its accounts halfway.
SimulationResult simulateOrder(std::size_t nodes, std::uint64_t seed, bool restarts) {
  std::mt19937_64 random(seed);
  // Half of the nodes get 0 to 20 requests, some get thousands.
  std::exponential_distribution<double> traffic(1.0 / 60);
  SimulationResult result;
  for (std::size_t node = 0; node < nodes; ++node) {
    CanaryBudget budget(kShare, random());
    const auto requests = static_cast<std::uint64_t>(std::pow(traffic(random), 1.3) / 4);
    std::uint64_t spent = 0;
    for (std::uint64_t request = 0; request < requests; ++request) {
      if (restarts && node % 3 == 0 && request == requests / 2) {
        budget = CanaryBudget(kShare, random());
      }
      spent += budget.assignToCandidate(kOrder, kRoute) ? 1 : 0;
    }
    const double maxExposed = kShare * static_cast<double>(requests) + (restarts ? 2 : 1);
    result.withinEachAccount = result.withinEachAccount && static_cast<double>(spent) <= maxExposed;
    result.requests += requests;
    result.exposed += spent;
  }
  return result;
}

/// Bound on the rounding error of the given number of accounts in all but 1 of 10^6 orders.
double roundingOf(std::size_t accounts) {
  return 2.7 * std::sqrt(static_cast<double>(accounts));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(canary_budget)

BOOST_AUTO_TEST_CASE(fleetStaysAtTheShareWithoutCommunication) {
  for (const std::size_t nodes : {2U, 73U, 3800U}) {
    const std::uint64_t seeds = nodes > 1000 ? 40 : 400;
    double deviations = 0;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
      const SimulationResult result = simulateOrder(nodes, seed, false);
      const double share = kShare * static_cast<double>(result.requests);
      BOOST_TEST(result.withinEachAccount);
      BOOST_TEST(static_cast<double>(result.exposed) <= share + roundingOf(nodes));
      deviations += static_cast<double>(result.exposed) - share;
    }
    // The mean deviation is 0: otherwise nodes with few requests would send none to the candidate.
    BOOST_TEST(std::abs(deviations) <= roundingOf(nodes * seeds));
  }
}

BOOST_AUTO_TEST_CASE(restartedNodesKeepTheShareOnAverage) {
  constexpr std::size_t kNodes = 73;
  for (std::uint64_t seed = 0; seed < 400; ++seed) {
    const SimulationResult result = simulateOrder(kNodes, seed, true);
    const double share = kShare * static_cast<double>(result.requests);
    BOOST_TEST(result.withinEachAccount);
    BOOST_TEST(static_cast<double>(result.exposed) <= share + roundingOf(2 * kNodes));
  }
}

BOOST_AUTO_TEST_CASE(eachRouteGetsItsShare) {
  CanaryBudget budget(kShare, 1);
  std::map<std::uint64_t, int> exposed;
  for (int request = 0; request < 1000; ++request) {
    // Nine of ten requests are on one route.
    const std::uint64_t route = request % 10 == 0 ? 1 : 0;
    exposed[route] += budget.assignToCandidate(kOrder, RouteKey(route)) ? 1 : 0;
  }
  BOOST_TEST((exposed[0] == 45 || exposed[0] == 46));
  BOOST_TEST((exposed[1] == 5 || exposed[1] == 6));
}

BOOST_AUTO_TEST_CASE(smallerShareAppliesImmediately) {
  CanaryBudget budget(0.5, 1);
  int exposed = 0;
  for (int request = 0; request < 100; ++request) {
    exposed += budget.assignToCandidate(kOrder, kRoute) ? 1 : 0;
  }
  budget.setShare(0.01);
  int later = 0;
  for (int request = 0; request < 1000; ++request) {
    later += budget.assignToCandidate(kOrder, kRoute) ? 1 : 0;
  }
  BOOST_TEST((exposed == 50 || exposed == 51));
  BOOST_TEST((later >= 9 && later <= 11));
}

BOOST_AUTO_TEST_CASE(concurrentOrdersHaveSeparateAccounts) {
  CanaryBudget budget(kShare, 1);
  int first = 0;
  int second = 0;
  for (int request = 0; request < 1000; ++request) {
    first += budget.assignToCandidate(kOrder, kRoute) ? 1 : 0;
    second += budget.assignToCandidate(OrderKey(8), kRoute) ? 1 : 0;
  }
  BOOST_TEST((first == 50 || first == 51));
  BOOST_TEST((second == 50 || second == 51));
}

BOOST_AUTO_TEST_CASE(accountsOfPastOrdersAreDropped) {
  CanaryBudget budget(1, 1);
  for (std::uint64_t order = 1; order <= 1000; ++order) {
    BOOST_TEST(budget.assignToCandidate(OrderKey(order), kRoute));
  }
  BOOST_TEST(budget.orders() == CanaryBudget::kMaxOrders);
}

BOOST_AUTO_TEST_CASE(refundedRequestsEarnNoExposure) {
  CanaryBudget budget(0.1, 1);
  const OrderKey order(7);
  const RouteKey route(9);
  std::size_t granted = 0;
  for (int number = 0; number < 1000; ++number) {
    granted += budget.assignToCandidate(order, route) ? 1 : 0;
    budget.refund(order, route);
  }
  BOOST_TEST(granted <= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
