#include "weights/load_rounds.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace calicodrift::weights {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const BackendId kA("a");
const BackendId kB("b");
const ModelId kModel("m");

MonotonicTime after(int milliseconds) {
  return kStart + Milliseconds(milliseconds);
}

struct RoundsFixture {
  RoundsFixture() {
    goal.maxConcurrentLoads = 1;
    goal.models.push_back({kModel, WeightsVersion(2), 0});
  }

  /// Runs one round for servers that receive no requests; only those in `idle` respond.
  std::vector<BackendId> round(const std::vector<BackendId>& due, const std::set<BackendId>& idle,
                               MonotonicTime now) {
    std::vector<DueServer> servers;
    servers.reserve(due.size());
    for (const BackendId& id : due) {
      servers.push_back({id, true});
    }
    rounds.update(servers, 1, now);
    std::vector<orders::SurveyedEngine> engines;
    for (const BackendId& id : rounds.serversToPoll(now)) {
      engines.push_back({id, kModel, false, {}});
      if (idle.contains(id)) {
        rounds.onReport(id, {Incarnation(1), 0, false, true, now}, now);
        engines.back().report = idleReport(id);
      }
    }
    if (removed) {
      rounds.onGone(*removed);
    }
    std::vector<BackendId> ordered;
    for (const orders::LoadOrder& order : rounds.plan(goal, engines, now)) {
      ordered.push_back(order.engine);
    }
    return ordered;
  }

  static orders::EngineReport idleReport(const BackendId& id) {
    orders::EngineReport report;
    report.id = id;
    report.model = kModel;
    report.incarnation = Incarnation(1);
    report.weights = WeightsVersion(1);
    return report;
  }

  orders::RolloutGoal goal;
  /// A server that is removed while it is polled.
  std::optional<BackendId> removed;
  LoadRounds rounds{LoadRoundsSettings{}};
};

BOOST_FIXTURE_TEST_SUITE(load_rounds, RoundsFixture)

BOOST_AUTO_TEST_CASE(serverRemovedWhileItIsPolledHoldsNoSlot) {
  removed = kA;
  BOOST_TEST(round({kA, kB}, {}, kStart).empty());
  removed.reset();
  BOOST_TEST((round({kB}, {kB}, after(120)) == std::vector{kB}));
}

BOOST_AUTO_TEST_CASE(unresponsiveServerReleasesItsSlotAfterTheTimeout) {
  BOOST_TEST(round({kA, kB}, {kB}, kStart).empty());
  BOOST_TEST(round({kA, kB}, {kB}, after(1400)).empty());
  BOOST_TEST((round({kA, kB}, {kB}, after(1500)) == std::vector{kB}));
}

BOOST_AUTO_TEST_CASE(refusedOrderReleasesItsSlotAndIsSentAgainLater) {
  BOOST_TEST((round({kA, kB}, {kA, kB}, kStart) == std::vector{kA}));
  rounds.onAnswer(kA, OrderAnswer::kRefused);
  BOOST_TEST((round({kA, kB}, {kA, kB}, after(120)) == std::vector{kB}));
  rounds.onAnswer(kB, OrderAnswer::kAccepted);
  rounds.onLoaded(kB, after(700));
  BOOST_TEST((round({kA}, {kA}, after(720)) == std::vector{kA}));
}

BOOST_AUTO_TEST_CASE(delayedLoadOccupiesASlot) {
  BOOST_TEST((round({kA, kB}, {kA, kB}, kStart) == std::vector{kA}));
  rounds.onAnswer(kA, OrderAnswer::kLost);
  rounds.update({}, 1, after(1500));
  BOOST_TEST(!rounds.isOrdered(kA));
  // The delayed order reaches the server now.
  rounds.onReport(kA, {Incarnation(1), 1, true, true, after(2000)}, after(2000));
  BOOST_TEST(rounds.isOrdered(kA));
  BOOST_TEST((rounds.reserved() == std::set{kA}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::weights
