#include <boost/test/unit_test.hpp>

#include "claims/simulated_fleet.h"

namespace calicodrift::claims::testing {
namespace {

constexpr Milliseconds kConvergenceTime{3000};

/// Partitions the fleet so that nodes in `side` and the other nodes cannot reach each other and
/// suspect each other.
void split(SimulatedFleet& fleet, const std::set<std::size_t>& side) {
  fleet.network.healAll();
  for (std::size_t from = 0; from < fleet.size(); ++from) {
    for (std::size_t to = 0; to < fleet.size(); ++to) {
      if (side.contains(from) == side.contains(to)) {
        continue;
      }
      fleet.network.cut(fleet.endpoint(from), fleet.endpoint(to));
      if (fleet.running(from)) {
        fleet.directory(from).suspected.insert(NodeId("n" + std::to_string(to)));
      }
    }
  }
}

/// Two of three replicas move to a second epoch with two new nodes and restart without the object
/// API. They can then reach only each other and the third replica, which is still in the first
/// epoch. Returns the maximum number of dispatches of a key.
int maxDispatchesAfterOldEpochIsOffered(bool proveCurrentEpoch) {
  ClaimSettings settings = shortTimeoutSettings();
  settings.rules.proveCurrentEpoch = proveCurrentEpoch;
  SimulatedFleet fleet(1, 5, settings);
  fleet.stop(3);
  fleet.stop(4);
  fleet.network.run(kConvergenceTime);
  split(fleet, {2});
  fleet.store(2).setDown(true);
  fleet.start(3);
  fleet.start(4);
  fleet.directory(3).suspected.insert(NodeId("n2"));
  fleet.directory(4).suspected.insert(NodeId("n2"));
  fleet.network.run(kConvergenceTime);
  BOOST_TEST(fleet.node(2).view().epoch.value() < fleet.node(3).view().epoch.value());
  for (const std::size_t index : {0U, 1U}) {
    fleet.store(index).setDown(true);
    fleet.restart(index);
  }
  split(fleet, {0, 1, 2});
  fleet.network.run(kConvergenceTime);
  constexpr int kKeys = 40;
  for (int count = 0; count < kKeys; ++count) {
    const ClaimKey key = fleet.makeKey(0);
    fleet.request(2, key, Milliseconds(10));
    fleet.request(3, key, Milliseconds(10));
    fleet.network.run(Milliseconds(300));
  }
  return fleet.maxDispatchesOfAnyKey();
}

BOOST_AUTO_TEST_CASE(aRestartedReplicaDoesNotReviveAnEpochItHasLeft) {
  BOOST_TEST(maxDispatchesAfterOldEpochIsOffered(true) <= 1);
  BOOST_TEST(maxDispatchesAfterOldEpochIsOffered(false) == 2);
}

BOOST_AUTO_TEST_CASE(aReplicaThatRestartsWhileTheStoreIsDownVotesOnceTheOthersConfirmIt) {
  SimulatedFleet fleet(2, 3, shortTimeoutSettings());
  fleet.network.run(kConvergenceTime);
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    fleet.store(index).setDown(true);
  }
  fleet.restart(1);
  fleet.network.run(kConvergenceTime);
  BOOST_TEST(fleet.node(1).votingGroups() == kGroupCount);
  // After a simultaneous restart no node is left to confirm the others, so every claim is refused
  // until the store is reachable again.
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    fleet.restart(index);
  }
  fleet.network.run(kConvergenceTime);
  const ClaimKey key = fleet.makeKey(0);
  fleet.request(0, key, Milliseconds(10));
  fleet.network.run(Milliseconds(1000));
  BOOST_TEST((fleet.lastVerdict[key] == ClaimVerdict::kUnavailable));
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    fleet.store(index).setDown(false);
  }
  fleet.network.run(kConvergenceTime);
  const ClaimKey later = fleet.makeKey(0);
  fleet.request(0, later, Milliseconds(10));
  fleet.network.run(Milliseconds(1000));
  BOOST_TEST((fleet.lastVerdict[later] == ClaimVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(anOperatorCanMarkAViewEstablishedAfterReplicaLoss) {
  SimulatedFleet fleet(4, 3, shortTimeoutSettings());
  fleet.network.run(kConvergenceTime);
  fleet.stop(1);
  fleet.stop(2);
  fleet.network.run(kConvergenceTime);
  const auto verdictOfNewKey = [&fleet] {
    const ClaimKey key = fleet.makeKey(0);
    fleet.request(0, key, Milliseconds(10));
    fleet.network.run(Milliseconds(1000));
    return fleet.lastVerdict[key];
  };
  BOOST_TEST(!fleet.node(0).view().established);
  BOOST_TEST((verdictOfNewKey() == ClaimVerdict::kUnavailable));
  fleet.storedView()->view.established = true;
  fleet.network.run(kConvergenceTime);
  BOOST_TEST((verdictOfNewKey() == ClaimVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(exactlyOneOfTwoConcurrentClaimsIsGranted) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    SimulatedFleet fleet(seed, 2 + seed % 3, shortTimeoutSettings());
    fleet.network.run(kConvergenceTime);
    const ClaimKey key = fleet.makeKey(0);
    fleet.request(0, key, Milliseconds(1000));
    fleet.request(1, key, Milliseconds(1000));
    fleet.network.run(Milliseconds(500));
    BOOST_TEST(fleet.dispatches[key] == 1);
    BOOST_TEST(fleet.verdicts[ClaimVerdict::kInProgress] == 1);
  }
}

BOOST_AUTO_TEST_CASE(theVerdictReflectsTheStateOfTheKey) {
  ClaimSettings settings = shortTimeoutSettings();
  settings.maxRecords = 3;
  SimulatedFleet fleet(3, 3, settings);
  fleet.network.run(kConvergenceTime);
  const auto verdictOf = [&fleet](std::size_t index, const ClaimKey& key) {
    fleet.request(index, key, Milliseconds(10));
    fleet.network.run(Milliseconds(400));
    return fleet.lastVerdict[key];
  };
  const ClaimKey key = fleet.makeKey(0);
  BOOST_TEST((verdictOf(0, key) == ClaimVerdict::kGranted));
  BOOST_TEST((verdictOf(1, key) == ClaimVerdict::kCompleted));
  BOOST_TEST((verdictOf(1, fleet.makeKey(-9000)) == ClaimVerdict::kKeyTooOld));
  BOOST_TEST((verdictOf(1, fleet.makeKey(1000)) == ClaimVerdict::kKeyFromFuture));
  BOOST_TEST((verdictOf(1, fleet.makeKey(0)) == ClaimVerdict::kGranted));
  BOOST_TEST((verdictOf(1, fleet.makeKey(0)) == ClaimVerdict::kGranted));
  BOOST_TEST((verdictOf(1, fleet.makeKey(0)) == ClaimVerdict::kMemoryFull));
  // Records are kept for exactly the retention.
  BOOST_TEST((verdictOf(2, key) == ClaimVerdict::kCompleted));
  fleet.network.run(settings.retention);
  BOOST_TEST(fleet.node(0).records() == 0U);
  BOOST_TEST((verdictOf(2, key) == ClaimVerdict::kKeyTooOld));
}

BOOST_AUTO_TEST_CASE(aReleasedKeyCanBeClaimedButDelayedClaimsStayRefused) {
  const ClaimSettings settings = shortTimeoutSettings();
  ClaimReplica replica(settings);
  constexpr WallMilliseconds kNow = 1'000'000;
  const ClaimKey key = parseClaimKey(TenantId("t"), makeUuidV7(kNow, 1, 2)).value();
  const ClaimRequest first{Epoch(1), key, {kNow, 1}};
  const ClaimRequest second{Epoch(1), key, {kNow, 2}};
  BOOST_TEST((replica.vote(first, kNow).vote == Vote::kAccepted));
  BOOST_TEST((replica.vote(second, kNow).vote == Vote::kHeldByOther));
  replica.release({key, second.token});
  BOOST_TEST((replica.vote(second, kNow).vote == Vote::kHeldByOther));
  replica.release({key, first.token});
  BOOST_TEST((replica.vote(first, kNow).vote == Vote::kGivenUp));
  BOOST_TEST((replica.vote(second, kNow).vote == Vote::kAccepted));
  // Setting the clock back does not make an expired key valid again.
  const WallMilliseconds late = kNow + static_cast<WallMilliseconds>(settings.retention.count());
  replica.prune(late);
  BOOST_TEST((replica.vote(first, kNow).vote == Vote::kKeyTooOld));
}

BOOST_AUTO_TEST_CASE(onlyAVersion7UuidIsAccepted) {
  const TenantId tenant("t");
  const ClaimKey key = parseClaimKey(tenant, makeUuidV7(1'700'000'000'123, 5, 6)).value();
  BOOST_TEST(key.time() == 1'700'000'000'123U);
  BOOST_TEST((key != parseClaimKey(TenantId("u"), makeUuidV7(1'700'000'000'123, 5, 6)).value()));
  for (const std::string text :
       {"", "order-17", "f47ac10b-58cc-4372-a567-0e02b2c3d479",
        "018bcfe5-687b-7000-0000-000000000006", "018bcfe5-687b-7000-8000-00000000000g"}) {
    const auto refused = parseClaimKey(tenant, text);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().kind == ErrorKind::kIdempotencyKeyInvalid));
  }
}

BOOST_AUTO_TEST_CASE(aViewRoundTripsThroughJsonAndSpreadsReplicasOverZones) {
  std::vector<peer::PeerInfo> alive;
  constexpr int kNodes = 20;
  alive.reserve(kNodes);
  for (int index = 0; index < kNodes; ++index) {
    alive.push_back({NodeId("n" + std::to_string(index)),
                     Incarnation(1),
                     ZoneId("z" + std::to_string(index % 3)),
                     RegionId("r"),
                     {"10.0.0.1", static_cast<std::uint16_t>(index)}});
  }
  const ClaimView view{Epoch(7), true, chooseMembers(alive, {}), {}};
  BOOST_TEST(view.members.size() == kMaxViewMembers);
  const auto read = claimViewFromJson(toJson(view));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read.value().members == view.members));
  for (const ReplicaSet& replicas : replicaSetsOf(view.members)) {
    std::set<ZoneId> zones;
    for (const std::size_t index : replicas) {
      zones.insert(view.members[index].zone);
    }
    BOOST_TEST(zones.size() == kReplicasPerGroup);
  }
  // Current members are kept while they are alive.
  std::reverse(alive.begin(), alive.end());
  BOOST_TEST((chooseMembers(alive, view.members) == view.members));
}

}  // namespace
}  // namespace calicodrift::claims::testing
