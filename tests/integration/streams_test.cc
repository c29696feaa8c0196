#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "support/stream_client.h"

namespace calicodrift::testing {
namespace {

const std::string kPrompt = "a prompt for one stream";
constexpr int kTokens = 60;
constexpr std::size_t kMidway = 10;
const std::string kResumes = "calicodrift_resumes_total";

/// Two engines, each behind a proxy, and one router.
struct TwoEngines {
  explicit TwoEngines(std::vector<std::string> routerFlags = {},
                      std::vector<std::string> firstEngineFlags = {}) {
    fleet.submitBundle(Fleet::bundleText(1));
    engines.push_back(fleet.startEngine("e1", std::move(firstEngineFlags), false));
    engines.push_back(fleet.startEngine("e2", {}, false));
    for (std::size_t index = 0; index < engines.size(); ++index) {
      proxies.push_back(std::make_unique<Proxy>(engines[index]->endpoint("engine")));
      fleet.listMachine("e" + std::to_string(index + 1), "engine", "m", proxies[index]->endpoint());
    }
    router = fleet.startRouter("r1", std::move(routerFlags));
    endpoint = router->endpoint("router");
    BOOST_REQUIRE(waitUntilServing(endpoint));
    BOOST_REQUIRE(eventually([this] { return bothServe(); }));
  }
  bool bothServe() const {
    const std::string first = streamOne(endpoint, streamRequest("x", 4)).backend;
    const std::string second = streamOne(endpoint, streamRequest("x", 4)).backend;
    return !first.empty() && !second.empty() && first != second;
  }
  std::size_t indexOf(const StreamAnswer& answer) const { return answer.backend == "e1" ? 0 : 1; }

