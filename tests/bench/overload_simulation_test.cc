#include "bench/overload_simulation.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::bench {
namespace {

/// The 1x, found once.
double capacity() {
  static const double found = measureCapacity(OverloadScenario{});
  return found;
}

OverloadResult runAt(double factor, bool limits) {
  OverloadScenario scenario;
  scenario.offeredPerSecond = capacity() * factor;
  scenario.limits = limits;
  return runOverloadSimulation(scenario);
}

double completedPart(const GroupResult& group) {
  return static_cast<double>(group.completed) / static_cast<double>(group.offered);
}

BOOST_AUTO_TEST_CASE(goodputHoldsAtThreeTimesTheCapacity) {
  const auto atCapacity = static_cast<double>(runAt(1, true).all.completed);
  const auto above = static_cast<double>(runAt(1.5, true).all.completed);
  const auto farAbove = static_cast<double>(runAt(3, true).all.completed);
  const auto unlimited = static_cast<double>(runAt(3, false).all.completed);
  BOOST_TEST_MESSAGE("completed at 1x " << atCapacity << ", 1.5x " << above << ", 3x " << farAbove
                                        << ", 3x without limits " << unlimited);
  BOOST_TEST(above > 0.85 * atCapacity);
  BOOST_TEST(farAbove > 0.8 * atCapacity);
  BOOST_TEST(unlimited < 0.7 * farAbove);
}

BOOST_AUTO_TEST_CASE(smallTenantsAndUrgentWorkGoFirstAndNoneStarves) {
  const OverloadResult result = runAt(3, true);
  for (const GroupResult& tenant : result.tenants) {
    if (tenant.name.starts_with("small")) {
      BOOST_TEST(completedPart(tenant) > 0.75);
    }
  }
  const GroupResult& high = result.priorities[0];
  const GroupResult& normal = result.priorities[1];
  const GroupResult& low = result.priorities[2];
  BOOST_TEST(completedPart(high) > 1.5 * completedPart(normal));
  BOOST_TEST(completedPart(normal) > 1.5 * completedPart(low));
  BOOST_TEST(completedPart(low) > 0.03);
}

BOOST_AUTO_TEST_CASE(theSameSeedGivesTheSameRun) {
  const OverloadResult first = runAt(1.5, true);
  const OverloadResult second = runAt(1.5, true);
  BOOST_TEST(first.all.completed == second.all.completed);
  BOOST_TEST(first.all.firstTokenMs == second.all.firstTokenMs, boost::test_tools::per_element());
}

}  // namespace
}  // namespace calicodrift::bench
