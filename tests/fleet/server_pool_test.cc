#include "fleet/server_pool.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <new>

#include "fleet/server_listing.h"

namespace calicodrift::fleet {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ModelId kModel("m");

Server makeServer(const std::string& id, std::uint64_t weights) {
  Server server;
  server.id = BackendId(id);
  server.service = "llm";
  server.endpoint = {"10.0.0.1", 80};
  server.models = {{kModel, WeightsVersion(weights)}};
  return server;
}

struct PoolFixture {
  std::vector<ServerLoss> losses;
  ServerPool pool{40, [this](const Server&, ServerLoss loss) { losses.push_back(loss); }};
  std::size_t usable(MonotonicTime now = kStart) {
    return pool.candidates("llm", kModel, now).size();
  }
};

BOOST_FIXTURE_TEST_SUITE(server_pool, PoolFixture)

BOOST_AUTO_TEST_CASE(drainingAndRemovedServersAreNoCandidates) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1), makeServer("c", 1)}, kStart);
  BOOST_TEST(usable() == 3U);
  Server draining = makeServer("a", 1);
  draining.draining = true;
  pool.apply(draining, kStart);
  BOOST_TEST(usable() == 2U);
  applyListing(pool, {draining, makeServer("b", 1)}, kStart);
  BOOST_TEST(usable() == 1U);
  BOOST_TEST((losses == std::vector{ServerLoss::kDraining, ServerLoss::kRemoved}));
}

/// Guards against a server that answers and gets no work, because connections that were begun
/// before fail only now.
BOOST_AUTO_TEST_CASE(connectionThatBeganBeforeAnAnswerProvesNoLoss) {
  constexpr Milliseconds kStep{10};
  pool.apply(makeServer("a", 1), kStart);
  pool.recordHeard(BackendId("a"), kStart + kStep);
  pool.recordFailedConnect(BackendId("a"), kStart, kStart + 2 * kStep);
  BOOST_TEST(usable(kStart + 2 * kStep) == 1U);
  pool.recordFailedConnect(BackendId("a"), kStart + 2 * kStep, kStart + 3 * kStep);
  BOOST_TEST(usable(kStart + 3 * kStep) == 0U);
  BOOST_TEST((losses == std::vector{ServerLoss::kUnreachable}));
}

/// An address may be given to another server while the former one is still listed.
BOOST_AUTO_TEST_CASE(serverIsFoundByTheAddressThatItHasNow) {
  Server server = makeServer("a", 1);
  pool.apply(server, kStart);
  BOOST_REQUIRE(pool.findAt(server.endpoint) != nullptr);
  const Endpoint former = server.endpoint;
  server.endpoint.port = 81;
  pool.apply(server, kStart);
  BOOST_TEST(pool.findAt(former) == nullptr);
  BOOST_TEST((pool.findAt(server.endpoint)->id == server.id));
  Server successor = makeServer("b", 1);
  successor.endpoint = server.endpoint;
  pool.apply(successor, kStart);
  pool.remove(server.id);
  BOOST_TEST((pool.findAt(successor.endpoint)->id == successor.id));
  pool.remove(successor.id);
  BOOST_TEST(pool.findAt(successor.endpoint) == nullptr);
}

BOOST_AUTO_TEST_CASE(withheldServerIsExcludedUntilItsNextEntryAndKeepsItsState) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  pool.addLoad(BackendId("a"), {100, 50}, kStart);
  pool.markUnreachable(BackendId("b"), kStart);
  losses.clear();
  pool.withhold(BackendId("a"), kStart);
  pool.withhold(BackendId("a"), kStart);
  pool.withhold(BackendId("unknown"), kStart);
  BOOST_TEST(usable() == 0U);
  BOOST_TEST(pool.listedVersions().at("llm").begin()->second == 1U);
  BOOST_TEST((losses == std::vector{ServerLoss::kWithheld}));
  pool.apply(makeServer("a", 1), kStart);
  pool.withhold(BackendId("b"), kStart);
  pool.apply(makeServer("b", 1), kStart);
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(pool.candidates("llm", kModel, kStart)[0].outstandingTokens == 100U);
  BOOST_TEST(pool.unreachable().size() == 1U);
}

BOOST_AUTO_TEST_CASE(listingWithholdsUnreadableServersAndRemovesMissingOnes) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1), makeServer("c", 1)}, kStart);
  applyListing(pool, {makeServer("a", 1)}, kStart, {BackendId("b"), BackendId("unknown")});
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(pool.size() == 2U);
  BOOST_TEST((losses == std::vector{ServerLoss::kWithheld, ServerLoss::kRemoved}));
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(serversBelowTheMinWeightsAreNoCandidates) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 2)}, kStart);
  pool.setMinWeights(kModel, WeightsVersion(2), kStart);
  BOOST_TEST(usable() == 1U);
  pool.applyWeights(BackendId("a"), kModel, WeightsVersion(2), kStart);
  BOOST_TEST(usable() == 2U);
  // A delayed list entry does not revert a version that an answer has shown.
  pool.applyWeights(BackendId("a"), kModel, WeightsVersion(1), kStart);
  BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(pausedServersAreUsedOnlyWhereNoOtherIsLeft) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  pool.pause(BackendId("a"), kStart + Milliseconds(100), kStart);
  BOOST_TEST(usable() == 1U);
  pool.pause(BackendId("b"), kStart + Milliseconds(100), kStart);
  BOOST_TEST(usable() == 2U);
  BOOST_TEST(usable(kStart + Milliseconds(100)) == 2U);
}

