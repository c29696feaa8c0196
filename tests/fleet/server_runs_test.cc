// Restarts of a server under the same id.

#include <boost/test/unit_test.hpp>

#include "fleet/server_listing.h"
#include "fleet/server_pool.h"

namespace calicodrift::fleet {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ModelId kModel("m");
const BackendId kId("a");
constexpr std::uint64_t kFirst = 1'000'000;
constexpr std::uint64_t kSecond = 1'000'001;

Server makeRun(std::optional<std::uint64_t> started, std::uint64_t weights = 1) {
  Server server;
  server.id = kId;
  if (started) {
    server.started = Incarnation(*started);
  }
  server.service = "llm";
  server.endpoint = {"10.0.0.1", 80};
  server.version = SoftwareVersion("v1");
  server.warmUp = Milliseconds(500);
  server.models = {{kModel, WeightsVersion(weights)}};
  return server;
}

DispatchLoad loadOn(std::uint64_t started) {
  return {1000, 800, Incarnation(started)};
}

struct RunsFixture {
  std::vector<ServerLoss> losses;
  std::vector<Server> lost;
  ServerPool pool{40, [this](const Server& server, ServerLoss loss) {
                    losses.push_back(loss);
                    lost.push_back(server);
                  }};
  const routing::CandidateSet& usable(MonotonicTime now = kStart) {
    return pool.candidates("llm", kModel, now);
  }
  WeightsVersion weights() const { return pool.find(kId)->models.front().weights; }
};

BOOST_FIXTURE_TEST_SUITE(server_runs, RunsFixture)

BOOST_AUTO_TEST_CASE(laterStartDropsLoadAndPrefillRateOfTheEarlierRun) {
  pool.apply(makeRun(kFirst), kStart);
  for (int sample = 0; sample < 50; ++sample) {
    pool.observeFirstToken(kId, 8000, 800);
  }
  pool.addLoad(kId, loadOn(kFirst), kStart);
  BOOST_TEST(usable()[0].prefillTokensPerMs < 20);
  pool.apply(makeRun(kSecond), kStart);
  BOOST_REQUIRE(usable().size() == 1U);
  BOOST_TEST(usable()[0].outstanding == 0U);
  BOOST_TEST(usable()[0].outstandingTokens == 0U);
  BOOST_TEST(usable()[0].sentPrefillTokens == 0U);
  BOOST_TEST(usable()[0].prefillTokensPerMs == 40);
  BOOST_REQUIRE((losses == std::vector{ServerLoss::kRestarted}));
  BOOST_TEST(lost.front().started->value() == kFirst);
}

/// With clamped subtraction alone, requests that end on the earlier run would reduce the load of
/// the later one.
BOOST_AUTO_TEST_CASE(endingRequestsOfTheEarlierRunKeepTheLaterRunsLoad) {
  pool.apply(makeRun(kFirst), kStart);
  pool.addLoad(kId, loadOn(kFirst), kStart);
  pool.apply(makeRun(kSecond), kStart);
  pool.addLoad(kId, loadOn(kSecond), kStart);
  pool.endPrefill(kId, loadOn(kFirst), kStart);
  pool.removeLoad(kId, loadOn(kFirst), kStart);
  BOOST_TEST(usable()[0].outstanding == 1U);
  BOOST_TEST(usable()[0].outstandingTokens == 1000U);
  BOOST_TEST(usable()[0].sentPrefillTokens == 800U);
}

BOOST_AUTO_TEST_CASE(requestsOfTheEarlierRunStayInFlightUntilTheyEnd) {
  const SoftwareVersion version("v1");
  pool.apply(makeRun(kFirst), kStart);
  pool.addLoad(kId, loadOn(kFirst), kStart);
  pool.addLoad(kId, loadOn(kFirst), kStart);
  Server later = makeRun(kSecond);
  later.version = SoftwareVersion("v2");
  pool.apply(later, kStart);
  BOOST_TEST(pool.countInFlight("llm", version) == 2U);
  BOOST_TEST(pool.countInFlight("llm", later.version) == 0U);
  pool.removeLoad(kId, loadOn(kFirst), kStart);
  BOOST_TEST(pool.countInFlight("llm", version) == 1U);
  pool.removeLoad(kId, loadOn(kFirst), kStart);
  BOOST_TEST(pool.countInFlight("llm", version) == 0U);
}

BOOST_AUTO_TEST_CASE(laterStartEndsEjectionPauseAndUnreachability) {
  pool.apply(makeRun(kFirst), kStart);
  for (std::size_t failure = 0; failure < BackendHealth::kFailuresToEject; ++failure) {
    pool.recordFailure(kId, kStart);
  }
  pool.pause(kId, kStart + Milliseconds(10'000), kStart);
  pool.markUnreachable(kId, kStart);
  BOOST_TEST(usable().empty());
  pool.apply(makeRun(kSecond), kStart);
  Server other = makeRun(kFirst);
  other.id = BackendId("b");
  pool.apply(other, kStart);
  // Both are preferred: neither is deprioritized.
  BOOST_TEST(usable().size() == 2U);
  BOOST_TEST(pool.unreachable().empty());
}

BOOST_AUTO_TEST_CASE(laterStartWarmsUpAgain) {
  pool.apply(makeRun(kFirst), kStart);
  const MonotonicTime warm = kStart + Milliseconds(500);
  BOOST_TEST(pool.isSpeedSample(kId, warm));
  pool.apply(makeRun(kSecond), warm);
  BOOST_TEST(!pool.isSpeedSample(kId, warm));
  BOOST_TEST(pool.isSpeedSample(kId, warm + Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(laterStartIsNotAReloadAndMayBringOlderWeights) {
  pool.apply(makeRun(kFirst, 1), kStart);
  pool.applyWeights(kId, kModel, WeightsVersion(3), kStart);
  losses.clear();
  pool.apply(makeRun(kSecond, 2), kStart);
  BOOST_TEST(weights().value() == 2U);
  BOOST_TEST((losses == std::vector{ServerLoss::kRestarted}));
}

BOOST_AUTO_TEST_CASE(announcedWeightsAndPeerLoadsBelongToOneRun) {
  pool.apply(makeRun(kFirst), kStart);
  pool.announceLoads({{kId, WeightsVersion(2)}}, kStart);
  const ServerKey first = keyOf(makeRun(kFirst));
  const ServerLoads peerLoads{{first, ServerLoad{3, 900, 500, 0, WeightsVersion(2)}}};
  pool.setPeerLoads(peerLoads, kStart);
  BOOST_TEST(usable()[0].peerRequests == 3U);
  pool.apply(makeRun(kSecond), kStart);
  BOOST_TEST(usable()[0].peerRequests == 0U);
  BOOST_TEST(pool.ownLoads().empty());
  // A peer that has not learnt of the restart still reports the earlier run.
  pool.setPeerLoads(peerLoads, kStart);
  BOOST_TEST(usable()[0].peerRequests == 0U);
  pool.setPeerLoads({{keyOf(makeRun(kSecond)), ServerLoad{2, 1, 1}}}, kStart);
  BOOST_TEST(usable()[0].peerRequests == 2U);
}

BOOST_AUTO_TEST_CASE(candidatesAreOrderedByStart) {
  pool.apply(makeRun(kFirst), kStart);
  const Incarnation first = usable()[0].incarnation;
  pool.apply(makeRun(kSecond), kStart);
  BOOST_TEST((usable()[0].incarnation > first));
}

BOOST_AUTO_TEST_CASE(earlierStartsAreIgnored) {
  pool.apply(makeRun(kSecond, 2), kStart);
  Server earlier = makeRun(kFirst, 1);
  earlier.draining = true;
  earlier.endpoint.port = 81;
  pool.apply(earlier, kStart);
  applyListing(pool, {earlier}, kStart);
  pool.applyRestart(kId, Incarnation(kFirst), earlier.models, kStart);
  pool.applyRestart(kId, Incarnation(kSecond), earlier.models, kStart);
  BOOST_TEST((*pool.find(kId) == makeRun(kSecond, 2)));
  BOOST_TEST(usable().size() == 1U);
  BOOST_TEST(losses.empty());
  BOOST_TEST(!pool.isCurrent(earlier));
  BOOST_TEST(pool.isCurrent(makeRun(kSecond)));
}

BOOST_AUTO_TEST_CASE(reportOfALaterStartMayPrecedeTheList) {
  pool.apply(makeRun(kFirst, 3), kStart);
  pool.addLoad(kId, loadOn(kFirst), kStart);
  pool.applyRestart(kId, Incarnation(kSecond), {{kModel, WeightsVersion(1)}}, kStart);
  BOOST_TEST(weights().value() == 1U);
  BOOST_TEST(usable()[0].outstanding == 0U);
  // The list lags behind the report.
  pool.apply(makeRun(kFirst, 3), kStart);
  BOOST_TEST(weights().value() == 1U);
  pool.apply(makeRun(kSecond, 1), kStart);
  BOOST_TEST((losses == std::vector{ServerLoss::kRestarted}));
}

BOOST_AUTO_TEST_CASE(entryWithoutAStartExcludesTheServerAndChangesNothingElse) {
  pool.apply(makeRun(kFirst, 2), kStart);
  pool.apply(makeRun(std::nullopt, 5), kStart);
  BOOST_TEST(usable().empty());
  BOOST_TEST(weights().value() == 2U);
  BOOST_TEST(pool.find(kId)->started->value() == kFirst);
  pool.apply(makeRun(kFirst, 2), kStart);
  BOOST_TEST(usable().size() == 1U);
}

BOOST_AUTO_TEST_CASE(serversWithoutAStartAreIdentifiedByTheirId) {
  pool.apply(makeRun(std::nullopt, 1), kStart);
  pool.addLoad(kId, {1000, 800}, kStart);
  pool.apply(makeRun(std::nullopt, 2), kStart);
  BOOST_TEST(usable()[0].outstanding == 1U);
  BOOST_TEST((losses == std::vector{ServerLoss::kReloaded}));
  // The first reported start may belong to another run than the one known so far.
  pool.apply(makeRun(kFirst, 2), kStart);
  BOOST_TEST(usable()[0].outstanding == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
