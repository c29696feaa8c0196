#include <boost/test/unit_test.hpp>

#include "membership/membership_fleet.h"
#include "peer/codec.h"

namespace calicodrift::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kNodes = 50;
constexpr std::size_t kZones = 3;
/// In a fleet of 50: a probe period, twice the suspicion time and the time to spread.
constexpr Milliseconds kDetectionBound{12'000};

/// 50 nodes in 3 zones that know each other.
struct JoinedFleet : MembershipFleet {
  explicit JoinedFleet(MembershipSettings settings = {}, std::uint64_t seed = 1)
      : MembershipFleet(kNodes, kZones, std::move(settings), seed) {
    startAll();
    BOOST_REQUIRE(runUntilAgreed(seconds(60)));
    deaths.clear();
  }
  std::size_t sum(std::uint64_t membership::MembershipCounters::*field) {
    std::size_t total = 0;
    for (std::size_t index = 0; index < size(); ++index) {
      total += node(index).counters().*field;
    }
    return total;
  }
};

BOOST_AUTO_TEST_CASE(fiftyNodesJoinFromTwoSeedsWithinBoundedMessages) {
  MembershipFleet fleet(kNodes, kZones, {});
  fleet.startAll();
  BOOST_TEST(fleet.runUntilAgreed(seconds(30)));
  BOOST_TEST_MESSAGE("joined after s: " << fleet.network.now().time_since_epoch().count() / 1e9);
  BOOST_TEST(fleet.largestPayload <= peer::kMaxPayloadBytes);
  BOOST_TEST(fleet.deaths.empty());
  fleet.network.run(seconds(60));
  const std::uint64_t before = fleet.sentBytes;
  fleet.network.run(seconds(60));
  const double perNodeAndSecond = static_cast<double>(fleet.sentBytes - before) / kNodes / 60;
  BOOST_TEST_MESSAGE("idle bytes per node and second: " << perNodeAndSecond);
  BOOST_TEST(perNodeAndSecond < 1000);
}

BOOST_FIXTURE_TEST_CASE(crashedNodeIsDeadEverywhereWithinTheBound, JoinedFleet) {
  crash(7);
  const MonotonicTime crashed = network.now();
  BOOST_TEST(runUntilAgreed(kDetectionBound));
  BOOST_REQUIRE(deaths.size() == kNodes - 1);
  for (const Death& death : deaths) {
    BOOST_TEST((death.subject == idOf(7)));
  }
  BOOST_TEST_MESSAGE("first ms: " << toMilliseconds(deaths.front().time - crashed)
                                  << " last ms: " << toMilliseconds(deaths.back().time - crashed));
}

BOOST_FIXTURE_TEST_CASE(lossOfAWholeZoneIsNoticedByTheOthers, JoinedFleet) {
  for (std::size_t index = 0; index < kNodes; index += kZones) {
    crash(index);
  }
  BOOST_TEST(runUntilAgreed(seconds(40)));
}

BOOST_FIXTURE_TEST_CASE(noHealthyNodeDiesUnderTenPercentLossInAnHour, JoinedFleet) {
  network.setFaults({0.1, 0.01, Milliseconds(1), Milliseconds(50)});
  network.run(minutes(60));
  BOOST_TEST_MESSAGE("suspicions: " << sum(&membership::MembershipCounters::suspicions)
                                    << " deaths: " << deaths.size());
  BOOST_TEST(deaths.size() == 0U);
  BOOST_TEST(sum(&membership::MembershipCounters::refutations) > 0U);
}

BOOST_FIXTURE_TEST_CASE(oneWayCutBetweenTwoNodesMakesNobodyFlap, JoinedFleet) {
  cutBetween({0, 1, 2}, {3, 4, 5});
  network.run(minutes(10));
  BOOST_TEST(deaths.size() == 0U);
  BOOST_TEST_MESSAGE("suspicions: " << sum(&membership::MembershipCounters::suspicions));
  BOOST_TEST(sum(&membership::MembershipCounters::suspicions) == 0U);
}

BOOST_FIXTURE_TEST_CASE(halvesPartedForAMinuteFindEachOtherAgain, JoinedFleet) {
  cutBetween(range(0, kNodes / 2), range(kNodes / 2, kNodes));
  cutBetween(range(kNodes / 2, kNodes), range(0, kNodes / 2));
  network.run(minutes(1));
  BOOST_TEST(node(0).table().presentCount() == kNodes / 2);
  network.healAll();
  BOOST_TEST(runUntilAgreed(seconds(60)));
}

BOOST_FIXTURE_TEST_CASE(herdRestartOfAllButOneRejoinsWithoutFloodingASeed, JoinedFleet) {
  for (std::size_t index = 0; index + 1 < kNodes; ++index) {
    start(index);
  }
  BOOST_TEST(runUntilAgreed(seconds(60)));
  for (std::size_t index = 0; index < 2; ++index) {
    const membership::MembershipCounters& seed = node(index).counters();
    BOOST_TEST_MESSAGE("seed answered " << seed.joinAnswers << ", put off " << seed.joinsPutOff);
    BOOST_TEST(seed.joinAnswers + seed.joinsPutOff <= 2 * kNodes);
  }
}

BOOST_FIXTURE_TEST_CASE(restartedNodeIsKnownAsItsNewIncarnationAtOnce, JoinedFleet) {
  std::vector<MemberChange> seen;
  node(20).addListener([&seen](const MemberRecord& record, MemberChange change) {
    if (record.info.id == idOf(7)) {
      seen.push_back(change);
    }
  });
  start(7);
  BOOST_TEST(runUntilAgreed(seconds(5)));
  BOOST_REQUIRE(!seen.empty());
  BOOST_TEST((seen.front() == MemberChange::kRestarted));
  BOOST_TEST(deaths.empty());
}

BOOST_FIXTURE_TEST_CASE(pausedNodeFindsOutThatItWasDeclaredDeadAndRejoins, JoinedFleet) {
  int declaredDead = 0;
  node(7).addListener([&declaredDead](const MemberRecord& record, MemberChange change) {
    declaredDead += record.info.id == idOf(7) && change == MemberChange::kDied ? 1 : 0;
  });
  pause(7);
  BOOST_TEST(runUntil([this] { return deaths.size() == kNodes - 1; }, seconds(30)));
  const std::size_t before = deaths.size();
  resume(7);
  BOOST_TEST(runUntilAgreed(seconds(10)));
  BOOST_TEST(declaredDead == 1);
  BOOST_TEST(node(7).table().self().refutations > 0U);
  // The one that was paused accuses nobody.
  BOOST_TEST(deaths.size() == before);
}

BOOST_FIXTURE_TEST_CASE(leavingNodeIsGoneAtOnceAndCallsForNoSuspicion, JoinedFleet) {
  node(7).leave(network.now());
  const bool gone = runUntil(
      [this] {
        for (std::size_t index = 0; index < kNodes; ++index) {
          const MemberRecord* record = node(index).table().find(membership::keyOf(idOf(7)));
          if (record->state != membership::MemberState::kLeft) {
            return false;
          }
        }
        return true;
      },
      seconds(3));
  BOOST_TEST(gone);
  crash(7);
  network.run(seconds(60));
  BOOST_TEST(deaths.empty());
}

BOOST_AUTO_TEST_CASE(twoNodesUnderLossDoNotDeclareEachOtherDead) {
  MembershipFleet fleet(2, 2, {});
  fleet.startAll();
  BOOST_REQUIRE(fleet.runUntilAgreed(seconds(30)));
  fleet.network.setFaults({0.1, 0, Milliseconds(1), Milliseconds(5)});
  fleet.network.run(minutes(30));
  BOOST_TEST(fleet.deaths.size() == 0U);
}

BOOST_AUTO_TEST_CASE(aRestartWithTheClockSetBackIsStillTheNewerIncarnation) {
  MembershipFleet fleet(5, 1, {});
  fleet.startAll();
  BOOST_REQUIRE(fleet.runUntilAgreed(seconds(30)));
  MemberRecord later = fleet.node(3).table().self();
  fleet.crash(3);
  later.info.incarnation = Incarnation(later.info.incarnation.value() + 1'000'000'000'000'000);
  membership::Envelope rumor{
      {fleet.idOf(4), fleet.node(4).self().incarnation, 0}, {}, membership::Gossip{}, {later}};
  fleet.node(0).receive(fleet.network.now(), fleet.endpointOf(4), peer::encode(rumor));
  fleet.start(3);
  BOOST_TEST(fleet.runUntilAgreed(seconds(30)));
  BOOST_TEST((fleet.node(3).self().incarnation > later.info.incarnation));
}

BOOST_AUTO_TEST_CASE(malformedMessagesAreCountedAndChangeNothing) {
  MembershipFleet fleet(1, 1, {});
  fleet.startAll();
  fleet.node(0).receive(fleet.network.now(), fleet.endpointOf(1), "garbage");
  BOOST_TEST(fleet.node(0).counters().malformed == 1U);
  BOOST_TEST(fleet.node(0).table().presentCount() == 1U);
}

}  // namespace
}  // namespace calicodrift::testing
