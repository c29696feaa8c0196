#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <vector>

#include "limits/rate_estimate.h"
#include "limits/token_bucket.h"
#include "limits/water_fill.h"
#include "simulated_fleet.h"

/// Compares methods of enforcing one limit over many nodes on the same requests: claims along the
/// tree, as implemented, an equal share for each node, and shares that follow the demand.
namespace calicodrift::quota {
namespace {

struct Arrival {
  Milliseconds at{0};
  std::size_t node = 0;
  double units = 0;
};

struct Outcome {
  double requested = 0;
  double passed = 0;
  double worst = 0;
};

/// Draws arrivals of a tenant whose callers are spread over `users` of the nodes.
std::vector<Arrival> drawArrivals(const FleetOptions& options, double loadFactor, std::size_t users,
                                  std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::lognormal_distribution<double> anyUnits(std::log(7000.0), 0.6);
  std::uniform_int_distribution<std::size_t> randomNode(0, std::min(users, options.nodes) - 1);
  constexpr double kMeanUnits = 8400;
  constexpr Milliseconds kLength{30'000};
  std::exponential_distribution<double> pause(options.limit.unitsPerSecond * loadFactor /
                                              kMeanUnits / 1000);
  std::vector<Arrival> arrivals;
  for (double at = 0; at < toMilliseconds(kLength); at += pause(random)) {
    const double units = std::clamp(std::round(anyUnits(random)), 200.0, 57'000.0);
    arrivals.push_back({Milliseconds(std::llround(at)), randomNode(random), units});
  }
  return arrivals;
}

Outcome simulateClaims(const FleetOptions& options, const std::vector<Arrival>& arrivals) {
  SimulatedFleet fleet(options, 1);
  fleet.run(Milliseconds(3000));
  fleet.resetCounts();
  Milliseconds now{0};
  for (const Arrival& arrival : arrivals) {
    fleet.run(arrival.at - now);
    now = arrival.at;
    fleet.request(arrival.node, arrival.units);
  }
  fleet.run(Milliseconds(500));
  return {fleet.requested(), fleet.granted(), fleet.checker.worst(options.bounds.window)};
}

/// Simulates one bucket per node; `divide` sets their shares every kInterval.
template <typename Divide>
Outcome simulateBuckets(const FleetOptions& options, const std::vector<Arrival>& arrivals,
                        Divide divide) {
  constexpr Milliseconds kInterval{250};
  const MonotonicTime start{std::chrono::hours(1)};
  std::vector<limits::TokenBucket> buckets(options.nodes);
  std::vector<limits::RateEstimate> demands(options.nodes,
                                            limits::RateEstimate(Milliseconds(2000)));
  const auto equalShare = 1 / static_cast<double>(options.nodes);
  for (limits::TokenBucket& bucket : buckets) {
    bucket.setLimit(options.limit.unitsPerSecond * equalShare, options.limit.burst * equalShare,
                    start);
    bucket.setContent(options.limit.burst * equalShare, start);
  }
  const double maxDebt = Allowance(options.bounds, options.limit).maxDebt;
  WindowChecker checker;
  Outcome outcome;
  Milliseconds divided{0};
  for (const Arrival& arrival : arrivals) {
    for (; divided <= arrival.at; divided += kInterval) {
      divide(buckets, demands, start + divided);
    }
    const MonotonicTime now = start + arrival.at;
    outcome.requested += arrival.units;
    demands[arrival.node].add(arrival.units, now);
    if (buckets[arrival.node].tryTake(arrival.units, maxDebt, now)) {
      outcome.passed += arrival.units;
      checker.add(arrival.units, now);
    }
  }
  outcome.worst = checker.worst(options.bounds.window);
  return outcome;
}

Outcome simulateEqualShares(const FleetOptions& options, const std::vector<Arrival>& arrivals) {
  return simulateBuckets(options, arrivals, [](auto&, auto&, MonotonicTime) {});
}

/// Assumes that all nodes know all demands immediately. Demands reported along a tree would be
/// older, so this is a best case.
Outcome simulateDemandShares(const FleetOptions& options, const std::vector<Arrival>& arrivals) {
  constexpr double kSpareFraction = 0.5;
  return simulateBuckets(
      options, arrivals, [&options](auto& buckets, auto& demands, MonotonicTime now) {
        std::vector<limits::Demand> wanted;
        double sum = 0;
        for (const limits::RateEstimate& demand : demands) {
          wanted.push_back({demand.perSecond(now), 1});
          sum += wanted.back().amount;
        }
        const double level = limits::fairLevel(wanted, options.limit.unitsPerSecond);
        const double spare = std::max(0.0, options.limit.unitsPerSecond - sum) * kSpareFraction /
                             static_cast<double>(buckets.size());
        for (std::size_t node = 0; node < buckets.size(); ++node) {
          const double rate = std::min(wanted[node].amount, level) + spare;
          const double burst = options.limit.burst * rate / options.limit.unitsPerSecond;
          buckets[node].setLimit(rate, burst, now);
        }
      });
}

double allowed(const FleetOptions& options) {
  const double seconds = toMilliseconds(options.bounds.window) / 1000;
  return (options.limit.unitsPerSecond * seconds + options.limit.burst) *
             (1 + options.bounds.overshoot) +
         options.bounds.slack;
}

void logRow(const char* way, std::size_t nodes, std::size_t users, const Outcome& below,
            const Outcome& above, const FleetOptions& options) {
  BOOST_TEST_MESSAGE("| " << way << " | " << nodes << " | " << users << " | "
                          << 1 - below.passed / below.requested << " | "
                          << above.passed / (options.limit.unitsPerSecond * 30) << " | "
                          << above.worst / allowed(options) << " |");
}

BOOST_AUTO_TEST_CASE(claimsRefuseLessBelowTheLimitThanParts) {
  BOOST_TEST_MESSAGE(
      "| way | nodes | nodes with callers | refused at 0.55 of the limit | used at 4 "
      "times the limit | worst window of what is allowed |");
  for (const std::size_t nodes : {8UL, 79UL, 300UL, 3800UL}) {
    for (const std::size_t users : {5UL, nodes}) {
      FleetOptions options;
      options.nodes = nodes;
      const std::vector<Arrival> below = drawArrivals(options, 0.55, users, 11);
      const std::vector<Arrival> above = drawArrivals(options, 4, users, 12);
      const Outcome claimsBelow = simulateClaims(options, below);
      const Outcome claimsAbove = simulateClaims(options, above);
      const Outcome equalBelow = simulateEqualShares(options, below);
      const Outcome sharesBelow = simulateDemandShares(options, below);
      logRow("claims along the tree", nodes, users, claimsBelow, claimsAbove, options);
      logRow("even parts", nodes, users, equalBelow, simulateEqualShares(options, above), options);
      logRow("shares by demand", nodes, users, sharesBelow, simulateDemandShares(options, above),
             options);
      BOOST_TEST(claimsBelow.passed >= equalBelow.passed);
      BOOST_TEST(claimsBelow.passed >= sharesBelow.passed);
      BOOST_TEST(claimsAbove.worst <= allowed(options));
    }
  }
}

}  // namespace
}  // namespace calicodrift::quota
