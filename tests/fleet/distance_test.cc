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

/// Records the least number of connections that raises an estimate.
void observeThreeTimes(Distances& distances, const ZoneId& zone, double milliseconds,
                       MonotonicTime now) {
  for (int count = 0; count < 3; ++count) {
    distances.observe(zone, milliseconds, now);
  }
}

BOOST_AUTO_TEST_SUITE(distances)

BOOST_AUTO_TEST_CASE(distanceIsZeroWithinASingleRegion) {
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
    BOOST_TEST((distances.distanceTo(kNeighbour, kStart) == ZoneDistance{0, true}));
    BOOST_TEST((distances.distanceTo(kOwn, kStart) == ZoneDistance{0, true}));
  }
}

BOOST_AUTO_TEST_CASE(unknownZoneBesideASingleRegionIsFarthest) {
  DistanceSettings settings;
  settings.zone = kOwn;
  settings.regions = {{kOwn, "r1"}, {kNeighbour, "r1"}};
  Distances distances(settings);
  BOOST_TEST((distances.distanceTo(ZoneId("nowhere"), kStart) == ZoneDistance{60, false}));
}

BOOST_AUTO_TEST_CASE(rttRisesAfterThreeSamplesAndFallsAfterOne) {
  Distances distances(twoRegions());
  distances.observe(kNeighbour, 250, kStart);
  distances.observe(kNeighbour, 250, kStart);
  BOOST_TEST((distances.distanceTo(kNeighbour, kStart) == ZoneDistance{0, true}));
  distances.observe(kNeighbour, 250, kStart);
  BOOST_TEST((distances.distanceTo(kNeighbour, kStart) == ZoneDistance{250, true}));
  distances.observe(kNeighbour, 20, kStart);
  BOOST_TEST((distances.distanceTo(kNeighbour, kStart) == ZoneDistance{20, true}));
}

BOOST_AUTO_TEST_CASE(singleSlowSampleInALaterWindowDoesNotRaiseTheRtt) {
  const DistanceSettings settings = twoRegions();
  Distances distances(settings);
  MonotonicTime now = kStart;
  distances.observe(kFar, 30, now);
  for (int count = 0; count < 4; ++count) {
    now += settings.window + Milliseconds(1);
    distances.observe(kFar, 800, now);
    BOOST_TEST(distances.distanceTo(kFar, now).rttMs == 30);
  }
}

BOOST_AUTO_TEST_CASE(rttIncreaseAtTheEndOfAWindowIsReported) {
  const DistanceSettings settings = twoRegions();
  Distances distances(settings);
  distances.observe(kFar, 30, kStart);
  const MonotonicTime next = kStart + settings.window;
  observeThreeTimes(distances, kFar, 90, next);
  BOOST_TEST(distances.distanceTo(kFar, next).rttMs == 30);
  BOOST_TEST(!distances.dropExpired(next + settings.window - Milliseconds(1)));
  BOOST_TEST(distances.dropExpired(next + settings.window));
  BOOST_TEST(distances.distanceTo(kFar, next + settings.window).rttMs == 90);
}

BOOST_AUTO_TEST_CASE(expiryOfAnEstimateIsReportedOnce) {
  const DistanceSettings settings = twoRegions();
  std::vector<double> reported;
  Distances distances(
      settings, {{}, [&reported](const ZoneId&, double rttMs) { reported.push_back(rttMs); }});
  distances.observe(kFar, 25, kStart);
  const MonotonicTime end = kStart + 2 * settings.window;
  BOOST_TEST(!distances.dropExpired(end - Milliseconds(1)));
  BOOST_TEST(distances.dropExpired(end));
  BOOST_TEST(!distances.dropExpired(end));
  BOOST_TEST((reported == std::vector<double>{25, 60}));
}

BOOST_AUTO_TEST_CASE(defaultRttIsUsedUntilMeasured) {
  Distances distances(twoRegions());
  BOOST_TEST((distances.distanceTo(kOwn, kStart) == ZoneDistance{0, true}));
  BOOST_TEST((distances.distanceTo(kNeighbour, kStart) == ZoneDistance{0, true}));
  BOOST_TEST((distances.distanceTo(kFar, kStart) == ZoneDistance{60, false}));
  BOOST_TEST(distances.observe(kFar, 25, kStart));
  BOOST_TEST((distances.distanceTo(kFar, kStart) == ZoneDistance{25, false}));
}

