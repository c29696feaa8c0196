#include <boost/test/unit_test.hpp>

#include "forwarding_fixture.h"
#include "service_rollout/canary_budget.h"

namespace calicodrift::forward {
namespace {

namespace asio = boost::asio;
using service_rollout::CandidateUse;

BOOST_FIXTURE_TEST_SUITE(version_forwarding, ForwardingFixture)

BOOST_AUTO_TEST_CASE(aCanaryFailureIsTriedAgainAtTheOldVersion) {
  VersionServer& old = addServer("old", kOld);
  VersionServer& fresh = addServer("new", kNew);
  // The candidate has another server that has not had the request.
  addServer("new2", kNew);
  fresh.answers(500);
  servers.back()->answers(500);
  BOOST_TEST(call() == 200U);
  BOOST_TEST(old.requests.size() == 1U);
  BOOST_TEST(fresh.requests.size() + servers.back()->requests.size() == 1U);
  // The budget is asked once per request.
  BOOST_TEST(asked == 1U);
  BOOST_TEST(sentTo(Track::kCandidate) == 1U);
  // A retry doesn't raise the permitted exposure.
  BOOST_TEST(sentTo(Track::kStable) == 0U);
  BOOST_TEST(reportedFailures() == 1U);
  BOOST_REQUIRE(answers.size() == 2U);
  BOOST_TEST((answers[0].track == Track::kCandidate && answers[0].failed));
  BOOST_TEST((answers[1].track == Track::kStable && !answers[1].failed));
}

BOOST_AUTO_TEST_CASE(aCrashedCandidateIsNotCountedAsFailed) {
  addServer("old", kOld);
  addServer("new", kNew).crash();
  BOOST_TEST(call() == 200U);
  BOOST_TEST(sentTo(Track::kCandidate) == 1U);
  BOOST_TEST(reportedFailures() == 0U);
  BOOST_TEST(answers.size() == 1U);
  // The candidate is known to be unreachable now, so the budget isn't asked.
  BOOST_TEST(call() == 200U);
  BOOST_TEST(asked == 1U);
}

BOOST_AUTO_TEST_CASE(aRefusalIsNoAnswerOfTheCandidate) {
  addServer("old", kOld);
  addServer("new", kNew).answers(503);
  BOOST_TEST(call() == 200U);
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST((answers[0].track == Track::kStable));
}

BOOST_AUTO_TEST_CASE(withoutOldServersTheCandidateStillGetsItsShareOnly) {
  service_rollout::CanaryBudget canary(0.05, 1);
  budget = [&canary] { return canary.assignToCandidate(kOrder, service_rollout::RouteKey(1)); };
  VersionServer& fresh = addServer("new", kNew);
  addServer("old", kOld).crash();
  std::size_t refused = 0;
  for (int request = 0; request < 200; ++request) {
    refused += call() == 503 ? 1 : 0;
  }
  BOOST_TEST(fresh.requests.size() <= 11U);
  BOOST_TEST(refused == 200 - fresh.requests.size());
}

BOOST_AUTO_TEST_CASE(theRuleIsAskedAtEachChoice) {
  // After a pause of the node its rollout permit may have expired.
  VersionServer& old = addServer("old", kOld);
  VersionServer& fresh = addServer("new", kNew);
  BOOST_TEST(call() == 200U);
  BOOST_TEST(fresh.requests.size() == 1U);
  rule.use = CandidateUse::kNothing;
  BOOST_TEST(call() == 200U);
  BOOST_TEST(fresh.requests.size() == 1U);
  BOOST_TEST(old.requests.size() == 1U);
  BOOST_TEST(asked == 1U);
}

BOOST_AUTO_TEST_CASE(aRolledBackCandidateGetsNoSecondTry) {
  VersionServer& old = addServer("old", kOld);
  VersionServer& fresh = addServer("new", kNew);
  VersionServer& other = addServer("new2", kNew);
  rule.use = CandidateUse::kEverything;
  for (VersionServer* candidate : {&fresh, &other}) {
    candidate->behaviour = [this](http::ResponseWriter& writer) -> asio::awaitable<void> {
      rule.use = CandidateUse::kNothing;
      co_await http::respond(writer, VersionServer::sealed(500));
    };
  }
  BOOST_TEST(call() == 200U);
  BOOST_TEST(old.requests.size() == 1U);
  BOOST_TEST(fresh.requests.size() + other.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aSecondTryIsNeverTheCanary) {
  VersionServer& old = addServer("old", kOld);
  VersionServer& fresh = addServer("new", kNew);
  rule.use = CandidateUse::kNothing;
  old.behaviour = [this](http::ResponseWriter& writer) -> asio::awaitable<void> {
    rule.use = CandidateUse::kCanary;
    co_await http::respond(writer, VersionServer::sealed(500));
  };
  BOOST_TEST(call() == 500U);
  BOOST_TEST(old.requests.size() == 2U);
  BOOST_TEST(fresh.requests.empty());
  BOOST_TEST(asked == 0U);
}

BOOST_AUTO_TEST_CASE(aSecondTryWhileShiftingGoesToTheCandidate) {
  VersionServer& old = addServer("old", kOld);
  VersionServer& fresh = addServer("new", kNew);
  budget = [] { return false; };
  old.behaviour = [this](http::ResponseWriter& writer) -> asio::awaitable<void> {
    rule.use = CandidateUse::kEverything;
    co_await http::respond(writer, VersionServer::sealed(500));
  };
  BOOST_TEST(call() == 200U);
  BOOST_TEST(fresh.requests.size() == 1U);
  // The old version gets the request again only if each of the candidate's servers has had it.
  fresh.answers(500);
  old.answers(200);
  BOOST_TEST(call() == 200U);
  BOOST_TEST(old.requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(aVersionWithoutAnOrderGetsNothing) {
  VersionServer& fresh = addServer("new", kNew);
  rule = {kOld, SoftwareVersion(), CandidateUse::kNothing, service_rollout::OrderKey()};
  BOOST_TEST(call() == 503U);
  VersionServer& old = addServer("old", kOld);
  BOOST_TEST(call() == 200U);
  BOOST_TEST(fresh.requests.empty());
  BOOST_TEST(old.requests.size() == 1U);
  // Nothing is reported if no order is in progress.
  BOOST_TEST(sent.empty());
  BOOST_TEST(answers.empty());
}

BOOST_AUTO_TEST_CASE(streamBrokenByARunningServerIsAFailure) {
  addServer("old", kOld);
  VersionServer& fresh = addServer("new", kNew);
  fresh.behaviour = [](http::ResponseWriter& writer) -> asio::awaitable<void> {
    static_cast<void>(co_await writer.startStream(VersionServer::sealed(200)));
    static_cast<void>(co_await writer.writeChunk("id: 1\ndata: a\n\n"));
    writer.abort();
  };
  call("/stream/x");
  BOOST_TEST(answers.empty());
  budget = [] { return false; };
  asio::steady_timer timer(context, AnswerObserver::kCrashDetectionTime);
  timer.wait();
  BOOST_TEST(call() == 200U);
  BOOST_REQUIRE(answers.size() == 2U);
  BOOST_TEST(reportedFailures() == 1U);
  BOOST_TEST((answers[1].track == Track::kCandidate && answers[1].failed));
}

BOOST_AUTO_TEST_CASE(paceRatioOfAStreamIsReported) {
  VersionServer& old = addServer("old", kOld);
  VersionServer& fresh = addServer("new", kNew);
  const auto streamer = [this](Milliseconds step) {
    return [this, step](http::ResponseWriter& writer) -> asio::awaitable<void> {
      static_cast<void>(co_await writer.startStream(VersionServer::sealed(200)));
      asio::steady_timer timer(context);
      for (int event = 1; event <= 4; ++event) {
        timer.expires_after(step);
        co_await timer.async_wait(asio::use_awaitable);
        static_cast<void>(
            co_await writer.writeChunk("id: " + std::to_string(event) + "\ndata: a\n\n"));
      }
      static_cast<void>(co_await writer.endStream());
    };
  };
  old.behaviour = streamer(Milliseconds(5));
  fresh.behaviour = streamer(Milliseconds(100));
  budget = [] { return false; };
  for (std::size_t answer = 0; answer < AnswerObserver::kMinBaselineAnswers; ++answer) {
    BOOST_TEST(call("/stream/x") == 200U);
  }
  budget = [] { return true; };
  BOOST_TEST(call("/stream/x") == 200U);
  BOOST_REQUIRE((!answers.empty() && answers.back().paceRatio));
  BOOST_TEST((answers.back().track == Track::kCandidate));
  BOOST_TEST(*answers.back().paceRatio > 2.0);
  BOOST_TEST(*answers.back().startRatio > 2.0);
}

BOOST_AUTO_TEST_CASE(candidateFetchesCacheFromTheStableVersionsServer) {
  for (int number = 0; number < 4; ++number) {
    addServer("old" + std::to_string(number), kOld);
  }
  budget = [] { return false; };
  BOOST_TEST(call("/model/x") == 200U);
  const auto home = std::find_if(servers.begin(), servers.end(),
                                 [](const auto& server) { return !server->requests.empty(); });
  BOOST_REQUIRE((home != servers.end()));
  const std::string keptAt = (*home)->endpoint.toString();
  VersionServer& fresh = addServer("new", kNew);
  budget = [] { return true; };
  BOOST_TEST(call("/model/x") == 200U);
  rule.use = CandidateUse::kEverything;
  BOOST_TEST(call("/model/x") == 200U);
  BOOST_REQUIRE(fresh.requests.size() == 2U);
  for (const http::Request& request : fresh.requests) {
    BOOST_TEST(request.headers.get(TestServerProtocol::kFetchFrom) == keptAt);
  }
}

BOOST_AUTO_TEST_CASE(aFullCanaryLeavesItsRequestsToTheStableVersion) {
  VersionServer& old = addServer("old", kOld);
  VersionServer& fresh = addServer("new", kNew);
  pool.addLoad(BackendId("new-model"), {1'000'000, 1'000'000}, monotonicNow());
  BOOST_TEST(call("/model/x") == 200U);
  BOOST_TEST(asked == 1U);
  BOOST_TEST(old.requests.size() == 1U);
  BOOST_TEST(fresh.requests.empty());
}

BOOST_AUTO_TEST_CASE(theCanarysQueueDoesNotShortenTheStableVersionsBurst) {
  settings.learnPrefillRates = false;
  settings.admission.burst = Milliseconds(1);
  VersionServer& old = addServer("old", kOld);
  addServer("new", kNew);
  pool.addLoad(BackendId("new-model"), {1'000'000, 1'000'000}, monotonicNow());
  // At 40 tokens per millisecond, 10,000 tokens take 250 ms, below the steady limit of 320 ms.
  pool.addLoad(BackendId("old-model"), {10'000, 10'000}, monotonicNow());
  BOOST_TEST(call("/model/x") == 200U);
  budget = [] { return false; };
  asio::steady_timer timer(context, Milliseconds(5));
  timer.wait();
  // 600 ms in total: a burst that has just begun.
  pool.addLoad(BackendId("old-model"), {14'000, 14'000}, monotonicNow());
  BOOST_TEST(call("/model/x") == 200U);
  BOOST_TEST(old.requests.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
