#include "fleet/prefill_rate.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::fleet {
namespace {

BOOST_AUTO_TEST_SUITE(prefill_rate)

BOOST_AUTO_TEST_CASE(rateConvergesToThatOfASlowServer) {
  PrefillRate rate(40);
  for (int sample = 0; sample < 100; ++sample) {
    rate.observe(9000, 9000.0 / 19);
  }
  BOOST_TEST(rate.tokensPerMs() > 18.5);
  BOOST_TEST(rate.tokensPerMs() < 19.5);
}

BOOST_AUTO_TEST_CASE(outlierMovesTheRateOnlySlightly) {
  PrefillRate rate(40);
  rate.observe(9000, 0.001);
  BOOST_TEST(rate.tokensPerMs() < 60);
  rate.observe(9000, 1e9);
  BOOST_TEST(rate.tokensPerMs() > 36);
}

BOOST_AUTO_TEST_CASE(shortPromptsAreIgnored) {
  PrefillRate rate(40);
  rate.observe(PrefillRate::kMinTokens - 1, 1000);
  rate.observe(9000, 0);
  BOOST_TEST(rate.tokensPerMs() == 40);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::fleet