BOOST_AUTO_TEST_CASE(allZonesAreOneRegionWithoutARegionTable) {
  DistanceSettings settings;
  settings.zone = kOwn;
  const Distances distances(settings);
  BOOST_TEST((distances.distanceTo(kFar, kStart) == ZoneDistance{0, true}));
  BOOST_TEST((distances.distanceTo(ZoneId(), kStart) == ZoneDistance{0, true}));
}

BOOST_AUTO_TEST_CASE(singleSlowConnectionDoesNotRaiseTheRtt) {
  Distances distances(twoRegions());
  distances.observe(kFar, 30, kStart);
  BOOST_TEST(!distances.observe(kFar, 800, kStart + Milliseconds(10)));
  BOOST_TEST(distances.distanceTo(kFar, kStart + Milliseconds(20)).rttMs == 30);
}

BOOST_AUTO_TEST_CASE(rttIncreaseIsKnownAfterTwoWindows) {
  const DistanceSettings settings = twoRegions();
  Distances distances(settings);
  MonotonicTime now = kStart;
  distances.observe(kFar, 30, now);
  for (; now < kStart + 2 * settings.window; now += Milliseconds(1000)) {
    distances.observe(kFar, 90, now);
  }
  BOOST_TEST(distances.distanceTo(kFar, now).rttMs == 90);
}

BOOST_AUTO_TEST_CASE(expiredEstimateFallsBackToTheDefault) {
  const DistanceSettings settings = twoRegions();
  Distances distances(settings);
  distances.observe(kFar, 25, kStart);
  BOOST_TEST(distances.distanceTo(kFar, kStart + settings.window).rttMs == 25);
  BOOST_TEST(distances.distanceTo(kFar, kStart + 2 * settings.window).rttMs == 60);
}

BOOST_AUTO_TEST_CASE(sameRegionRttCountsOnlyFromTheFloorOn) {
  Distances distances(twoRegions());
  distances.observe(kNeighbour, 9, kStart);
  BOOST_TEST((distances.distanceTo(kNeighbour, kStart) == ZoneDistance{0, true}));
  Distances slow(twoRegions());
  observeThreeTimes(slow, kNeighbour, 14, kStart);
  BOOST_TEST((slow.distanceTo(kNeighbour, kStart) == ZoneDistance{14, true}));
}

BOOST_AUTO_TEST_CASE(estimatesAreBounded) {
  Distances distances(twoRegions());
  observeThreeTimes(distances, kFar, 50'000, kStart);
  BOOST_TEST(distances.distanceTo(kFar, kStart).rttMs == Distances::kMaxRttMs);
  distances.observe(kFar, -3, kStart);
  BOOST_TEST(distances.distanceTo(kFar, kStart).rttMs == 0);
}

BOOST_AUTO_TEST_CASE(zoneWithoutARegionIsFarthestAndReportedOnce) {
  std::vector<ZoneId> reported;
  Distances distances(twoRegions(),
                      {[&reported](const ZoneId& zone) { reported.push_back(zone); }, {}});
  observeThreeTimes(distances, kFar, 140, kStart);
  for (int count = 0; count < 3; ++count) {
    distances.addZone(ZoneId("nowhere"));
    distances.addZone(kFar);
  }
  BOOST_TEST((reported == std::vector{ZoneId("nowhere")}));
  BOOST_TEST((distances.distanceTo(ZoneId("nowhere"), kStart) == ZoneDistance{140, false}));
}

BOOST_AUTO_TEST_CASE(itemsWithoutARegionAreSkipped) {
  const auto regions = parseZoneRegions({"a=r1", "b=", "c", "d=r2"});
  BOOST_TEST((regions == std::map<ZoneId, std::string>{{kOwn, "r1"}, {ZoneId("d"), "r2"}}));
}

BOOST_AUTO_TEST_CASE(onlyTheRttCountsWithoutRegionPreference) {
  DistanceSettings settings = twoRegions();
  settings.preferOwnRegion = false;
  const Distances distances(settings);
  BOOST_TEST((distances.distanceTo(kFar, kStart) == ZoneDistance{60, true}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
