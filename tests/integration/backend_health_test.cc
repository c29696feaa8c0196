#include <boost/test/unit_test.hpp>

#include "support/stream_client.h"

namespace calicodrift::testing {
namespace {

constexpr int kLongTokens = 2000;
/// What the brief allows from the first sign of leaving.
constexpr Milliseconds kLeaveBound{3000};

/// Two engines without proxies and one router; `lag` is the machine list's.
struct LeavingEngine {
  explicit LeavingEngine(const std::string& lag = "200") : fleet({"--machine-list-lag-ms", lag}) {
    fleet.submitBundle(Fleet::bundleText(1));
    for (const char* id : {"e1", "e2"}) {
      engines.push_back(fleet.startEngine(id));
    }
    router = fleet.startRouter("r1");
    endpoint = router->endpoint("router");
    BOOST_REQUIRE(eventually([this] { return accepted(0) > 0 && accepted(1) > 0; }));
  }
  std::int64_t accepted(std::size_t index) const {
    streamOne(endpoint, streamRequest("x", 1));
    return numberFrom(engines[index]->endpoint("engine"), "/health", "accepted");
  }
  /// Starts a stream that outlives the engine's leaving; the engine's index comes back at once.
  StreamAnswer streamWhileLeaving(const std::function<void(std::size_t)>& leave) {
    return streamOne(endpoint, streamRequest("long", kLongTokens),
                     atToken(3, [&](const StreamAnswer& now) {
                       leave(now.backend == "e1" ? 0 : 1);
                       leftAt = monotonicNow();
                     }));
  }
  /// Sends work without pause until the bound and a second more has passed since the leaving.
  /// @return milliseconds from the leaving to the last new work that the engine took.
  double lastNewWorkAfterLeave(std::size_t index) const {
    double last = 0;
    std::int64_t before = accepted(index);
    while (monotonicNow() - leftAt < kLeaveBound + std::chrono::seconds(1)) {
      const std::int64_t now = accepted(index);
      if (now != before) {
        last = toMilliseconds(monotonicNow() - leftAt);
      }
      before = now;
    }
    return last;
  }