BOOST_AUTO_TEST_CASE(candidatesFollowAnExpiringRttEstimate) {
  DistanceSettings settings;
  settings.zone = ZoneId("z1");
  settings.regions = {{settings.zone, "r1"}, {ZoneId("z2"), "r2"}};
  Distances distances(settings);
  pool.setDistances(distances);
  Server distant = makeServer("a", 1);
  distant.zone = ZoneId("z2");
  applyListing(pool, {distant}, kStart);
  const auto rttMs = [this](MonotonicTime now) {
    return pool.candidates("llm", kModel, now)[0].rttMs;
  };
  BOOST_TEST(rttMs(kStart) == 60);
  pool.observeConnect(distant.id, 25, kStart);
  BOOST_TEST(rttMs(kStart) == 25);
  BOOST_TEST(rttMs(kStart + 2 * settings.window) == 60);
}

BOOST_AUTO_TEST_CASE(unreachableServersReturnAfterAProbe) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  pool.markUnreachable(BackendId("a"), kStart);
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(pool.unreachable().size() == 1U);
  pool.probeSucceeded(BackendId("a"), kStart + Milliseconds(10));
  BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(ejectedServersReturnAfterTheEjection) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  for (std::size_t failure = 0; failure < BackendHealth::kFailuresToEject; ++failure) {
    pool.recordFailure(BackendId("a"), kStart);
  }
  BOOST_TEST(usable() == 1U);
  BOOST_TEST(usable(kStart + BackendHealth::kFirstEjection) == 2U);
}

BOOST_AUTO_TEST_CASE(loadIsAddedAndRemoved) {
  applyListing(pool, {makeServer("a", 1)}, kStart);
  const DispatchLoad load{1000, 800};
  pool.addLoad(BackendId("a"), load, kStart);
  BOOST_TEST(pool.candidates("llm", kModel, kStart)[0].sentPrefillTokens == 800U);
  pool.endPrefill(BackendId("a"), load, kStart);
  BOOST_TEST(pool.candidates("llm", kModel, kStart)[0].sentPrefillTokens == 0U);
  BOOST_TEST(pool.candidates("llm", kModel, kStart)[0].outstanding == 1U);
  pool.removeLoad(BackendId("a"), load, kStart);
  BOOST_TEST(pool.candidates("llm", kModel, kStart)[0].outstanding == 0U);
}

BOOST_AUTO_TEST_CASE(peerLoadIsAddedToOwnLoad) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  pool.setMemoryTokens("llm", 5000, kStart);
  pool.addLoad(BackendId("a"), {1000, 800}, kStart);
  const ServerLoads own = pool.ownLoads();
  // The idle server is left out.
  BOOST_REQUIRE(own.size() == 1U);
  BOOST_TEST((own.begin()->first == keyOf(makeServer("a", 1))));
  BOOST_TEST(own.begin()->second.requests == 1U);
  pool.setPeerLoads({{own.begin()->first, ServerLoad{3, 900, 500, 1}}}, kStart);
  const routing::CandidateSet& candidates = pool.candidates("llm", kModel, kStart);
  const routing::Candidate& loaded = candidates[*candidates.find(BackendId("a"))];
  BOOST_TEST(routing::requestsAt(loaded) == 4U);
  BOOST_TEST(routing::tokensAt(loaded) == 1900U);
  BOOST_TEST(routing::prefillTokensAt(loaded) == 1300U);
  BOOST_TEST(loaded.memoryTokens == 5000U);
  pool.setPeerLoads({}, kStart);
  BOOST_TEST(routing::requestsAt(loaded) == 1U);
}

BOOST_AUTO_TEST_CASE(pauseBoundOfTheServiceHoldsForListedAndNewServers) {
  applyListing(pool, {makeServer("a", 1)}, kStart);
  pool.setPauseBound("llm", Milliseconds(600), kStart);
  pool.apply(makeServer("b", 1), kStart);
  const routing::CandidateSet& candidates = pool.candidates("llm", kModel, kStart);
  BOOST_REQUIRE(candidates.size() == 2U);
  BOOST_TEST(candidates[0].maxStreamPauseMs == 600);
  BOOST_TEST(candidates[1].maxStreamPauseMs == 600);
}

