#include "gateway/mechanisms.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::gateway {
namespace {

BOOST_AUTO_TEST_CASE(everythingIsOnUnlessItIsNamed) {
  const Result<Mechanisms> all = mechanismsWithout({});
  BOOST_REQUIRE(all);
  BOOST_TEST(all.value().cacheMoves);
  BOOST_TEST(all.value().queueAdmission);
  const Result<Mechanisms> some = mechanismsWithout({"cache-moves", "retries"});
  BOOST_REQUIRE(some);
  BOOST_TEST(!some.value().cacheMoves);
  BOOST_TEST(!some.value().retries);
  BOOST_TEST(some.value().queueAdmission);
}

BOOST_AUTO_TEST_CASE(unknownNameIsAnErrorThatSaysWhichThereAre) {
  const Result<Mechanisms> wrong = mechanismsWithout({"cache-move"});
  BOOST_REQUIRE(!wrong);
  BOOST_TEST(wrong.error().detail.find("'cache-move'") != std::string::npos);
  for (const std::string& name : mechanismNames()) {
    BOOST_TEST(wrong.error().detail.find(name) != std::string::npos);
    BOOST_TEST(mechanismsWithout({name}).has_value());
  }
}

}  // namespace
}  // namespace calicodrift::gateway
