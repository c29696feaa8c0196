#include "weights/weights_history.h"

#include <boost/test/unit_test.hpp>

#include "weights/weights_targets.h"

namespace calicodrift::weights {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr WeightsTerms kTerms{Milliseconds(6000), Milliseconds(7500)};
/// Time within which requests on older weights must have begun.
constexpr Milliseconds kBound{8000};
const ModelId kModel("m");

MonotonicTime after(std::int64_t milliseconds) {
  return kStart + Milliseconds(milliseconds);
}

/// A node that learned late of a naming reads from the store that the older weights have expired.
/// It stops sending there, and waiting requests must not keep waiting by the node's own late count.
BOOST_AUTO_TEST_CASE(requestsDoNotKeepWaitingBelowTheFloor) {
  WeightsHistory history;
  history.addDiscovered(WeightsVersion(1), {kStart, kStart}, kStart);
  history.addObserved(WeightsVersion(2), after(1200));
  history.raiseFloor(WeightsVersion(2), after(6250));
  BOOST_TEST((history.leastSendable(kTerms, after(6300)) == WeightsVersion(2)));
  BOOST_TEST((history.leastWaitable(kTerms, kStart + kBound) == WeightsVersion(2)));
}

/// A discovered version was named before its discovery, so one send term later the older versions
/// have certainly expired, even if no node is left that watched. Otherwise the store would never
/// record it, and each restart would use the older weights again.
BOOST_AUTO_TEST_CASE(discoveredVersionExpiresOlderOnesAfterTheSendTerm) {
  WeightsHistory history;
  history.addDiscovered(WeightsVersion(2), {after(1500), after(1500)}, kStart);
  BOOST_TEST((history.confirmedLeast(kTerms, after(5999)) == WeightsVersion()));
  BOOST_TEST((history.confirmedLeast(kTerms, after(6000)) == WeightsVersion(2)));
}

/// A floor above the named versions can only be wrong. It must not end the use of older weights at
/// the moment of each later naming, when no server has the newer ones.
BOOST_AUTO_TEST_CASE(floorAboveAllVersionsDoesNotEndTheTermOfLaterOnes) {
  const WeightsVersion wrong(1000);
  WeightsHistory history;
  history.addDiscovered(WeightsVersion(1), {kStart, kStart}, kStart);
  history.raiseFloor(wrong, after(10));
  history.addObserved(WeightsVersion(2), after(60'000));
  history.raiseFloor(wrong, after(60'010));
  BOOST_TEST((history.leastSendable(kTerms, after(60'100)) == WeightsVersion(1)));
}

/// Versions that this node abandoned only because its history was incomplete become usable again
/// once another node reports all namings.
BOOST_AUTO_TEST_CASE(reportAfterTwoGapsCompletesTheHistory) {
  WeightsHistory history;
  // Discovered so late after the start that older versions are not used at all.
  history.addDiscovered(WeightsVersion(2), {kStart, kStart}, after(100));
  history.addDiscovered(WeightsVersion(3), {after(6000), after(6000)}, after(200));
  history.merge({kModel,
                 {},
                 WeightsVersion(1),
                 {{WeightsVersion(2), Milliseconds(300)}, {WeightsVersion(3), Milliseconds(100)}}},
                after(300));
  BOOST_TEST((history.leastSendable(kTerms, after(300)) <= WeightsVersion(1)));
}

/// Of two namings in quick succession, a watch may show only the second.
BOOST_AUTO_TEST_CASE(versionUnseenByPeersIsCoveredByTheNextOne) {
  WeightsHistory history;
  history.addDiscovered(WeightsVersion(2), {after(1500), after(1500)}, kStart);
  history.addObserved(WeightsVersion(3), after(100));
  // The other node watched and saw version 3 replace version 1.
  history.merge({kModel, {}, WeightsVersion(1), {{WeightsVersion(3), Milliseconds(100)}}},
                after(200));
  BOOST_TEST((history.leastSendable(kTerms, after(1600)) <= WeightsVersion(1)));
}

}  // namespace
}  // namespace calicodrift::weights
