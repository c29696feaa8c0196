#include <boost/test/unit_test.hpp>
#include <thread>

#include "support/raw_connection.h"
#include "support/stream_client.h"

namespace calicodrift::testing {
namespace {

constexpr int kTokens = 300;

struct StoppingRouter {
  StoppingRouter() {
    fleet.submitBundle(Fleet::bundleText(1));
    engine = fleet.startEngine("e1", {"--max-batch", "64"});
    router = fleet.startRouter("r1");
    endpoint = router->endpoint("router");
    BOOST_REQUIRE(waitUntilServing(endpoint));
  }
  bool draining() const {
    const auto ready = get(endpoint, "/readyz");
    return ready && ready.value().status == 503U;
  }

  Fleet fleet;
  std::unique_ptr<Process> engine;
  std::unique_ptr<Process> router;
  Endpoint endpoint;
};

BOOST_FIXTURE_TEST_CASE(plannedStopUnderLoadCutsNoStreamAndRefusesNewWorkTruthfully,
                        StoppingRouter) {
  constexpr std::size_t kStreams = 50;
  std::vector<http::Request> requests;
  for (std::size_t index = 0; index < kStreams; ++index) {
    requests.push_back(streamRequest("stream " + std::to_string(index), kTokens));
  }
  RawConnection idle(endpoint);
  idle.send("GET /healthz HTTP/1.1\r\n\r\n");
  BOOST_TEST(idle.readUntil("ok\n").find("Connection: close") == std::string::npos);
  StreamAnswer refused;
  std::string idleAnswer;
  const auto stop = [&](const StreamAnswer&) {
    router->signal(SIGTERM);
    BOOST_TEST(eventually([this] { return draining(); }));
    refused = streamOne(endpoint, streamRequest("too late", 1));
    idle.send("GET /healthz HTTP/1.1\r\n\r\n");
    idleAnswer = idle.readAll();
  };
  const std::vector<StreamAnswer> answers = streamAll(endpoint, requests, atToken(5, stop));
  std::size_t whole = 0;
  for (std::size_t index = 0; index < kStreams; ++index) {
    whole += answers[index].isWhole("stream " + std::to_string(index), 0, kTokens) ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("whole streams over a planned stop: " << whole << " of " << kStreams);
  BOOST_TEST(whole == kStreams);
  BOOST_TEST(refused.status == 503U);
  BOOST_TEST(refused.error.find(R"("type":"draining")") != std::string::npos);
  BOOST_TEST(refused.error.find(R"("run":"no")") != std::string::npos);
  BOOST_TEST(idleAnswer.find("Connection: close") != std::string::npos);
  BOOST_TEST(router->wait() == 0);
}

/// A request whose bytes were still coming when the stop began is answered, not cut.
BOOST_FIXTURE_TEST_CASE(plannedStopAnswersARequestThatWasStillArriving, StoppingRouter) {
  const std::string body = completionBody("x", 2, false);
  RawConnection caller(endpoint);
  caller.send("POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer " + kTestApiKey +
              "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n{");
  BOOST_REQUIRE(waitUntilServing(endpoint));
  router->signal(SIGTERM);
  BOOST_TEST(eventually([this] { return draining(); }));
  // Longer than a stop without any request takes.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  BOOST_TEST(router->running());
  caller.send(body.substr(1));
  const std::string answer = caller.readAll();
  BOOST_TEST(answer.find("X-Error-Kind: draining") != std::string::npos);
  BOOST_TEST(answer.find("X-Run: no") != std::string::npos);
  BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
  BOOST_TEST(router->wait() == 0);
}

/// All routers are killed under load and restarted at once; the store and the list are up.
BOOST_AUTO_TEST_CASE(herdOfRestartedRoutersServesAtOnceWithoutAStampede) {
  constexpr std::size_t kRouters = 4;
  constexpr double kServeBoundMs = 3000;
  Fleet fleet;
  fleet.submitBundle(Fleet::bundleText(1));
  const auto engine = fleet.startEngine("e1", {"--max-batch", "64"});
  // Default intervals, as in production.
  const std::vector<std::string> flags{"--probe-interval-ms",        "250",
                                       "--machine-list-interval-ms", "500",
                                       "--store-poll-interval-ms",   "1000"};
  const auto startAll = [&](std::vector<std::unique_ptr<Process>>& routers) {
    for (std::size_t index = 0; index < kRouters; ++index) {
      routers.push_back(fleet.startRouter("r" + std::to_string(index), flags));
    }
  };
  std::vector<std::unique_ptr<Process>> routers;
  std::vector<std::thread> load;
  startAll(routers);
  for (const auto& router : routers) {
    BOOST_REQUIRE(waitUntilServing(router->endpoint("router")));
    for (int stream = 0; stream < 4; ++stream) {
      load.emplace_back([endpoint = router->endpoint("router")] {
        streamOne(endpoint, streamRequest("load", 5000));
      });
    }
  }
  BOOST_REQUIRE(eventually(
      [&] { return numberFrom(engine->endpoint("engine"), "/health", "running") >= 16; }));
  for (const auto& router : routers) {
    router->killAtOnce();
  }
  routers.clear();
  const MonotonicTime started = monotonicNow();
  startAll(routers);
  std::size_t refusedTruthfully = 0;
  std::size_t refused = 0;
  double slowest = 0;
  for (const auto& router : routers) {
    BOOST_TEST(eventually([&] {
      const StreamAnswer answer = streamOne(router->endpoint("router"), streamRequest("x", 1));
      if (answer.status != 200U) {
        ++refused;
        refusedTruthfully += answer.error.find(R"("run":"no")") != std::string::npos ? 1 : 0;
      }
      return answer.isWhole("x", 0, 1);
    }));
    slowest = std::max(slowest, toMilliseconds(monotonicNow() - started));
  }
  for (std::thread& caller : load) {
    caller.join();
  }
  const std::int64_t probes = numberFrom(engine->endpoint("engine"), "/health", "probes");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const std::int64_t later = numberFrom(engine->endpoint("engine"), "/health", "probes");
  const double probesPerSecond = static_cast<double>(later - probes) / 2;
  BOOST_TEST_MESSAGE(
      "first good answer of the slowest of the routers, started one after the other, after "
      << slowest << " ms; " << refused << " refused before, " << refusedTruthfully
      << " as not run; then " << probesPerSecond << " probes/s for " << kRouters << " routers");
  BOOST_TEST(slowest < kServeBoundMs);
  BOOST_TEST(refused == refusedTruthfully);
  BOOST_TEST(probesPerSecond <= 4.0 * kRouters * 1.5);
}

}  // namespace
}  // namespace calicodrift::testing
