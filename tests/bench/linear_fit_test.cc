#include "bench/linear_fit.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::bench {
namespace {

constexpr double kTolerance = 1e-9;

BOOST_AUTO_TEST_CASE(aLineIsFoundAgainAndExtrapolated) {
  const LinearFit fit = fitLine({1, 2, 4}, {5, 7, 11});
  BOOST_TEST(fit.slope == 2, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(fit.intercept == 3, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(fit.rSquared == 1, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(fit.at(10) == 23, boost::test_tools::tolerance(kTolerance));
}

BOOST_AUTO_TEST_CASE(oneSizeGivesAConstantAndNoiseLowersTheFit) {
  BOOST_TEST(fitLine({3}, {8}).at(100) == 8, boost::test_tools::tolerance(kTolerance));
  BOOST_TEST(fitLine({1, 2, 3}, {1, 5, 1}).rSquared < 0.5);
}

}  // namespace
}  // namespace calicodrift::bench