  Fleet fleet;
  std::vector<std::unique_ptr<Process>> engines;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::unique_ptr<Process> router;
  Endpoint endpoint;
};

struct QuickTokenTimeout : TwoEngines {
  QuickTokenTimeout() : TwoEngines({"--engine-token-timeout-ms", "500"}) {}
};

BOOST_FIXTURE_TEST_CASE(killedEngineIsReplacedWithinTheStream, TwoEngines) {
  const StreamAnswer answer = streamOne(
      endpoint, streamRequest(kPrompt, kTokens),
      atToken(kMidway, [this](const StreamAnswer& now) { engines[indexOf(now)]->killAtOnce(); }));
  BOOST_TEST(answer.isWhole(kPrompt, 0, kTokens));
  BOOST_TEST(metric(endpoint, kResumes) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(cutConnectionsAreResumedAsOftenAsNeeded, TwoEngines) {
  for (const auto& proxy : proxies) {
    proxy->setFaults(R"({"cut_after_bytes":3000})");
  }
  const StreamAnswer answer = streamOne(endpoint, streamRequest(kPrompt, kTokens));
  BOOST_TEST(answer.isWhole(kPrompt, 0, kTokens));
  BOOST_TEST_MESSAGE("resumes of one stream: " << metric(endpoint, kResumes));
  BOOST_TEST(metric(endpoint, kResumes) > 3.0);
}

BOOST_FIXTURE_TEST_CASE(frozenEngineIsReplacedAfterTheTokenTimeout, QuickTokenTimeout) {
  const StreamAnswer answer = streamOne(endpoint, streamRequest(kPrompt, kTokens),
                                        atToken(kMidway, [this](const StreamAnswer& now) {
                                          engines[indexOf(now)]->signal(SIGSTOP);
                                        }));
  BOOST_TEST(answer.isWhole(kPrompt, 0, kTokens));
  BOOST_TEST(metric(endpoint, kResumes) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(halfOpenConnectionIsReplacedAfterTheTokenTimeout, QuickTokenTimeout) {
  const auto swallow = [this](const StreamAnswer& now) {
    proxies[indexOf(now)]->setFaults(R"({"swallow_answers":true})");
  };
  const StreamAnswer answer =
      streamOne(endpoint, streamRequest(kPrompt, kTokens), atToken(kMidway, swallow));
  BOOST_TEST(answer.isWhole(kPrompt, 0, kTokens));
  BOOST_TEST(metric(endpoint, kResumes) == 1.0);
}

/// Without proxies, so that a killed engine refuses connections: a truthful "not run" of the last
/// attempt, which must not become the statement of the whole request.
struct DirectEngines {
  DirectEngines() {
    fleet.submitBundle(Fleet::bundleText(1));
    engines.push_back(fleet.startEngine("e1"));
    engines.push_back(fleet.startEngine("e2"));
    router = fleet.startRouter("r1");
    endpoint = router->endpoint("router");
    BOOST_REQUIRE(waitUntilServing(endpoint));
  }
  void killAll() const {
    for (const auto& engine : engines) {
      engine->killAtOnce();
    }
  }
  bool anyRuns() const {
    return std::any_of(engines.begin(), engines.end(), [](const auto& engine) {
      return numberFrom(engine->endpoint("engine"), "/health", "running") > 0;
    });
  }

  Fleet fleet;
  std::vector<std::unique_ptr<Process>> engines;
  std::unique_ptr<Process> router;
  Endpoint endpoint;
};

BOOST_FIXTURE_TEST_CASE(lossOfAllEnginesEndsInAnErrorEventThatDoesNotDenyTheRun, DirectEngines) {
  MonotonicTime killed;
  const auto kill = [&](const StreamAnswer&) {
    killed = monotonicNow();
    killAll();
  };
  const StreamAnswer answer =
      streamOne(endpoint, streamRequest(kPrompt, kTokens), atToken(kMidway, kill));
  const double waited = toMilliseconds(monotonicNow() - killed);
  BOOST_TEST_MESSAGE("error event after " << waited << " ms: " << answer.error);
  BOOST_TEST(!answer.done);
  BOOST_TEST(answer.error.find(R"("type":"stream_broken")") != std::string::npos);
  BOOST_TEST(answer.error.find(R"("run":"maybe")") != std::string::npos);
  BOOST_TEST(waited < 5000);
}

BOOST_FIXTURE_TEST_CASE(lossOfAllEnginesFailsAnUnstreamedAnswerWithoutDenyingTheRun,
                        DirectEngines) {
  std::thread killer([this] {
    eventually([this] { return anyRuns(); });
    killAll();
  });
  const auto answer = exchange(
      endpoint, authorized("POST", "/v1/completions", completionBody(kPrompt, 2000, false)));
  killer.join();
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer.value().status >= 500U);
  BOOST_TEST_MESSAGE(answer.value().body);
  BOOST_TEST(answer.value().headers.get(http::kRunHeader) == "maybe");
}

struct LosesLastTokens : TwoEngines {
  LosesLastTokens() : TwoEngines({}, {"--lose-last-tokens", "2"}) {}
};

BOOST_FIXTURE_TEST_CASE(shortStreamWithAClosingEventIsNoticedAndCompleted, LosesLastTokens) {
  // The policy takes turns: each kind of answer meets both engines.
  std::size_t wholeStreams = 0;
  std::size_t wholeBodies = 0;
  constexpr std::size_t kRounds = 4;
  for (std::size_t round = 0; round < kRounds; ++round) {
    wholeStreams += streamOne(endpoint, streamRequest(kPrompt, 8)).isWhole(kPrompt, 0, 8) ? 1 : 0;
  }
  for (std::size_t round = 0; round < kRounds; ++round) {
    const auto answer = exchange(
        endpoint, authorized("POST", "/v1/completions", completionBody(kPrompt, 8, false)));
    const auto content = openai::parseCompletionBody(answer.value().body);
    wholeBodies += content && content.value().text == sim::answerText(kPrompt, 0, 8) ? 1 : 0;
  }
  BOOST_TEST(wholeStreams == kRounds);
  BOOST_TEST(wholeBodies == kRounds);
  BOOST_TEST(metric(endpoint, kResumes) > 0.0);
}

BOOST_FIXTURE_TEST_CASE(streamGoesOnThroughAnotherRouterAfterTheFirstOneDied, TwoEngines) {
  const auto second = fleet.startRouter("r2");
  BOOST_REQUIRE(waitUntilServing(second->endpoint("router")));
  StreamAnswer before =
      streamOne(endpoint, streamRequest(kPrompt, kTokens),
                atToken(kMidway, [this](const StreamAnswer&) { router->killAtOnce(); }));
  BOOST_TEST(!before.done);
  BOOST_REQUIRE(!before.ids.empty());
  http::Request rest = streamRequest(kPrompt, kTokens);
  rest.headers.set(http::kLastEventIdHeader, before.ids.back());
  const StreamAnswer after = streamOne(second->endpoint("router"), rest);
  BOOST_TEST(after.isWhole(kPrompt, before.ids.size(), kTokens));
  BOOST_TEST(before.text + after.text == sim::answerText(kPrompt, 0, kTokens));
}

BOOST_FIXTURE_TEST_CASE(lastEventIdsThatNoStreamSentAreRefused, TwoEngines) {
  for (const std::string id : {"x", "x/", "x/-1", "x/100000", "x/9223372036854775807", "x/y/3",
                               "x/w/3", "x/w0/3", "x/w1/y/3"}) {
    http::Request request = streamRequest(kPrompt, kTokens);
    request.headers.set(http::kLastEventIdHeader, id);
    BOOST_TEST(streamOne(endpoint, request).status == 400U, "Last-Event-ID " << id);
  }
}

/// One engine behind a proxy; probes only at the start, so that faults strike requests alone.
struct OneProxiedEngine {
  OneProxiedEngine() {
    fleet.submitBundle(Fleet::bundleText(1));
    engine = fleet.startEngine("e1", {}, false);
    proxy = std::make_unique<Proxy>(engine->endpoint("engine"));
    fleet.listMachine("e1", "engine", "m", proxy->endpoint());
    router = fleet.startRouter("r1", {"--probe-interval-ms", "60000", "--max-attempts", "10"});
    endpoint = router->endpoint("router");
    BOOST_REQUIRE(waitUntilServing(endpoint));
  }
  /// So many callers with different prompts at once; how many got exactly their own answer.
  std::size_t wholeAnswers(std::size_t callers, const std::string& requestId = "",
                           const OnEvent& onEvent = nullptr) const {
    std::vector<http::Request> requests;
    for (std::size_t caller = 0; caller < callers; ++caller) {
      requests.push_back(streamRequest("caller " + std::to_string(caller), kTokens));
      if (!requestId.empty()) {
        requests.back().headers.set(http::kRequestIdHeader, requestId);
      }
    }
    const std::vector<StreamAnswer> answers = streamAll(endpoint, requests, onEvent);
    std::size_t whole = 0;
    for (std::size_t caller = 0; caller < callers; ++caller) {
      whole += answers[caller].isWhole("caller " + std::to_string(caller), 0, kTokens) ? 1 : 0;
    }
    return whole;
  }

  Fleet fleet;
  std::unique_ptr<Process> engine;
  std::unique_ptr<Proxy> proxy;
  std::unique_ptr<Process> router;
  Endpoint endpoint;
};

BOOST_FIXTURE_TEST_CASE(crossedAnswersReachNobodyElseThoughRequestIdsAreEqual, OneProxiedEngine) {
  proxy->setFaults(R"({"cross_answers":3})");
  constexpr std::size_t kCallers = 8;
  BOOST_TEST(wholeAnswers(kCallers, "same-id") == kCallers);
  BOOST_TEST_MESSAGE(proxy->stats());
  BOOST_TEST(proxy->stats().find(R"("crossed":3)") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(delayedAndDoubledAnswersLeaveEveryAnswerWhole, OneProxiedEngine) {
  // Tokens are doubled, as the streams are under way by then.
  const auto doubleTokens = [this](const StreamAnswer&) {
    proxy->setFaults(R"({"delay_ms":3,"duplicate_answers":5})");
  };
  proxy->setFaults(R"({"delay_ms":3})");
  constexpr std::size_t kCallers = 64;
  BOOST_TEST(wholeAnswers(kCallers, "", atToken(kMidway, doubleTokens)) == kCallers);
  BOOST_TEST_MESSAGE(proxy->stats());
  BOOST_TEST(proxy->stats().find(R"("duplicated":5)") != std::string::npos);
}

}  // namespace
}  // namespace calicodrift::testing
