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

/// Connections to the zone that took so long, as many as make a longer way known.
void observeOften(Distances& distances, const ZoneId& zone, double milliseconds,
                  MonotonicTime now) {
  for (int count = 0; count < 3; ++count) {
    distances.observe(zone, milliseconds, now);
  }
}

BOOST_AUTO_TEST_SUITE(distances)

BOOST_AUTO_TEST_CASE(inOneRegionThereIsNoDistance) {
  DistanceSettings oneRegion;
  oneRegion.zone = kOwn;
  DistanceSettings tableOfOne = oneRegion;
  tableOfOne.regions = {{kOwn, "r1"}, {kNeighbour, "r1"}};
  for (const DistanceSettings& settings : {oneRegion, tableOfOne}) {
    Distances distances(settings);
    for (int count = 0; count < 20; ++count) {
      BOOST_TEST(!distances.observe(kNeighbour, 250, kStart));
      BOOST_TEST(!distances.observe(kOwn, 250, kStart));
    }
    BOOST_TEST((distances.wayTo(kNeighbour, kStart) == Way{0, true}));
    BOOST_TEST((distances.wayTo(kOwn, kStart) == Way{0, true}));
  }
}

BOOST_AUTO_TEST_CASE(anUnknownZoneBesideOneRegionIsTheFarthest) {
  DistanceSettings settings;
  settings.zone = kOwn;
  settings.regions = {{kOwn, "r1"}, {kNeighbour, "r1"}};
  Distances distances(settings);
  BOOST_TEST((distances.wayTo(ZoneId("nowhere"), kStart) == Way{60, false}));
}

BOOST_AUTO_TEST_CASE(aWayIsRaisedByThreeConnectionsAndLoweredByOne) {
  Distances distances(twoRegions());
  distances.observe(kNeighbour, 250, kStart);
  distances.observe(kNeighbour, 250, kStart);
  BOOST_TEST((distances.wayTo(kNeighbour, kStart) == Way{0, true}));
  distances.observe(kNeighbour, 250, kStart);
  BOOST_TEST((distances.wayTo(kNeighbour, kStart) == Way{250, true}));
  distances.observe(kNeighbour, 20, kStart);
  BOOST_TEST((distances.wayTo(kNeighbour, kStart) == Way{20, true}));
}

BOOST_AUTO_TEST_CASE(aLoneSlowConnectionInALaterWindowRaisesNothing) {
  const DistanceSettings settings = twoRegions();
  Distances distances(settings);
  MonotonicTime now = kStart;
  distances.observe(kFar, 30, now);
  for (int count = 0; count < 4; ++count) {
    now += settings.window + Milliseconds(1);
    distances.observe(kFar, 800, now);
    BOOST_TEST(distances.wayTo(kFar, now).milliseconds == 30);
  }
}

BOOST_AUTO_TEST_CASE(aWayThatGrowsWithTheEndOfAWindowIsTold) {
  const DistanceSettings settings = twoRegions();
  Distances distances(settings);
  distances.observe(kFar, 30, kStart);
  const MonotonicTime next = kStart + settings.window;
  observeOften(distances, kFar, 90, next);
  BOOST_TEST(distances.wayTo(kFar, next).milliseconds == 30);
  BOOST_TEST(!distances.dropExpired(next + settings.window - Milliseconds(1)));
  BOOST_TEST(distances.dropExpired(next + settings.window));
  BOOST_TEST(distances.wayTo(kFar, next + settings.window).milliseconds == 90);
}

BOOST_AUTO_TEST_CASE(theEndOfWhatWasLearntIsToldOnce) {
  const DistanceSettings settings = twoRegions();
  std::vector<double> told;
  Distances distances(settings,
                      {{}, [&told](const ZoneId&, double wayMs) { told.push_back(wayMs); }});
  distances.observe(kFar, 25, kStart);
  const MonotonicTime end = kStart + 2 * settings.window;
  BOOST_TEST(!distances.dropExpired(end - Milliseconds(1)));
  BOOST_TEST(distances.dropExpired(end));
  BOOST_TEST(!distances.dropExpired(end));
  BOOST_TEST((told == std::vector<double>{25, 60}));
}

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
  observeOften(slow, kNeighbour, 14, kStart);
  BOOST_TEST((slow.wayTo(kNeighbour, kStart) == Way{14, true}));
}

BOOST_AUTO_TEST_CASE(learntWaysAreBounded) {
  Distances distances(twoRegions());
  observeOften(distances, kFar, 50'000, kStart);
  BOOST_TEST(distances.wayTo(kFar, kStart).milliseconds == Distances::kLongestWayMs);
  distances.observe(kFar, -3, kStart);
  BOOST_TEST(distances.wayTo(kFar, kStart).milliseconds == 0);
}

BOOST_AUTO_TEST_CASE(aZoneWithoutARegionIsTheFarthestAndToldOnce) {
  std::vector<ZoneId> told;
  Distances distances(twoRegions(), {[&told](const ZoneId& zone) { told.push_back(zone); }, {}});
  observeOften(distances, kFar, 140, kStart);
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
