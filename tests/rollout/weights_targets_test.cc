#include "rollout/weights_targets.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::rollout {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const ModelId kModel("m");

BOOST_AUTO_TEST_CASE(olderWeightsAreAllowedForTheTermAfterTheirSuccessor) {
  WeightsTargets targets(Milliseconds(6000));
  BOOST_TEST((targets.newest(kModel) == std::nullopt));
  targets.name(kModel, WeightsVersion(2), kStart, kStart);
  targets.name(kModel, WeightsVersion(3), kStart + Milliseconds(4000), kStart + Milliseconds(4000));
  BOOST_TEST((targets.newest(kModel) == WeightsVersion(3)));
  BOOST_TEST((targets.least(kModel, kStart + Milliseconds(5999)) == WeightsVersion(0)));
  BOOST_TEST((targets.least(kModel, kStart + Milliseconds(6000)) == WeightsVersion(2)));
  BOOST_TEST((targets.least(kModel, kStart + Milliseconds(10'000)) == WeightsVersion(3)));
}

BOOST_AUTO_TEST_CASE(versionKeepsTheTimeAtWhichItWasFirstHeardOf) {
  WeightsTargets targets(Milliseconds(6000));
  targets.name(kModel, WeightsVersion(2), kStart, kStart);
  targets.name(kModel, WeightsVersion(2), kStart + Milliseconds(5000), kStart + Milliseconds(5000));
  BOOST_TEST((targets.least(kModel, kStart + Milliseconds(6000)) == WeightsVersion(2)));
}

}  // namespace
}  // namespace calicodrift::rollout