BOOST_AUTO_TEST_CASE(serverUnreachableFromSeveralPeersIsDeprioritized) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  ServerLoads peers;
  ServerLoad& suspect = peers[keyOf(makeServer("a", 1))];
  suspect.unreachableFrom = 1;
  pool.setPeerLoads(peers, kStart);
  BOOST_TEST(usable() == 2U);
  suspect.unreachableFrom = 2;
  pool.setPeerLoads(peers, kStart);
  BOOST_TEST(usable() == 1U);
  // Only for a time: reports of other nodes never exclude a server permanently.
  BOOST_TEST(usable(kStart + std::chrono::seconds(1)) == 2U);
}

BOOST_AUTO_TEST_CASE(serverWithAnnouncedWeightsIsDeprioritizedUntilLoaded) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  pool.announceLoads({{BackendId("a"), WeightsVersion(2)}}, kStart);
  BOOST_TEST(usable() == 1U);
  // Other nodes learn of it.
  std::size_t announced = 0;
  for (const auto& [key, load] : pool.ownLoads()) {
    announced += load.loading == WeightsVersion(2) ? 1 : 0;
  }
  BOOST_TEST(announced == 1U);
  pool.apply(makeServer("a", 2), kStart);
  BOOST_TEST(usable() == 2U);
  // The announcement no longer applies once the server has the weights.
  for (const auto& [key, load] : pool.ownLoads()) {
    BOOST_TEST((load.loading == WeightsVersion()));
  }
}

BOOST_AUTO_TEST_CASE(serverThatAnotherNodeOrdersToLoadIsDeprioritized) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  pool.setPeerLoads({{keyOf(makeServer("a", 1)), ServerLoad{0, 0, 0, 0, WeightsVersion(2)}}},
                    kStart);
  BOOST_TEST(usable() == 1U);
  // Withdrawn, as when the ordering node has changed its decision or is gone.
  pool.setPeerLoads({}, kStart);
  BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(completedLoadEndsThePauseAfterARefusal) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  pool.pause(BackendId("a"), kStart + Milliseconds(1000), kStart);
  BOOST_TEST(usable(kStart + Milliseconds(500)) == 1U);
  pool.apply(makeServer("a", 2), kStart + Milliseconds(500));
  BOOST_TEST(usable(kStart + Milliseconds(500)) == 2U);
}

BOOST_AUTO_TEST_CASE(longestQueueCountsTheLoadOfAllNodes) {
  Server a = makeServer("a", 1);
  a.slots = 2;
  applyListing(pool, {a, makeServer("b", 1)}, kStart);
  BOOST_TEST(pool.maxQueueWait() == Milliseconds(0));
  // The prefill rate is 40 tokens per millisecond.
  pool.addLoad(BackendId("b"), {8000, 8000}, kStart);
  BOOST_TEST(pool.maxQueueWait() >= Milliseconds(200));
  BOOST_TEST(pool.maxQueueWait() < Milliseconds(300));
  pool.setPeerLoads({{keyOf(a), ServerLoad{10, 0, 0, 0}}}, kStart);
  // Ten requests of other nodes are in flight on the two slots of the other server.
  BOOST_TEST(pool.maxQueueWait() > Milliseconds(1000));
}

BOOST_AUTO_TEST_CASE(prefillRateIsLearntPerServer) {
  applyListing(pool, {makeServer("a", 1), makeServer("b", 1)}, kStart);
  for (int sample = 0; sample < 100; ++sample) {
    pool.observeFirstToken(BackendId("a"), 8000, 800);
  }
  pool.addLoad(BackendId("a"), {1000, 1000}, kStart);
  const routing::CandidateSet& candidates = pool.candidates("llm", kModel, kStart);
  BOOST_TEST(candidates[*candidates.find(BackendId("a"))].prefillTokensPerMs < 11);
  BOOST_TEST(candidates[*candidates.find(BackendId("b"))].prefillTokensPerMs == 40);
  // A new run of the server starts from the initial rate.
  pool.remove(BackendId("a"));
  pool.apply(makeServer("a", 1), kStart);
  BOOST_TEST(candidates[*candidates.find(BackendId("a"))].prefillTokensPerMs == 40);
}

/// Guards against a guard that uses the pool after its destruction: a process stopped as planned
/// with a request still running did not exit but kept running for minutes, as the request's guard
/// is destroyed after the pool and searched it. The pool's memory is overwritten here so that any
/// access crashes.
BOOST_AUTO_TEST_CASE(guardMayOutliveThePool) {
  alignas(ServerPool) std::array<unsigned char, sizeof(ServerPool)> memory{};
  auto* shortLived = new (memory.data()) ServerPool(40, [](const Server&, ServerLoss) {});
  applyListing(*shortLived, {makeServer("a", 1)}, kStart);
  {
    LoadGuard guard(*shortLived, BackendId("a"), {10, 5});
    shortLived->~ServerPool();
    memory.fill(0xFF);
  }
  BOOST_TEST(memory[0] == 0xFF);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
