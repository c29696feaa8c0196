#include <boost/test/unit_test.hpp>

#include "orders/engine_order.h"
#include "support/rollout_fleet.h"

namespace calicodrift::testing {
namespace {

constexpr unsigned kStatusPreconditionFailed = 412;

Result<http::Response> sendOrder(const Endpoint& engine, const orders::EngineOrder& order) {
  return post(engine, std::string(orders::kOrderPath), orders::toJson(order));
}

orders::EngineOrder loadOrder(std::uint64_t token, std::uint64_t weights) {
  orders::EngineOrder order;
  order.kind = orders::OrderKind::kLoadVersion;
  order.token = FencingToken(token);
  order.weights = WeightsVersion(weights);
  return order;
}

BOOST_AUTO_TEST_CASE(anEngineTakesOrdersOfTheHighestTokenBundleAndItsOwnIncarnationOnly) {
  const Fleet fleet;
  const auto engine = fleet.startEngine("e", {"--load-time-ms", "50"}, false);
  const Endpoint endpoint = engine->endpoint("engine");
  orders::EngineOrder first = loadOrder(5, 1);
  first.bundle = BundleVersion(3);
  BOOST_TEST(sendOrder(endpoint, first).value().status == 200U);
  BOOST_TEST(sendOrder(endpoint, loadOrder(4, 2)).value().status == kStatusPreconditionFailed);
  orders::EngineOrder older = loadOrder(6, 2);
  older.bundle = BundleVersion(2);
  BOOST_TEST(sendOrder(endpoint, older).value().status == kStatusPreconditionFailed);
  orders::EngineOrder other = loadOrder(6, 2);
  other.bundle = BundleVersion(3);
  other.incarnation = Incarnation(1);
  BOOST_TEST(sendOrder(endpoint, other).value().status == kStatusPreconditionFailed);
  const auto health = RolloutFleet::json(endpoint, "/health");
  BOOST_TEST(RolloutFleet::number(health, "weights_version") == 1U);
  BOOST_TEST(RolloutFleet::number(health, "refused_orders") == 3U);
  other.incarnation = Incarnation(RolloutFleet::number(health, "incarnation"));
  BOOST_TEST(sendOrder(endpoint, other).value().status == 200U);
  BOOST_TEST(eventually([&] {
    return RolloutFleet::number(RolloutFleet::json(endpoint, "/health"), "weights_version") == 2U;
  }));
  // A repeated order changes nothing.
  BOOST_TEST(sendOrder(endpoint, other).value().status == 200U);
  BOOST_TEST(RolloutFleet::number(RolloutFleet::json(endpoint, "/health"), "completed_loads") ==
             1U);
}

BOOST_AUTO_TEST_CASE(loadsStayWithinTheCapAndEveryEngineGetsTheVersion) {
  const RolloutFleet rollout(8, 150);
  const auto router = rollout.startRouter("r1");
  BOOST_REQUIRE(waitUntilServing(router->endpoint("router")));
  rollout.rollOut(2, 2);
  BOOST_TEST(eventually([&] { return rollout.allAt(2); }));
  BOOST_TEST_MESSAGE("peak of concurrent loads " << rollout.storeCount("peak"));
  BOOST_TEST(rollout.storeCount("peak") == 2U);
  BOOST_TEST(rollout.storeCount("completed") == 8U);
  // A rollback is a higher bundle with the older weights.
  rollout.rollOut(3, 1);
  BOOST_TEST(eventually([&] { return rollout.allAt(1); }));
  BOOST_TEST(rollout.storeCount("peak") == 2U);
}

BOOST_AUTO_TEST_CASE(aSuccessorFinishesTheRollOutOfAKilledHolder) {
  const RolloutFleet rollout(6, 400);
  const auto first = rollout.startRouter("r1");
  BOOST_REQUIRE(eventually([&] { return RolloutFleet::holdsLease(*first); }));
  const auto second = rollout.startRouter("r2");
  BOOST_REQUIRE(waitUntilServing(first->endpoint("router")));
  BOOST_REQUIRE(waitUntilServing(second->endpoint("router")));
  rollout.rollOut(2, 2);
  BOOST_REQUIRE(eventually([&] { return rollout.storeCount("active") > 0; }));
  first->killAtOnce();
  BOOST_TEST(!rollout.allAt(2));
  BOOST_TEST(eventually([&] { return rollout.allAt(2); }));
  BOOST_TEST(RolloutFleet::holdsLease(*second));
  BOOST_TEST(rollout.storeCount("peak") == 2U);
}

BOOST_AUTO_TEST_CASE(theRollOutHaltsWhileTheStoreIsDownAndGoesOnAfterwards) {
  const RolloutFleet rollout(8, 600);
  const auto router = rollout.startRouter("r1");
  BOOST_REQUIRE(waitUntilServing(router->endpoint("router")));
  BOOST_REQUIRE(eventually([&] { return RolloutFleet::holdsLease(*router); }));
  rollout.rollOut(2, 2);
  BOOST_REQUIRE(eventually([&] { return rollout.storeCount("active") > 0; }));
  post(rollout.fleet.store(), "/faults", R"({"down":true})").value();
  BOOST_REQUIRE(eventually([&] { return !RolloutFleet::holdsLease(*router); }));
  // Loads that were under way end; no other one begins.
  BOOST_REQUIRE(eventually([&] { return rollout.storeCount("active") == 0; }));
  const std::uint64_t halted = rollout.storeCount("completed");
  BOOST_TEST_MESSAGE("halted after " << halted << " of 8 loads");
  const auto wentOn = [&] {
    return rollout.storeCount("completed") > halted || rollout.storeCount("active") > 0;
  };
  BOOST_TEST(!eventually(wentOn, std::chrono::seconds(2)));
  BOOST_TEST(!rollout.allAt(2));
  post(rollout.fleet.store(), "/faults", "{}").value();
  BOOST_TEST(eventually([&] { return rollout.allAt(2); }));
}

/// Router "r1" reaches engine e0 through a proxy that can hold its orders back; "r2" reaches all
/// engines directly.
struct TwoViews {
  TwoViews() : rollout(2, 100), proxy(rollout.engines[0]->endpoint("engine")) {
    view.listMachine("e0", "engine", "m", proxy.endpoint());
    view.listMachine("e1", "engine", "m", rollout.engines[1]->endpoint("engine"));
    std::vector<std::string> flags = RolloutFleet::leaseFlags();
    flags.insert(flags.end(), {"--node-id", "r1", "--listen", "127.0.0.1:0", "--object-api",
                               rollout.fleet.store().toString(), "--machine-list",
                               view.machineList().toString(), "--trusted-signers",
                               "alice=" + rollout.fleet.alice.publicKeyHex +
                                   ",bob=" + rollout.fleet.bob.publicKeyHex,
                               "--store-poll-interval-ms", "50", "--machine-list-interval-ms", "50",
                               "--probe-interval-ms", "50"});
    first = std::make_unique<Process>("calicodrift", flags, 2);
    BOOST_REQUIRE(waitUntilServing(first->endpoint("router")));
    BOOST_REQUIRE(eventually([&] { return RolloutFleet::holdsLease(*first); }));
    second = rollout.startRouter("r2");
    BOOST_REQUIRE(waitUntilServing(second->endpoint("router")));
  }
  bool lostAnOrder() const {
    const auto metrics = get(first->endpoint("router"), "/metrics");
    return metrics.value().body.find(
               R"(calicodrift_orders_total{kind="observe",outcome="lost"})") != std::string::npos;
  }

