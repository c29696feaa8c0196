#include "service_rollout/order.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::service_rollout {
namespace {

Order validOrder() {
  Order order;
  order.name = "quotes";
  order.service = "quotes";
  order.target = SoftwareVersion("2");
  order.duration = Milliseconds(8000);
  return order;
}

void expectRefused(const Order& order, std::string_view part) {
  const Result<void> checked = check(order);
  BOOST_REQUIRE(!checked);
  BOOST_TEST((checked.error().kind == ErrorKind::kSettingsInvalid));
  BOOST_TEST(checked.error().detail.find(part) != std::string::npos);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(order)

BOOST_AUTO_TEST_CASE(anOrderWithServiceTargetAndDurationCanBeCarriedOut) {
  BOOST_TEST(check(validOrder()).has_value());
}

BOOST_AUTO_TEST_CASE(anOrderWithoutAServiceIsRefused) {
  Order order = validOrder();
  order.service.clear();
  expectRefused(order, "no service");
}

BOOST_AUTO_TEST_CASE(anOrderWithoutATargetIsRefused) {
  Order order = validOrder();
  order.target = SoftwareVersion();
  expectRefused(order, "no target version");
}

BOOST_AUTO_TEST_CASE(anOrderWithoutADurationAboveZeroIsRefused) {
  Order order = validOrder();
  order.duration = Milliseconds(0);
  expectRefused(order, "no duration");
  order.duration = Milliseconds(-1);
  expectRefused(order, "no duration");
}

BOOST_AUTO_TEST_CASE(aStateHoldsOnlyForTheTargetItWasWrittenFor) {
  Order order = validOrder();
  BOOST_TEST(!order.hasState());
  order.state = OrderState::kCompleted;
  order.stateTarget = order.target;
  BOOST_TEST(order.hasState());
  BOOST_TEST(order.ended());
  order.target = SoftwareVersion("3");
  BOOST_TEST(!order.hasState());
  BOOST_TEST(!order.ended());
}

BOOST_AUTO_TEST_CASE(eachStateHasItsOwnName) {
  BOOST_TEST(toString(OrderState::kNew) == "new");
  BOOST_TEST(toString(OrderState::kRunning) == "running");
  BOOST_TEST(toString(OrderState::kCompleted) == "completed");
  BOOST_TEST(toString(OrderState::kRolledBack) == "rolled_back");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
