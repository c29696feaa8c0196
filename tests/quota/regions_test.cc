#include <boost/test/unit_test.hpp>
#include <random>

#include "simulated_fleet.h"

namespace calicodrift::quota {
namespace {

constexpr std::size_t kRegions = 3;
constexpr std::size_t kNodesPerRegion = 20;

FleetOptions threeRegions() {
  FleetOptions options;
  options.regions = kRegions;
  options.nodes = kRegions * kNodesPerRegion;
  return options;
}

double allowedIn(const FleetOptions& options) {
  const double seconds = toMilliseconds(options.bounds.window) / 1000;
  return (options.limit.unitsPerSecond * seconds + options.limit.burst) *
             (1 + options.bounds.overshoot) +
         options.bounds.slack;
}

/// Sends requests to the `count` nodes starting at `first`, at `loadFactor` times the tenant's
/// limit.
void sendToNodes(SimulatedFleet& fleet, const FleetOptions& options, std::size_t first,
                 std::size_t count, double loadFactor, Milliseconds duration) {
  constexpr double kUnits = 4000;
  const double perSecond = options.limit.unitsPerSecond * loadFactor / kUnits;
  std::uniform_int_distribution<std::size_t> randomNode(first, first + count - 1);
  double due = 0;
  for (Milliseconds passed{0}; passed < duration; passed += Milliseconds(5)) {
    fleet.run(Milliseconds(5));
    for (due += perSecond * 0.005; due >= 1; due -= 1) {
      fleet.request(randomNode(fleet.random()), kUnits);
    }
  }
}

BOOST_AUTO_TEST_SUITE(limits_over_regions)

BOOST_AUTO_TEST_CASE(aTenantInOneRegionGetsItsWholeLimit) {
  for (const double loadFactor : {0.8, 1.0, 3.0}) {
    const FleetOptions options = threeRegions();
    SimulatedFleet fleet(options, 3);
    sendToNodes(fleet, options, kNodesPerRegion, kNodesPerRegion, loadFactor, Milliseconds(3000));
    fleet.resetCounts();
    sendToNodes(fleet, options, kNodesPerRegion, kNodesPerRegion, loadFactor, Milliseconds(20'000));
    const double wanted = options.limit.unitsPerSecond * std::min(loadFactor, 1.0) * 20;
    const double used = fleet.granted() / wanted;
    BOOST_TEST_MESSAGE("sent " << loadFactor << " of the limit to one region, got " << used);
    BOOST_TEST(used > 0.95);
    BOOST_TEST(fleet.checker.worst(options.bounds.window) <= allowedIn(options));
  }
}

BOOST_AUTO_TEST_CASE(demandThatMovesToAnotherRegionIsFollowed) {
  const FleetOptions options = threeRegions();
  SimulatedFleet fleet(options, 4);
  for (std::size_t round = 0; round < 6; ++round) {
    const std::size_t first = (round % kRegions) * kNodesPerRegion;
    sendToNodes(fleet, options, first, kNodesPerRegion, 2, Milliseconds(2000));
    fleet.resetCounts();
    sendToNodes(fleet, options, first, kNodesPerRegion, 2, Milliseconds(4000));
    BOOST_TEST(fleet.granted() > 0.9 * options.limit.unitsPerSecond * 4);
  }
  BOOST_TEST(fleet.checker.worst(options.bounds.window) <= allowedIn(options));
}

BOOST_AUTO_TEST_CASE(anIsolatedRegionKeepsItsOwnShare) {
  const FleetOptions options = threeRegions();
  SimulatedFleet fleet(options, 5);
  sendToNodes(fleet, options, 0, kNodesPerRegion, 2, Milliseconds(4000));
  fleet.cutRegion(0, true);
  sendToNodes(fleet, options, 0, kNodesPerRegion, 2, Milliseconds(2000));
  fleet.resetCounts();
  sendToNodes(fleet, options, 0, kNodesPerRegion, 2, Milliseconds(10'000));
  const double used = fleet.granted() / (options.limit.unitsPerSecond * 10);
  BOOST_TEST(used > 0.9 / kRegions);
  BOOST_TEST(used < 1.1 / kRegions);
  fleet.cutRegion(0, false);
  sendToNodes(fleet, options, 0, kNodesPerRegion, 2, Milliseconds(2000));
  fleet.resetCounts();
  sendToNodes(fleet, options, 0, kNodesPerRegion, 2, Milliseconds(10'000));
  BOOST_TEST(fleet.granted() > 0.95 * options.limit.unitsPerSecond * 10);
}

/// Injects one random fault: a region is isolated for a while, or one of its roots is killed,
/// frozen or replaced.
void injectFault(SimulatedFleet& fleet) {
  const auto any = [&fleet](std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(fleet.random());
  };
  fleet.schedule(Milliseconds(any(0, 16'000)), [&fleet, any] {
    const auto region = static_cast<std::size_t>(any(0, kRegions - 1));
    const std::vector<std::size_t> roots = fleet.rootsOf(region);
    const std::size_t victim = roots[static_cast<std::size_t>(any(0, 1)) % roots.size()];
    const Milliseconds outage(any(300, 5000));
    switch (any(0, 3)) {
      case 0:
        fleet.cutRegion(region, true);
        fleet.schedule(outage, [&fleet, region] { fleet.cutRegion(region, false); });
        break;
      case 1:
        fleet.kill(victim);
        fleet.schedule(outage, [&fleet, victim] { fleet.start(victim); });
        break;
      case 2:
        fleet.freeze(victim, outage);
        break;
      default:
        // The old root learns late that it is no longer a root.
        fleet.replaceRoot(victim, victim - victim % kNodesPerRegion + kNodesPerRegion - 1, outage);
        break;
    }
  });
}

BOOST_AUTO_TEST_CASE(noWindowExceedsTheLimitWhicheverRegionsAreIsolated) {
  constexpr std::uint64_t kSeeds = 200;
  double worstShare = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetOptions options = threeRegions();
    options.loss = seed % 3 == 0 ? 0.05 : 0;
    if (seed % 2 == 0) {
      options.bounds = {Milliseconds(4000), 0.1, 30'000};
    }
    SimulatedFleet fleet(options, seed);
    fleet.run(Milliseconds(2000));
    for (int count = 0; count < 6; ++count) {
      injectFault(fleet);
    }
    // Load on one region, on two, or on all of them.
    const std::size_t busyRegions = 1 + seed % kRegions;
    sendToNodes(fleet, options, 0, busyRegions * kNodesPerRegion, 4, Milliseconds(20'000));
    const double share = fleet.checker.worst(options.bounds.window) / allowedIn(options);
    worstShare = std::max(worstShare, share);
    BOOST_TEST(share <= 1, "seed " << seed << ": " << share << " of what is allowed");
  }
  BOOST_TEST_MESSAGE("worst window over " << kSeeds << " seeds: " << worstShare);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::quota
