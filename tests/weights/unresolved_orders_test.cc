#include "weights/unresolved_orders.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::weights {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const BackendId kA("a");
const BackendId kB("b");
const OrderCondition kCondition{Incarnation(7), 3};

MonotonicTime after(int milliseconds) {
  return kStart + Milliseconds(milliseconds);
}

/// A report of an idle server with outdated weights.
LoadReport reportOf(OrderCondition condition, MonotonicTime requestedAt) {
  return {condition.incarnation, condition.orderCount, false, true, requestedAt};
}

struct OrdersFixture {
  /// Sends an order whose answer is lost.
  void sendLost(const BackendId& server, MonotonicTime at) {
    orders.onSent(server, kCondition, at);
    orders.onAnswer(server, OrderAnswer::kLost);
  }
  /// Sends `count` orders that a report shows were not accepted on arrival.
  void loseOrders(int count) {
    for (int sent = 0; sent < count; ++sent) {
      sendLost(kB, kStart);
      orders.onReport(kB, reportOf(kCondition, after(400)));
      orders.forget(kB);
    }
  }

  UnresolvedOrders orders{UnresolvedOrdersSettings{}};
};

BOOST_FIXTURE_TEST_SUITE(unresolved_orders, OrdersFixture)

BOOST_AUTO_TEST_CASE(consecutiveOrdersAreLimitedAndThenPaced) {
  for (const int at : {0, 300, 600}) {
    BOOST_TEST(orders.mayOrder(kA, after(at)));
    orders.onSent(kA, kCondition, after(at));
    BOOST_TEST(!orders.mayOrder(kA, after(at + 200)));
    orders.onAnswer(kA, OrderAnswer::kLost);
  }
  BOOST_TEST(!orders.mayOrder(kA, after(900)));
  BOOST_TEST(
      (orders.onReport(kA, reportOf(kCondition, after(1000))) == ReportedEffect::kNotAccepted));
  BOOST_TEST(orders.slotHolders().empty());
  BOOST_TEST(!orders.mayOrder(kA, after(1299)));
  BOOST_TEST(orders.mayOrder(kA, after(1300)));
}

BOOST_AUTO_TEST_CASE(reportThatMayPredateTheOrderIsInconclusive) {
  sendLost(kA, kStart);
  BOOST_TEST((orders.onReport(kA, reportOf(kCondition, after(399))) == ReportedEffect::kUnknown));
  BOOST_TEST(orders.slotHolders().contains(kA));
  BOOST_TEST(
      (orders.onReport(kA, reportOf(kCondition, after(400))) == ReportedEffect::kNotAccepted));
}

BOOST_AUTO_TEST_CASE(changedOrderCountOrIncarnationResolvesTheOrder) {
  for (const OrderCondition other :
       {OrderCondition{Incarnation(7), 4}, OrderCondition{Incarnation(8), 0}}) {
    sendLost(kA, kStart);
    BOOST_TEST((orders.onReport(kA, reportOf(other, after(300))) == ReportedEffect::kResolved));
    BOOST_TEST(orders.servers().empty());
    BOOST_TEST(orders.mayOrder(kA, after(301)));
  }
}

BOOST_AUTO_TEST_CASE(orderWithOutdatedConditionIsNotSent) {
  // An earlier order was accepted in the meantime, so the same condition can't hold any more.
  orders.onSent(kA, kCondition, kStart);
  orders.onAnswer(kA, OrderAnswer::kConflict);
  BOOST_TEST(!orders.mayOrder(kA, after(1000)));
  BOOST_TEST((orders.onReport(kA, reportOf(kCondition, after(1000))) == ReportedEffect::kUnknown));
  BOOST_TEST(orders.slotHolders().contains(kA));
}

BOOST_AUTO_TEST_CASE(orderWithoutReportHoldsItsSlotUntilTheTimeout) {
  sendLost(kA, kStart);
  BOOST_TEST(orders.releaseExpired(after(1499)).empty());
  BOOST_TEST((orders.releaseExpired(after(1500)) == std::vector{kA}));
  BOOST_TEST(orders.releaseExpired(after(1501)).empty());
}

BOOST_AUTO_TEST_CASE(unresponsiveServerHoldsASlotUntilTheTimeout) {
  orders.onNoResponse(kA, kStart);
  orders.onNoResponse(kA, after(1000));
  BOOST_TEST(orders.loadProbability(kA) == 1);
  BOOST_TEST((orders.releaseExpired(after(1500)) == std::vector{kA}));
  BOOST_TEST(orders.loadProbability(kA) == 0);
  orders.onReport(kA, reportOf(kCondition, after(1600)));
  BOOST_TEST(orders.servers().empty());
}

BOOST_AUTO_TEST_CASE(lostAnswersAreWeightedByTheAcceptedRatio) {
  sendLost(kA, kStart);
  BOOST_TEST(orders.loadProbability(kA) == 1);
  loseOrders(1);
  BOOST_TEST(orders.loadProbability(kA) == 0.65, boost::test_tools::tolerance(1e-9));
  // The order was accepted, though its answer was lost.
  sendLost(kB, kStart);
  orders.onReport(kB, reportOf({Incarnation(7), 4}, after(300)));
  BOOST_TEST(orders.loadProbability(kA) > 0.7);
  // An order whose answer may still arrive counts in full while loads are predictable.
  orders.onSent(kB, kCondition, after(300));
  BOOST_TEST(orders.loadProbability(kB) == 1);
}

BOOST_AUTO_TEST_CASE(loadsAreUnpredictableWhileFewOrdersAreAcceptedOnArrival) {
  loseOrders(2);
  BOOST_TEST(orders.loadsPredictable());
  loseOrders(1);
  BOOST_TEST(!orders.loadsPredictable());
  // While they are unpredictable, a server gets only one order in its turn.
  sendLost(kA, kStart);
  BOOST_TEST(!orders.mayOrder(kA, after(300)));
  // One accepted order makes loads predictable again.
  orders.onSent(kB, kCondition, after(300));
  orders.onAnswer(kB, OrderAnswer::kAccepted);
  BOOST_TEST(orders.loadsPredictable());
}

BOOST_AUTO_TEST_CASE(serversThatMayStillLoadArePolledInTurn) {
  sendLost(kA, kStart);
  sendLost(kB, after(10));
  BOOST_TEST(orders.serversToPoll(2, after(1000)).empty());
  orders.releaseExpired(after(2000));
  BOOST_TEST((orders.serversToPoll(1, after(2000)) == std::vector{kA}));
  orders.onReport(kA, reportOf(kCondition, after(2000)));
  BOOST_TEST((orders.serversToPoll(2, after(2400)) == std::vector{kB}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::weights