  RolloutFleet rollout;
  Proxy proxy;
  Fleet view;
  std::unique_ptr<Process> first;
  std::unique_ptr<Process> second;
};

BOOST_FIXTURE_TEST_CASE(aPausedHoldersLateOrderIsRefusedAndItStopsWhenItWakes, TwoViews) {
  const auto status = RolloutFleet::json(first->endpoint("router"), "/admin/orders");
  const std::uint64_t oldToken = RolloutFleet::number(status, "token");
  proxy.setFaults(R"({"freeze":true})");
  rollout.rollOut(2, 2);
  BOOST_REQUIRE(eventually([&] { return lostAnOrder(); }));
  first->signal(SIGSTOP);
  BOOST_REQUIRE(eventually([&] { return RolloutFleet::holdsLease(*second); }));
  BOOST_REQUIRE(eventually([&] { return rollout.allAt(2); }));
  BOOST_TEST(RolloutFleet::number(rollout.health(0), "refused_orders") == 0U);
  proxy.setFaults("{}");
  // The order that the first holder had sent before it was paused arrives now.
  BOOST_TEST(
      eventually([&] { return RolloutFleet::number(rollout.health(0), "refused_orders") > 0; }));
  const auto late = sendOrder(rollout.engines[0]->endpoint("engine"), loadOrder(oldToken, 1));
  BOOST_TEST(late.value().status == kStatusPreconditionFailed);
  first->signal(SIGCONT);
  BOOST_REQUIRE(eventually(
      [&] { return !RolloutFleet::json(first->endpoint("router"), "/admin/orders").empty(); }));
  BOOST_TEST(!RolloutFleet::holdsLease(*first));
  BOOST_TEST(RolloutFleet::holdsLease(*second));
  BOOST_TEST(RolloutFleet::number(rollout.health(0), "weights_version") == 2U);
  BOOST_TEST(RolloutFleet::number(rollout.health(0), "highest_token") > oldToken);
}

BOOST_AUTO_TEST_CASE(aHolderBelowTheEnginesTokenRaisesItsOwnAndGoesOn) {
  // As after a loss of the lease object: the lease begins anew at token 1.
  const RolloutFleet rollout(2, 50);
  orders::EngineOrder observe;
  observe.token = FencingToken(40);
  BOOST_REQUIRE(sendOrder(rollout.engines[1]->endpoint("engine"), observe).value().status == 200U);
  const auto router = rollout.startRouter("r1");
  BOOST_REQUIRE(waitUntilServing(router->endpoint("router")));
  rollout.rollOut(2, 2);
  BOOST_TEST(eventually([&] { return rollout.allAt(2); }));
  BOOST_TEST(RolloutFleet::number(rollout.health(1), "highest_token") > 40U);
}

BOOST_AUTO_TEST_CASE(failedLoadsLostLeaseAnswersAndADeadEngineDelayTheRollOutOnly) {
  RolloutFleet rollout(5, 200, 2);
  const auto first = rollout.startRouter("r1");
  const auto second = rollout.startRouter("r2");
  BOOST_REQUIRE(waitUntilServing(first->endpoint("router")));
  BOOST_REQUIRE(waitUntilServing(second->endpoint("router")));
  rollout.engines.back()->killAtOnce();
  rollout.engines.pop_back();
  rollout.rollOut(2, 2);
  // Only the lease is written from now on.
  post(rollout.fleet.store(), "/faults", R"({"lose_answers":4})").value();
  BOOST_TEST(eventually([&] { return rollout.allAt(2); }));
  std::uint64_t failedLoads = 0;
  for (std::size_t index = 0; index < rollout.engines.size(); ++index) {
    failedLoads += RolloutFleet::number(rollout.health(index), "failed_loads");
  }
  BOOST_TEST(failedLoads == 2U);
  BOOST_TEST(rollout.storeCount("peak") <= 2U);
}

BOOST_AUTO_TEST_CASE(aDrainedHolderGivesTheLeaseBackAndEndsByItself) {
  const RolloutFleet rollout(1, 100);
  const auto first = rollout.fleet.startRouter("r1", {"--order-lease-duration-ms", "600000"});
  BOOST_REQUIRE(eventually([&] { return RolloutFleet::holdsLease(*first); }));
  const auto second = rollout.startRouter("r2");
  Process drain("calicodriftctl",
                {"node", "drain", "--routers", first->endpoint("router").toString()});
  BOOST_TEST(drain.wait() == 0);
  BOOST_TEST(first->wait() == 0);
  // Without the release the successor would wait for ten minutes.
  BOOST_TEST(eventually([&] { return RolloutFleet::holdsLease(*second); }));
}

}  // namespace
}  // namespace calicodrift::testing
