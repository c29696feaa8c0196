#include "forward/answer_observer.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::forward {
namespace {

using service_rollout::OrderKey;
using service_rollout::Track;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
const OrderKey kOrder(9);

DispatchReport answered(Track track, double startMs) {
  DispatchReport report;
  report.service = "app";
  report.track = track;
  report.order = kOrder;
  report.server = BackendId(track == Track::kStable ? "old" : "new");
  report.end = DispatchEnd::kAnswered;
  report.startMs = startMs;
  return report;
}

DispatchReport broken(const std::string& server) {
  DispatchReport report = answered(Track::kCandidate, 0);
  report.server = BackendId(server);
  report.end = DispatchEnd::kBroken;
  return report;
}

bool always(const BackendId&) {
  return true;
}

struct ObserverFixture {
  AnswerObserver observer;

  void learnBaseline(double startMs, std::optional<double> paceMs = std::nullopt) {
    for (std::size_t answer = 0; answer < AnswerObserver::kMinBaselineAnswers; ++answer) {
      DispatchReport report = answered(Track::kStable, startMs);
      report.paceMs = paceMs;
      observer.observe(report, kStart);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(answer_observer, ObserverFixture)

BOOST_AUTO_TEST_CASE(startRatioUsesTheStableVersionsBaseline) {
  BOOST_TEST(!observer.observe(answered(Track::kCandidate, 20), kStart)->startRatio.has_value());
  learnBaseline(20);
  BOOST_TEST(*observer.observe(answered(Track::kStable, 20), kStart)->startRatio == 1.0);
  // A slow candidate's answers don't change the baseline, regardless of their number.
  for (int answer = 0; answer < 1000; ++answer) {
    BOOST_TEST(*observer.observe(answered(Track::kCandidate, 80), kStart)->startRatio == 4.0);
  }
}

BOOST_AUTO_TEST_CASE(baselineIsLearntWithoutAnOrder) {
  for (std::size_t answer = 0; answer < AnswerObserver::kMinBaselineAnswers; ++answer) {
    DispatchReport report = answered(Track::kStable, 20);
    report.order = OrderKey();
    BOOST_TEST(!observer.observe(report, kStart).has_value());
  }
  BOOST_TEST(*observer.observe(answered(Track::kCandidate, 60), kStart)->startRatio == 3.0);
}

BOOST_AUTO_TEST_CASE(startRatioOfModelsUsesTheExpectedTime) {
  DispatchReport report = answered(Track::kCandidate, 300);
  report.expectedStartMs = 100;
  BOOST_TEST(*observer.observe(report, kStart)->startRatio == 3.0);
  // Below the minimum expected time, network latency outweighs the work.
  report.startMs = 5;
  report.expectedStartMs = 0.1;
  BOOST_TEST(*observer.observe(report, kStart)->startRatio == 0.5);
}

BOOST_AUTO_TEST_CASE(paceRatioUsesTheStableVersionsBaseline) {
  learnBaseline(20, 4.0);
  DispatchReport report = answered(Track::kCandidate, 20);
  report.paceMs = 10;
  BOOST_TEST(*observer.observe(report, kStart)->paceRatio == 2.5);
  report.paceMs = std::nullopt;
  BOOST_TEST(!observer.observe(report, kStart)->paceRatio.has_value());
}

BOOST_AUTO_TEST_CASE(unrepresentativeServersReportFailuresButNoLatency) {
  learnBaseline(20, 4.0);
  DispatchReport report = answered(Track::kCandidate, 500);
  report.paceMs = 100;
  report.latencyRepresentative = false;
  const auto slow = observer.observe(report, kStart);
  BOOST_TEST((!slow->startRatio && !slow->paceRatio && !slow->failed));
  report.end = DispatchEnd::kFailed;
  BOOST_TEST(observer.observe(report, kStart)->failed);
  // Such servers of the stable version don't change the baseline either.
  DispatchReport stable = answered(Track::kStable, 500);
  stable.latencyRepresentative = false;
  for (int answer = 0; answer < 100; ++answer) {
    observer.observe(stable, kStart);
  }
  BOOST_TEST(*observer.observe(answered(Track::kCandidate, 20), kStart)->startRatio == 1.0);
}

BOOST_AUTO_TEST_CASE(failuresHaveNoLatencyRatio) {
  learnBaseline(20);
  DispatchReport report = answered(Track::kCandidate, 1);
  report.end = DispatchEnd::kFailed;
  const auto failed = observer.observe(report, kStart);
  BOOST_TEST(failed->failed);
  BOOST_TEST(!failed->startRatio.has_value());
}

BOOST_AUTO_TEST_CASE(dispatchesWithoutAnswerAreNotObserved) {
  DispatchReport report = answered(Track::kCandidate, 20);
  report.end = DispatchEnd::kNoAnswer;
  BOOST_TEST(!observer.observe(report, kStart).has_value());
  BOOST_TEST(observer.takeBrokenStreams(always, kStart + std::chrono::seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(brokenStreamIsAFailureIfTheServerStaysUp) {
  BOOST_TEST(!observer.observe(broken("a"), kStart).has_value());
  BOOST_TEST(!observer.observe(broken("crashed"), kStart).has_value());
  const auto isUp = [](const BackendId& id) { return id != BackendId("crashed"); };
  // A crash is detected only after kCrashDetectionTime.
  BOOST_TEST(observer.takeBrokenStreams(always, kStart + Milliseconds(599)).empty());
  const auto observations =
      observer.takeBrokenStreams(isUp, kStart + AnswerObserver::kCrashDetectionTime);
  BOOST_REQUIRE(observations.size() == 1U);
  BOOST_TEST((observations[0].first == kOrder));
  BOOST_TEST(observations[0].second.failed);
  BOOST_TEST((observations[0].second.track == Track::kCandidate));
  BOOST_TEST(observer.takeBrokenStreams(always, kStart + std::chrono::seconds(5)).empty());
}

/// The server is up again when kCrashDetectionTime has passed, so only the restart shows its crash.
BOOST_AUTO_TEST_CASE(streamBrokenByARestartIsNoFailure) {
  observer.observe(broken("a"), kStart);
  observer.observe(broken("b"), kStart);
  observer.onRestarted(BackendId("a"));
  const auto observations =
      observer.takeBrokenStreams(always, kStart + AnswerObserver::kCrashDetectionTime);
  BOOST_TEST(observations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(brokenStreamsOfAServerCountOncePerInterval) {
  for (int stream = 0; stream < 12; ++stream) {
    observer.observe(broken("a"), kStart + Milliseconds(stream));
    observer.observe(broken("b"), kStart + Milliseconds(stream));
  }
  observer.observe(broken("a"), kStart + AnswerObserver::kBrokenStreamInterval);
  BOOST_TEST(observer.takeBrokenStreams(always, kStart + std::chrono::seconds(5)).size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
