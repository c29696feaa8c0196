#include "exchange/observation_table.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::exchange {
namespace {

using service_rollout::OrderKey;
using Seen = service_rollout::ObservationTable;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr Milliseconds kTerm{1000};
const OrderKey kOrder{11};

Seen seenOf(std::uint64_t reached) {
  Seen seen;
  seen[kOrder].order = kOrder;
  seen[kOrder].reached = reached;
  return seen;
}

std::uint64_t reachedIn(const Seen& seen) {
  const auto found = seen.find(kOrder);
  return found == seen.end() ? 0 : found->second.reached;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(observation_table)

BOOST_AUTO_TEST_CASE(sumsChildrenExceptTheReceiver) {
  ObservationTable table(kTerm);
  table.setChild("a", seenOf(1), kStart);
  table.setChild("b", seenOf(2), kStart);
  table.setChild("b", seenOf(4), kStart);
  table.setGroup("r", seenOf(8), kStart);
  table.setGroup("s", seenOf(16), kStart);
  BOOST_TEST(reachedIn(table.children("a", kStart)) == 4U);
  BOOST_TEST(reachedIn(table.children("", kStart)) == 5U);
  BOOST_TEST(reachedIn(table.outsideSubtree(kStart)) == 24U);
}

BOOST_AUTO_TEST_CASE(reportOfAParentReplacesThoseOfOtherRoots) {
  ObservationTable table(kTerm);
  table.setGroup("r", seenOf(8), kStart);
  table.setParent(seenOf(100), kStart);
  BOOST_TEST(reachedIn(table.outsideSubtree(kStart)) == 100U);
  // Another root may still consider this node a root for a while.
  table.setGroup("r", seenOf(8), kStart);
  BOOST_TEST(reachedIn(table.outsideSubtree(kStart)) == 100U);
  table.removeParent();
  BOOST_TEST(reachedIn(table.outsideSubtree(kStart)) == 8U);
}

BOOST_AUTO_TEST_CASE(reportsOfUnresponsiveNodesExpire) {
  ObservationTable table(kTerm);
  table.setChild("a", seenOf(1), kStart);
  table.setParent(seenOf(2), kStart);
  const MonotonicTime end = kStart + kTerm;
  BOOST_TEST(table.hasOrders(end));
  BOOST_TEST(reachedIn(table.children("", end)) == 1U);
  const MonotonicTime after = end + Milliseconds(1);
  BOOST_TEST(!table.hasOrders(after));
  BOOST_TEST(table.children("", after).empty());
  BOOST_TEST(table.outsideSubtree(after).empty());
  table.expire(after);
  BOOST_TEST(table.children("", kStart).empty());
}

BOOST_AUTO_TEST_CASE(agesIncreaseWhileAReportIsStored) {
  ObservationTable table(kTerm);
  Seen seen = seenOf(1);
  seen[kOrder].age = Milliseconds(4000);
  table.setChild("a", seen, kStart);
  const Seen later = table.children("", kStart + Milliseconds(300));
  BOOST_TEST(later.at(kOrder).age == Milliseconds(4300));
}

BOOST_AUTO_TEST_CASE(tableWithoutOrdersHasNone) {
  ObservationTable table(kTerm);
  table.setChild("a", {}, kStart);
  table.setParent({}, kStart);
  BOOST_TEST(!table.hasOrders(kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::exchange
