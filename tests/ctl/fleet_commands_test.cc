#include "ctl/fleet_commands.h"

#include <boost/test/unit_test.hpp>

#include "bundle/bundle.h"

namespace calicodrift::ctl {
namespace {

const std::string kBundle =
    R"({"version":7,"models":[{"id":"a","weights_version":1},{"id":"b","weights_version":4}]})";

BOOST_AUTO_TEST_CASE(aWeightsChangeIsTheNextBundleAndTouchesOneModel) {
  const Result<std::string> changed = withWeights(kBundle, "b", 5);
  BOOST_REQUIRE(changed.has_value());
  const Result<bundle::Bundle> bundle = bundle::parseBundle(changed.value());
  BOOST_REQUIRE(bundle.has_value());
  BOOST_TEST(bundle.value().version.value() == 8U);
  BOOST_TEST(bundle.value().models[0].weights.value() == 1U);
  BOOST_TEST(bundle.value().models[1].weights.value() == 5U);
}

BOOST_AUTO_TEST_CASE(unknownModelsMissingFlagsAndSeveralRoutersAreRefused) {
  const Result<std::string> unknown = withWeights(kBundle, "c", 5);
  BOOST_REQUIRE(!unknown.has_value());
  BOOST_TEST((unknown.error().kind == ErrorKind::kUnknownModel));
  BOOST_TEST((proposeWeights(CtlSettings{}, "x").error().kind == ErrorKind::kSettingsInvalid));
  BOOST_TEST((drainNode(CtlSettings{}).error().kind == ErrorKind::kSettingsInvalid));
}

}  // namespace
}  // namespace calicodrift::ctl