  Fleet fleet;
  std::vector<std::unique_ptr<Process>> engines;
  std::unique_ptr<Process> router;
  Endpoint endpoint;
  MonotonicTime leftAt;
};

void checkLeave(LeavingEngine& fleet, const std::function<void(std::size_t)>& leave) {
  std::size_t left = 0;
  std::atomic<bool> hasLeft = false;
  StreamAnswer running;
  std::thread caller([&] {
    running = fleet.streamWhileLeaving([&](std::size_t index) {
      leave(index);
      left = index;
      hasLeft = true;
    });
  });
  BOOST_TEST(eventually([&] { return hasLeft.load(); }));
  const double last = fleet.lastNewWorkAfterLeave(left);
  caller.join();
  BOOST_TEST_MESSAGE("last new work " << last << " ms after the engine said that it leaves");
  BOOST_TEST(last < toMilliseconds(kLeaveBound));
  BOOST_TEST(running.isWhole("long", 0, kLongTokens));
  BOOST_TEST(metric(fleet.endpoint, "calicodrift_resumes_total") == 0);
}

BOOST_FIXTURE_TEST_CASE(terminatingInTheListEndsNewWorkAndNoStream, LeavingEngine) {
  checkLeave(*this, [this](std::size_t index) {
    fleet.listMachine("e" + std::to_string(index + 1), "engine", "m",
                      engines[index]->endpoint("engine"), true);
  });
}

BOOST_FIXTURE_TEST_CASE(engineThatSaysItDrainsGetsNoNewWorkThoughTheListIsSilent, LeavingEngine) {
  checkLeave(*this, [this](std::size_t index) {
    post(engines[index]->endpoint("engine"), "/admin/drain", "").value();
  });
}

BOOST_FIXTURE_TEST_CASE(crashedEngineCostsOneConnectFailureAndNoAnswer, LeavingEngine) {
  engines[0]->killAtOnce();
  std::size_t whole = 0;
  constexpr std::size_t kRequests = 40;
  for (std::size_t request = 0; request < kRequests; ++request) {
    whole += streamOne(endpoint, streamRequest("x", 2)).isWhole("x", 0, 2) ? 1 : 0;
  }
  const double retries = metric(endpoint, R"(calicodrift_retries_total{cause="connect_failed"})");
  BOOST_TEST_MESSAGE("retries after a connect failure: " << retries);
  BOOST_TEST(whole == kRequests);
  BOOST_TEST(retries <= 1.0);
}

/// An engine that answers probes but breaks every answer to a request.
BOOST_AUTO_TEST_CASE(engineThatBreaksItsAnswersIsNotHammered) {
  Fleet fleet;
  fleet.submitBundle(Fleet::bundleText(1));
  const auto bad = fleet.startEngine("e1", {}, false);
  const auto good = fleet.startEngine("e2");
  const Proxy proxy(bad->endpoint("engine"));
  fleet.listMachine("e1", "engine", "m", proxy.endpoint());
  const auto router = fleet.startRouter("r1");
  const Endpoint endpoint = router->endpoint("router");
  const auto served = [&](const Process& engine) {
    streamOne(endpoint, streamRequest("x", 1));
    return numberFrom(engine.endpoint("engine"), "/health", "accepted");
  };
  BOOST_REQUIRE(eventually([&] { return served(*bad) > 0 && served(*good) > 0; }));
  // Enough for a probe's answer on a new connection, not for a stream's.
  proxy.setFaults(R"({"cut_after_bytes":600})");
  const std::int64_t before = numberFrom(bad->endpoint("engine"), "/health", "accepted");
  std::size_t whole = 0;
  constexpr std::size_t kRequests = 100;
  for (std::size_t request = 0; request < kRequests; ++request) {
    whole += streamOne(endpoint, streamRequest("x", 10)).isWhole("x", 0, 10) ? 1 : 0;
  }
  const std::int64_t sent = numberFrom(bad->endpoint("engine"), "/health", "accepted") - before;
  BOOST_TEST_MESSAGE("of " << kRequests << " requests, " << sent
                           << " were tried on the bad engine");
  BOOST_TEST(whole == kRequests);
  BOOST_TEST(sent <= 15);
}

/// Restarts an engine on the address that it had.
std::unique_ptr<Process> restarted(const Fleet& fleet, std::unique_ptr<Process> engine,
                                   std::vector<std::string> flags = {}) {
  const std::string address = engine->endpoint("engine").toString();
  engine->killAtOnce();
  flags.insert(flags.end(), {"--listen", address});
  return fleet.startEngine("e1", flags, false);
}

/// A bundle with two tenants, "t" of the test key and "u" of "other-key".
std::string twoTenants(std::uint64_t version, std::uint64_t weights) {
  std::string text = Fleet::bundleText(version, "RoundRobin", weights);
  const std::string end = "]}],\"models\"";
  const std::size_t place = text.find(end);
  return text.insert(place + 2,
                     R"(,{"id":"u","api_key_sha256":[")" + sha256Hex("other-key") + "\"]}");
}

struct OneEngineUnprobed {
  OneEngineUnprobed() {
    fleet.submitBundle(twoTenants(1, 1));
    engine = fleet.startEngine("e1");
    // One probe at the start: only what the engine answers can tell of its restart.
    router = fleet.startRouter("r1", {"--probe-interval-ms", "60000"});
    endpoint = router->endpoint("router");
    BOOST_REQUIRE(waitUntilServing(endpoint));
  }
  Fleet fleet;
  std::unique_ptr<Process> engine;
  std::unique_ptr<Process> router;
  Endpoint endpoint;
  const std::string prompt = std::string(640, 'p');
};

BOOST_FIXTURE_TEST_CASE(restartedEngineRefusesTheOldIncarnationAndServesTheRetry,
                        OneEngineUnprobed) {
  const std::string fresh = "calicodrift_retries_total{cause=\"fenced\"}";
  BOOST_TEST(streamOne(endpoint, streamRequest(prompt, 4)).cachedTokens == 0U);
  BOOST_TEST(streamOne(endpoint, streamRequest(prompt, 4)).cachedTokens == 160U);
  engine = restarted(fleet, std::move(engine));
  const StreamAnswer answer = streamOne(endpoint, streamRequest(prompt, 4));
  BOOST_TEST(answer.isWhole(prompt, 0, 4));
  BOOST_TEST(answer.cachedTokens == 0U);
  BOOST_TEST(metric(endpoint, fresh) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(engineWithOtherWeightsRefusesTheDispatchAndServesUnderItsOwnNameOnly,
                        OneEngineUnprobed) {
  BOOST_TEST(streamOne(endpoint, streamRequest(prompt, 4)).cachedTokens == 0U);
  engine = restarted(fleet, std::move(engine), {"--weights-version", "2"});
  const http::Request request = streamRequest(prompt, 4);
  const auto answer = exchange(endpoint, request);
  BOOST_REQUIRE(answer.has_value());
  BOOST_REQUIRE_EQUAL(answer.value().status, 200U);
  BOOST_TEST(answer.value().headers.get(http::kWeightsHeader) == "2");
  BOOST_TEST(answer.value().body.find("\"cached_tokens\":0") != std::string::npos);
  // The dispatch that expected version 1 was refused before it began.
  BOOST_TEST(numberFrom(engine->endpoint("engine"), "/health", "accepted") == 1);
  const std::string newText = sim::answerToken(sim::answerPromptHash(prompt, WeightsVersion(2)), 0);
  BOOST_TEST(answer.value().body.find(newText) != std::string::npos);
  // Rest of an answer that version 1 began: from version 1, or not at all.
  http::Request rest = streamRequest(prompt, 4);
  rest.headers.set(http::kLastEventIdHeader, "begun-by-version-1/w1/1");
  const StreamAnswer refused = streamOne(endpoint, rest);
  BOOST_TEST(refused.status == 503U);
  BOOST_TEST(refused.error.find(R"("run":"no")") != std::string::npos);
  BOOST_TEST(numberFrom(engine->endpoint("engine"), "/health", "accepted") == 1);
}

BOOST_FIXTURE_TEST_CASE(anotherTenantsCacheIsNeverUsed, OneEngineUnprobed) {
  BOOST_TEST(streamOne(endpoint, streamRequest(prompt, 4)).cachedTokens == 0U);
  http::Request other = streamRequest(prompt, 4);
  other.headers.set("Authorization", "Bearer other-key");
  BOOST_TEST(streamOne(endpoint, other).cachedTokens == 0U);
  BOOST_TEST(streamOne(endpoint, other).cachedTokens == 160U);
}

}  // namespace
}  // namespace calicodrift::testing
