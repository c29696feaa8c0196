#include "bench/report.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::bench {
namespace {

BOOST_AUTO_TEST_CASE(percentilesAreValuesThatWereMeasured) {
  std::vector<double> samples{4, 1, 3, 2};
  BOOST_TEST(percentile(samples, 0.5) == 2);
  BOOST_TEST(percentile(samples, 0.99) == 4);
  BOOST_TEST(percentile(samples, 0) == 1);
  std::vector<double> none;
  BOOST_TEST(percentile(none, 0.5) == 0);
}

}  // namespace
}  // namespace calicodrift::bench
