#include "service_rollout/observer.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace calicodrift::service_rollout {
namespace {

const OrderKey kOrder{11};
const OrderKey kOther{12};
const RouteKey kRoute{5};
const MonotonicTime kNow = MonotonicTime() + Milliseconds(100'000);

AnswerObservation answerOf(Track track, bool failed = false) {
  AnswerObservation answer;
  answer.route = kRoute;
  answer.track = track;
  answer.failed = failed;
  return answer;
}

const RouteSample& sampleIn(const ObservationTable& table, Track track) {
  return table.at(kOrder).routes.at(kRoute)[static_cast<std::size_t>(track)];
}

}  // namespace

BOOST_AUTO_TEST_SUITE(observer)

BOOST_AUTO_TEST_CASE(ratiosFallIntoStepsOfTheRootOfTwo) {
  BOOST_TEST(ratioBucket(1.0) == 4U);
  BOOST_TEST(ratioBucket(1.42) == 5U);
  BOOST_TEST(ratioBucket(2.01) == 6U);
  BOOST_TEST(ratioBucket(0.26) == 0U);
  BOOST_TEST(ratioBucket(0.0) == 0U);
  BOOST_TEST(ratioBucket(-1.0) == 0U);
  BOOST_TEST(ratioBucket(std::nan("")) == 0U);
  BOOST_TEST(ratioBucket(1e9) == kRatioBuckets - 1);
}

BOOST_AUTO_TEST_CASE(answersAreCountedByRouteAndVersion) {
  Observer observer;
  observer.onSent(kOrder, Track::kStable);
  observer.onSent(kOrder, Track::kCandidate);
  AnswerObservation slow = answerOf(Track::kCandidate);
  slow.startRatio = 3.0;
  slow.paceRatio = 1.0;
  observer.onAnswer(kOrder, slow);
  observer.onAnswer(kOrder, answerOf(Track::kStable, true));
  const ObservationTable table = observer.snapshot(kNow);
  BOOST_TEST(table.at(kOrder).reached == 2U);
  BOOST_TEST(table.at(kOrder).exposed == 1U);
  BOOST_TEST(sampleIn(table, Track::kCandidate).answered == 1U);
  BOOST_TEST(sampleIn(table, Track::kCandidate).failed == 0U);
  BOOST_TEST(sampleIn(table, Track::kCandidate).start[ratioBucket(3.0)] == 1U);
  BOOST_TEST(sampleIn(table, Track::kCandidate).pace[ratioBucket(1.0)] == 1U);
  BOOST_TEST(sampleIn(table, Track::kStable).failed == 1U);
}

BOOST_AUTO_TEST_CASE(answerWithoutTimesIsInNoHistogram) {
  Observer observer;
  observer.onSent(kOrder, Track::kCandidate);
  observer.onAnswer(kOrder, answerOf(Track::kCandidate));
  BOOST_TEST((sampleIn(observer.snapshot(kNow), Track::kCandidate).start == RatioHistogram{}));
}

BOOST_AUTO_TEST_CASE(highestAgeCountsAndGrows) {
  Observer observer;
  observer.updateAge(kOrder, Milliseconds(500), kNow);
  observer.updateAge(kOrder, Milliseconds(100), kNow);
  BOOST_TEST(observer.snapshot(kNow).at(kOrder).age == Milliseconds(500));
  observer.updateAge(kOrder, Milliseconds(2000), kNow + Milliseconds(1000));
  BOOST_TEST(observer.snapshot(kNow + Milliseconds(1500)).at(kOrder).age == Milliseconds(2500));
}

BOOST_AUTO_TEST_CASE(orderThatEndedIsDroppedAndItsLateAnswersAreNotCounted) {
  Observer observer;
  observer.onSent(kOrder, Track::kCandidate);
  observer.reject(kOther);
  observer.retainOnly({kOther});
  observer.onAnswer(kOrder, answerOf(Track::kCandidate));
  const ObservationTable table = observer.snapshot(kNow);
  BOOST_TEST(table.size() == 1U);
  BOOST_TEST(table.at(kOther).rejected);
}

BOOST_AUTO_TEST_CASE(routesBeyondTheBoundAreCountedTogether) {
  Observer observer;
  observer.onSent(kOrder, Track::kStable);
  for (std::uint64_t route = 1; route <= 2 * Observer::kMaxRoutes; ++route) {
    AnswerObservation answer = answerOf(Track::kStable);
    answer.route = RouteKey(route);
    observer.onAnswer(kOrder, answer);
  }
  const ObservationTable table = observer.snapshot(kNow);
  const auto& routes = table.at(kOrder).routes;
  BOOST_TEST(routes.size() == Observer::kMaxRoutes + 1);
  BOOST_TEST(routes.at(Observer::kOverflowRoute)[0].answered == Observer::kMaxRoutes);
  BOOST_TEST(observer.overflowAnswers() == Observer::kMaxRoutes);
}

BOOST_AUTO_TEST_CASE(tablesAddUpByOrder) {
  Observer first;
  first.onSent(kOrder, Track::kStable);
  first.onAnswer(kOrder, answerOf(Track::kStable, true));
  first.updateAge(kOrder, Milliseconds(700), kNow);
  Observer second;
  second.onSent(kOrder, Track::kCandidate);
  second.onAnswer(kOrder, answerOf(Track::kStable));
  second.reject(kOrder);
  second.onSent(kOther, Track::kStable);
  ObservationTable sum = first.snapshot(kNow);
  addObservations(sum, second.snapshot(kNow));
  BOOST_TEST(sum.size() == 2U);
  BOOST_TEST((sum.at(kOther).order == kOther));
  BOOST_TEST(sum.at(kOrder).reached == 2U);
  BOOST_TEST(sum.at(kOrder).exposed == 1U);
  BOOST_TEST(sum.at(kOrder).rejected);
  BOOST_TEST(sum.at(kOrder).age == Milliseconds(700));
  BOOST_TEST(sampleIn(sum, Track::kStable).answered == 2U);
  BOOST_TEST(sampleIn(sum, Track::kStable).failed == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
