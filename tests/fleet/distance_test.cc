#include "fleet/distance.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::fleet {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ZoneId kOwn("a");
const ZoneId kNeighbour("b");
const ZoneId kFar("c");

DistanceSettings twoRegions() {
  DistanceSettings settings;
  settings.zone = kOwn;
  settings.regions = {{kOwn, "r1"}, {kNeighbour, "r1"}, {kFar, "r2"}};
  return settings;
}

BOOST_AUTO_TEST_SUITE(distances)

BOOST_AUTO_TEST_CASE(aWayIsExpectedUntilItIsLearnt) {
  Distances distances(twoRegions());
  BOOST_TEST((distances.wayTo(kOwn, kStart) == Way{0, true}));
  BOOST_TEST((distances.wayTo(kNeighbour, kStart) == Way{0, true}));
  BOOST_TEST((distances.wayTo(kFar, kStart) == Way{60, false}));
  BOOST_TEST(distances.observe(kFar, 25, kStart));
  BOOST_TEST((distances.wayTo(kFar, kStart) == Way{25, false}));
}

BOOST_AUTO_TEST_CASE(withoutATableAllZonesAreOneRegion) {
  DistanceSettings settings;
  settings.zone = kOwn;
  const Distances distances(settings);
  BOOST_TEST((distances.wayTo(kFar, kStart) == Way{0, true}));
  BOOST_TEST((distances.wayTo(ZoneId(), kStart) == Way{0, true}));
}

BOOST_AUTO_TEST_CASE(slowConnectionsAreNoDistance) {
  Distances distances(twoRegions());
  distances.observe(kFar, 30, kStart);
  BOOST_TEST(!distances.observe(kFar, 800, kStart + Milliseconds(10)));
  BOOST_TEST(distances.wayTo(kFar, kStart + Milliseconds(20)).milliseconds == 30);
}

BOOST_AUTO_TEST_CASE(aWayThatGrewIsKnownAfterTwoWindows) {
  const DistanceSettings settings = twoRegions();
  Distances distances(settings);
  MonotonicTime now = kStart;
  distances.observe(kFar, 30, now);
  for (; now < kStart + 2 * settings.window; now += Milliseconds(1000)) {
    distances.observe(kFar, 90, now);
  }
  BOOST_TEST(distances.wayTo(kFar, now).milliseconds == 90);
}

BOOST_AUTO_TEST_CASE(whatWasLearntAgesToWhatIsExpected) {
  const DistanceSettings settings = twoRegions();
  Distances distances(settings);
  distances.observe(kFar, 25, kStart);
  BOOST_TEST(distances.wayTo(kFar, kStart + settings.window).milliseconds == 25);
  BOOST_TEST(distances.wayTo(kFar, kStart + 2 * settings.window).milliseconds == 60);
}

BOOST_AUTO_TEST_CASE(aWayInsideTheRegionCountsFromTheFloorOn) {
  Distances distances(twoRegions());
  distances.observe(kNeighbour, 9, kStart);
  BOOST_TEST((distances.wayTo(kNeighbour, kStart) == Way{0, true}));
  Distances slow(twoRegions());
  slow.observe(kNeighbour, 14, kStart);
  BOOST_TEST((slow.wayTo(kNeighbour, kStart) == Way{14, true}));
}

BOOST_AUTO_TEST_CASE(learntWaysAreBounded) {
  Distances distances(twoRegions());
  distances.observe(kFar, 50'000, kStart);
  BOOST_TEST(distances.wayTo(kFar, kStart).milliseconds == Distances::kLongestWayMs);
  distances.observe(kFar, -3, kStart);
  BOOST_TEST(distances.wayTo(kFar, kStart).milliseconds == 0);
}

BOOST_AUTO_TEST_CASE(aZoneWithoutARegionIsTheFarthestAndToldOnce) {
  std::vector<ZoneId> told;
  Distances distances(twoRegions(), {[&told](const ZoneId& zone) { told.push_back(zone); }, {}});
  distances.observe(kFar, 140, kStart);
  for (int count = 0; count < 3; ++count) {
    distances.noteZone(ZoneId("nowhere"));
    distances.noteZone(kFar);
  }
  BOOST_TEST((told == std::vector{ZoneId("nowhere")}));
  BOOST_TEST((distances.wayTo(ZoneId("nowhere"), kStart) == Way{140, false}));
}

BOOST_AUTO_TEST_CASE(itemsWithoutARegionAreLeftOut) {
  const auto regions = parseZoneRegions({"a=r1", "b=", "c", "d=r2"});
  BOOST_TEST((regions == std::map<ZoneId, std::string>{{kOwn, "r1"}, {ZoneId("d"), "r2"}}));
}

BOOST_AUTO_TEST_CASE(withoutHomesByRegionOnlyTheWayCounts) {
  DistanceSettings settings = twoRegions();
  settings.preferOwnRegion = false;
  const Distances distances(settings);
  BOOST_TEST((distances.wayTo(kFar, kStart) == Way{60, true}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
