// The cost of what a node does at intervals, in servers that it visits: it follows the servers in
// use, not the length of the list.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "fleet/server_listing.h"
#include "fleet/server_pool.h"

namespace calicodrift::fleet {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ModelId kModel("m");
constexpr std::size_t kInUse = 20;

Server serverNumbered(std::size_t number) {
  Server server;
  server.id = BackendId("i-" + std::to_string(number));
  server.service = "llm";
  server.version = SoftwareVersion(number % 2 == 0 ? "1" : "2");
  server.endpoint = {"10.0.0." + std::to_string(number % 250), static_cast<std::uint16_t>(number)};
  server.models = {{kModel, WeightsVersion(1)}};
  return server;
}

struct Pool : ServerPool {
  explicit Pool(std::size_t servers) : ServerPool(40, [](const Server&, ServerLoss) {}) {
    std::vector<Server> listed;
    for (std::size_t number = 0; number < servers; ++number) {
      listed.push_back(serverNumbered(number));
    }
    applyListing(*this, listed, kStart);
  }
};

/// Visits of all that happens within one interval, with kInUse servers in use here and as many
/// others elsewhere.
std::size_t visitsOfAnInterval(Pool& pool) {
  ServerLoads elsewhere;
  for (std::size_t number = 0; number < kInUse; ++number) {
    const BackendId id = serverNumbered(number).id;
    pool.addLoad(id, {100, 50, {}}, kStart);
    elsewhere[keyOf(serverNumbered(kInUse + number))] = {1, 100, 0, 0, {}};
  }
  pool.markUnreachable(BackendId("i-50"), kStart);
  pool.setPeerLoads(elsewhere, kStart);
  const std::size_t before = pool.visits();
  BOOST_TEST(pool.ownLoads().size() == kInUse + 1);
  pool.setPeerLoads(elsewhere, kStart);
  BOOST_TEST((pool.maxQueueWait() > Milliseconds(0)));
  BOOST_TEST(pool.unreachable().size() == 1U);
  BOOST_TEST(pool.reachOf("llm").unreachable == 1U);
  BOOST_TEST(pool.reachOf("llm").listed == pool.size());
  pool.announceLoads({{BackendId("i-60"), WeightsVersion(2)}}, kStart);
  pool.announceLoads({}, kStart);
  return pool.visits() - before;
}

BOOST_AUTO_TEST_SUITE(active_servers)

BOOST_AUTO_TEST_CASE(anIntervalVisitsTheServersInUseOnly) {
  Pool few(100);
  Pool many(10'000);
  const std::size_t visits = visitsOfAnInterval(few);
  BOOST_TEST(visitsOfAnInterval(many) == visits);
  // Six calls that look at the servers in use, here and elsewhere.
  BOOST_TEST(visits <= 7 * (2 * kInUse + 2));
}

BOOST_AUTO_TEST_CASE(loadThatEndsElsewhereIsForgotten) {
  Pool pool(100);
  const ServerKey key = keyOf(serverNumbered(3));
  pool.setPeerLoads({{key, {4, 0, 0, 0, {}}}}, kStart);
  BOOST_TEST(pool.countInFlight("llm", SoftwareVersion("2")) == 4U);
  pool.setPeerLoads({}, kStart);
  BOOST_TEST(pool.countInFlight("llm", SoftwareVersion("2")) == 0U);
  const auto& candidates = pool.candidates("llm", kModel, kStart);
  BOOST_TEST(candidates.totalRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(loadOfServersThatAreNotListedIsIgnored) {
  Pool pool(10);
  pool.setPeerLoads({{ServerKey(1), {4, 0, 0, 0, {}}}}, kStart);
  BOOST_TEST(pool.candidates("llm", kModel, kStart).totalRequests() == 0U);
  pool.remove(BackendId("i-3"));
  pool.setPeerLoads({{keyOf(serverNumbered(3)), {4, 0, 0, 0, {}}}}, kStart);
  BOOST_TEST(pool.candidates("llm", kModel, kStart).totalRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(aServerIsFoundByTheKeyOfItsCurrentRunOnly) {
  Pool pool(3);
  Server restarted = serverNumbered(1);
  const ServerKey earlier = keyOf(restarted);
  restarted.started = Incarnation(7);
  pool.apply(restarted, kStart);
  BOOST_TEST(pool.findRun(earlier) == nullptr);
  BOOST_REQUIRE(pool.findRun(keyOf(restarted)) != nullptr);
  pool.remove(restarted.id);
  BOOST_TEST(pool.findRun(keyOf(restarted)) == nullptr);
}

BOOST_AUTO_TEST_CASE(countsFollowEveryChangeOfAServer) {
  Pool pool(4);
  BOOST_TEST(pool.counts().listed("llm") == 4U);
  BOOST_TEST(pool.counts().withModels() == 4U);
  BOOST_TEST(!pool.counts().anyBelow(kModel, WeightsVersion(1)));
  BOOST_TEST(pool.counts().anyBelow(kModel, WeightsVersion(2)));
  for (std::size_t number = 0; number < 3; ++number) {
    pool.applyWeights(serverNumbered(number).id, kModel, WeightsVersion(2), kStart);
  }
  BOOST_TEST(pool.counts().anyBelow(kModel, WeightsVersion(2)));
  // A server that leaves is not waited for.
  pool.withhold(serverNumbered(3).id, kStart);
  BOOST_TEST(!pool.counts().anyBelow(kModel, WeightsVersion(2)));
  BOOST_TEST(pool.listedVersions().at("llm").at(SoftwareVersion("2")) == 1U);
  BOOST_TEST(pool.counts().versions().at("llm").at(SoftwareVersion("2")).listed == 2U);
  Server moved = serverNumbered(0);
  moved.service = "other";
  pool.apply(moved, kStart);
  BOOST_TEST(pool.counts().listed("other") == 1U);
  for (std::size_t number = 0; number < 4; ++number) {
    pool.remove(serverNumbered(number).id);
  }
  BOOST_TEST(pool.counts().versions().empty());
  BOOST_TEST(pool.counts().withModels() == 0U);
}

BOOST_AUTO_TEST_CASE(theEarliestStartOfAVersionIsKeptWhileItIsListed) {
  ServerCounts counts;
  Server first = serverNumbered(0);
  first.started = Incarnation(100);
  Server second = serverNumbered(2);
  second.started = Incarnation(200);
  counts.add(first);
  counts.add(second);
  counts.remove(first);
  const VersionCount& version = counts.versions().at("llm").at(first.version);
  BOOST_TEST((version.earliestStart == Incarnation(100)));
  counts.remove(second);
  counts.add(second);
  BOOST_TEST((counts.versions().at("llm").at(first.version).earliestStart == Incarnation(200)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
