#include "server_paths/path_table.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::server_paths {
namespace {

const Endpoint kFirst{"10.0.0.1", 80};
const Endpoint kSecond{"10.0.0.2", 80};

class Fixture {
 public:
  PathTable table{PathTableSettings{}};
  MonotonicTime now = MonotonicTime{} + std::chrono::hours(1);

  void pass(Milliseconds time) { now += time; }
};

BOOST_FIXTURE_TEST_SUITE(path_table, Fixture)

BOOST_AUTO_TEST_CASE(lostPathIsProbedUntilItWorks) {
  BOOST_TEST(table.recordLost(kFirst, now));
  BOOST_TEST(!table.recordLost(kFirst, now));
  BOOST_TEST(table.takeDueProbes(8, now).empty());
  pass(Milliseconds(250));
  BOOST_TEST(table.takeDueProbes(8, now).size() == 1U);
  BOOST_TEST(table.takeDueProbes(8, now).empty());
  BOOST_TEST(table.recordWorking(kFirst, now));
  BOOST_TEST(!table.isLost(kFirst));
  BOOST_TEST(table.lostCount() == 0U);
}

/// Paths that were lost together come back together.
BOOST_AUTO_TEST_CASE(oneReturnMakesAllLostPathsDue) {
  table.recordLost(kFirst, now);
  table.recordLost(kSecond, now);
  pass(Milliseconds(250));
  BOOST_TEST(table.takeDueProbes(8, now).size() == 2U);
  table.recordWorking(kFirst, now);
  BOOST_TEST(table.takeDueProbes(8, now).size() == 1U);
}

/// Guards against calls that alternate between two paths with each flap of the direct one.
BOOST_AUTO_TEST_CASE(flappingPathIsHeldOffLongerEachTime) {
  table.recordLost(kFirst, now);
  pass(Milliseconds(300));
  BOOST_TEST(table.recordWorking(kFirst, now));
  table.recordLost(kFirst, now);
  BOOST_TEST(!table.recordWorking(kFirst, now + Milliseconds(499)));
  pass(Milliseconds(500));
  BOOST_TEST(table.recordWorking(kFirst, now));
  table.recordLost(kFirst, now);
  BOOST_TEST(!table.recordWorking(kFirst, now + Milliseconds(999)));
  pass(Milliseconds(1000));
  BOOST_TEST(table.recordWorking(kFirst, now));
  pass(Milliseconds(10'000));
  table.recordLost(kFirst, now);
  BOOST_TEST(table.recordWorking(kFirst, now));
}

BOOST_AUTO_TEST_CASE(suspicionBeginsWithTheFirstLossAndEnds) {
  BOOST_TEST(!table.suspectSince(now).has_value());
  const MonotonicTime first = now;
  table.recordLost(kFirst, now);
  pass(Milliseconds(1000));
  table.recordLost(kSecond, now);
  BOOST_TEST((table.suspectSince(now) == first));
  pass(Milliseconds(3000));
  BOOST_TEST(!table.suspectSince(now).has_value());
}

BOOST_AUTO_TEST_CASE(thousandsOfLostPathsAreProbedAFewAtATime) {
  for (std::uint16_t port = 1; port <= 5000; ++port) {
    table.recordLost(Endpoint{"10.0.0.1", port}, now);
  }
  pass(Milliseconds(250));
  BOOST_TEST(table.takeDueProbes(16, now).size() == 16U);
}

BOOST_AUTO_TEST_CASE(serversThatLeaveTheListAreForgotten) {
  table.recordLost(kFirst, now);
  table.recordLost(kSecond, now);
  table.retain([](const Endpoint& server) { return server == kSecond; });
  BOOST_TEST(!table.isLost(kFirst));
  BOOST_TEST(table.lostCount() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_paths
