#include <boost/test/unit_test.hpp>

#include "fleet/server_pool.h"

namespace calicodrift::fleet {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ModelId kModel("m");
const SoftwareVersion kOld("1");
const SoftwareVersion kNew("2");

Server makeServer(const std::string& id, const SoftwareVersion& version) {
  Server server;
  server.id = BackendId(id);
  server.service = "llm";
  server.endpoint = {"10.0.0.1", 80};
  server.version = version;
  server.models = {{kModel, WeightsVersion(1)}};
  return server;
}

using Ids = std::vector<std::string>;

struct VersionsFixture {
  ServerPool pool{40, [](const Server&, ServerLoss) {}};

  void list(const std::string& prefix, const SoftwareVersion& version, std::size_t count) {
    for (std::size_t number = 0; number < count; ++number) {
      pool.apply(makeServer(prefix + std::to_string(number), version), kStart);
    }
  }
  std::size_t usable(Track track, MonotonicTime now = kStart) {
    return pool.candidates("llm", kModel, now, track).size();
  }
  /// The first three servers in affinity order for each of 50 prompts.
  Ids homes(Track track = Track::kStable) {
    const routing::CandidateSet& set = pool.candidates("llm", kModel, kStart, track);
    Ids ids;
    for (std::uint64_t key = 0; key < 50; ++key) {
      for (const std::size_t position : set.inAffinityOrder(key * 0x9E3779B97F4A7C15, 3)) {
        ids.push_back(set[position].id.value());
      }
    }
    return ids;
  }
  Ids canaryIds(double share, MonotonicTime now = kStart) {
    const routing::CandidateSet set = pool.canary("llm", kModel, share, now);
    Ids ids;
    for (std::size_t position = 0; position < set.size(); ++position) {
      ids.push_back(set[position].id.value());
    }
    std::sort(ids.begin(), ids.end());
    return ids;
  }
};

BOOST_FIXTURE_TEST_SUITE(server_versions, VersionsFixture)

BOOST_AUTO_TEST_CASE(allServersAreStableWithoutAStableVersion) {
  list("a", kOld, 2);
  list("b", kNew, 3);
  BOOST_TEST(usable(Track::kStable) == 5U);
  BOOST_TEST(usable(Track::kCandidate) == 0U);
}

BOOST_AUTO_TEST_CASE(eachTrackHasItsSetAndOtherVersionsNone) {
  pool.setVersions("llm", kOld, SoftwareVersion(), kStart);
  list("a", kOld, 2);
  list("b", kNew, 3);
  list("c", SoftwareVersion("3"), 4);
  list("d", SoftwareVersion(), 1);
  BOOST_TEST(usable(Track::kStable) == 2U);
  BOOST_TEST(usable(Track::kCandidate) == 0U);
  pool.setVersions("llm", kOld, kNew, kStart);
  BOOST_TEST(usable(Track::kStable) == 2U);
  BOOST_TEST(usable(Track::kCandidate) == 3U);
  // If the stable version has no usable server, no other version takes its place.
  for (const std::string id : {"a0", "a1"}) {
    pool.markUnreachable(BackendId(id), kStart);
  }
  BOOST_TEST(usable(Track::kStable) == 0U);
}

BOOST_AUTO_TEST_CASE(serverStaysOnItsTrackThroughEachChange) {
  list("a", kOld, 1);
  list("b", kNew, 1);
  pool.setVersions("llm", kOld, kNew, kStart);
  const BackendId id("b0");
  pool.addLoad(id, {100, 50}, kStart);
  pool.pause(id, kStart + Milliseconds(10), kStart);
  pool.markUnreachable(id, kStart);
  pool.probeSucceeded(id, kStart + Milliseconds(20));
  pool.setMinWeights(kModel, WeightsVersion(1), kStart);
  BOOST_TEST(usable(Track::kStable, kStart + Milliseconds(30)) == 1U);
  BOOST_TEST(usable(Track::kCandidate, kStart + Milliseconds(30)) == 1U);
}

BOOST_AUTO_TEST_CASE(rolloutOrdersDoNotMoveHomesOfTheStableVersion) {
  list("a", kOld, 40);
  pool.setVersions("llm", kOld, SoftwareVersion(), kStart);
  const Ids before = homes();
  list("b", kNew, 40);
  BOOST_TEST(homes() == before);
  pool.setVersions("llm", kOld, kNew, kStart);
  for (int request = 0; request < 20; ++request) {
    pool.addLoad(BackendId("b" + std::to_string(request)), {900, 900}, kStart);
  }
  BOOST_TEST(homes() == before);
  pool.setVersions("llm", kOld, SoftwareVersion(), kStart);
  BOOST_TEST(homes() == before);
}

BOOST_AUTO_TEST_CASE(promotionTurnsTheCandidateSetIntoTheStableOne) {
  list("a", kOld, 40);
  list("b", kNew, 40);
  pool.setVersions("llm", kOld, kNew, kStart);
  const Ids warmed = homes(Track::kCandidate);
  pool.setVersions("llm", kNew, SoftwareVersion(), kStart);
  BOOST_TEST(homes() == warmed);
  BOOST_TEST(usable(Track::kStable) == 40U);
  BOOST_TEST(usable(Track::kCandidate) == 0U);
}

BOOST_AUTO_TEST_CASE(canaryUsesTheSameServersOnAllNodes) {
  list("b", kNew, 90);
  pool.setVersions("llm", kOld, kNew, kStart);
  const Ids few = canaryIds(0.05);
  BOOST_TEST(few.size() == 5U);
  ServerPool other{40, [](const Server&, ServerLoss) {}};
  other.setVersions("llm", kOld, kNew, kStart);
  for (std::size_t number = 90; number > 0; --number) {
    other.apply(makeServer("b" + std::to_string(number - 1), kNew), kStart);
  }
  const routing::CandidateSet there = other.canary("llm", kModel, 0.05, kStart);
  BOOST_TEST(there.size() == few.size());
  for (const std::string& id : few) {
    BOOST_TEST(there.find(BackendId(id)).has_value());
  }
  // A failed server is replaced by the next one; the others stay.
  pool.markUnreachable(BackendId(few.front()), kStart);
  const Ids next = canaryIds(0.05);
  BOOST_TEST(next.size() == 5U);
  BOOST_TEST(std::includes(next.begin(), next.end(), few.begin() + 1, few.end()));
}

BOOST_AUTO_TEST_CASE(canaryUsesAtLeastOneServer) {
  list("b", kNew, 7);
  pool.setVersions("llm", kOld, kNew, kStart);
  BOOST_TEST(canaryIds(0.01).size() == 1U);
  // A whole number of servers is not rounded up.
  list("c", kNew, 13);
  BOOST_TEST(canaryIds(0.1).size() == 2U);
  BOOST_TEST(canaryIds(0.11).size() == 3U);
  pool.setVersions("llm", kOld, SoftwareVersion(), kStart);
  BOOST_TEST(canaryIds(0.1).empty());
}

BOOST_AUTO_TEST_CASE(canarySkipsServersThatWarmUpOrAwaitWeights) {
  list("b", kNew, 2);
  Server warming = makeServer("w", kNew);
  warming.warmUp = Milliseconds(500);
  pool.apply(warming, kStart);
  pool.setVersions("llm", kOld, kNew, kStart);
  pool.announceLoads({{BackendId("b0"), WeightsVersion(2)}}, kStart);
  BOOST_TEST(canaryIds(1) == Ids{"b1"});
  BOOST_TEST(canaryIds(1, kStart + Milliseconds(500)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(warmingLoadingAndLoadedServersGiveNoSpeedSamples) {
  Server warming = makeServer("w", kNew);
  warming.warmUp = Milliseconds(500);
  pool.apply(warming, kStart);
  // A repeated listing does not extend the warm-up.
  pool.apply(warming, kStart + Milliseconds(300));
  const BackendId id("w");
  BOOST_TEST(!pool.isSpeedSample(id, kStart + Milliseconds(499)));
  BOOST_TEST(pool.isSpeedSample(id, kStart + Milliseconds(500)));
  const MonotonicTime loads = kStart + Milliseconds(2000);
  pool.announceLoads({{id, WeightsVersion(2)}}, loads);
  BOOST_TEST(!pool.isSpeedSample(id, loads));
  pool.applyWeights(id, kModel, WeightsVersion(2), loads);
  BOOST_TEST(!pool.isSpeedSample(id, loads + Milliseconds(500)));
  BOOST_TEST(pool.isSpeedSample(id, loads + Milliseconds(1500)));
  BOOST_TEST(!pool.isSpeedSample(BackendId("gone"), loads));
}

BOOST_AUTO_TEST_CASE(serversAndRequestsAreCountedByVersion) {
  list("a", kOld, 3);
  list("b", kNew, 2);
  Server draining = makeServer("a2", kOld);
  draining.draining = true;
  pool.apply(draining, kStart);
  pool.markUnreachable(BackendId("a0"), kStart);
  BOOST_TEST(pool.listedVersions().at("llm").at(kOld) == 2U);
  BOOST_TEST(pool.listedVersions().at("llm").at(kNew) == 2U);
  BOOST_TEST(pool.countUsable("llm", kOld, kStart) == 1U);
  BOOST_TEST(pool.countUsable("llm", kNew, kStart) == 2U);
  // Load on draining servers counts too, including that of other nodes.
  pool.addLoad(BackendId("a2"), {10, 0}, kStart);
  pool.addLoad(BackendId("b0"), {10, 0}, kStart);
  ServerLoads peers;
  for (const auto& [key, load] : pool.ownLoads()) {
    peers[key].requests = 2 * load.requests;
  }
  pool.setPeerLoads(peers, kStart);
  BOOST_TEST(pool.countInFlight("llm", kOld) == 3U);
  BOOST_TEST(pool.countInFlight("llm", kNew) == 3U);
  BOOST_TEST(pool.countInFlight("other", kOld) == 0U);
}

BOOST_AUTO_TEST_CASE(serverUnreachableFromAnyNodeIsNotReachedByAll) {
  list("a", kOld, 2);
  BOOST_TEST(pool.isReachableFromAllNodes(BackendId("a0")));
  const ServerKey key = keyOf(*pool.find(BackendId("a0")));
  pool.setPeerLoads({{key, ServerLoad{0, 0, 0, 1}}}, kStart);
  BOOST_TEST(!pool.isReachableFromAllNodes(BackendId("a0")));
  pool.setPeerLoads({}, kStart);
  pool.markUnreachable(BackendId("a1"), kStart);
  BOOST_TEST(!pool.isReachableFromAllNodes(BackendId("a1")));
  BOOST_TEST(!pool.isReachableFromAllNodes(BackendId("gone")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
