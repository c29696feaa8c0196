#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>

#include "claims/claim_key.h"
#include "support/fleet.h"

namespace calicodrift::testing {
namespace {

constexpr int kClockBoundMs = 100;

std::string newKey() {
  static std::mt19937_64 random{std::random_device{}()};
  const auto now = std::chrono::duration_cast<Milliseconds>(wallNow().time_since_epoch());
  return claims::makeUuidV7(static_cast<std::uint64_t>(now.count()), random(), random());
}

/// Routers that keep claims together, in front of one service that runs whatever it is sent.
struct ClaimFleet {
  explicit ClaimFleet(std::size_t count, const std::string& workTimeMs = "2") {
    fleet.submitBundle(Fleet::bundleText(1));
    service = fleet.startService("s1", {"--work-time-ms", workTimeMs});
    routers.resize(count);
    for (std::size_t index = 0; index < count; ++index) {
      start(index);
    }
    waitUntilClaiming();
  }

  void start(std::size_t index) {
    std::vector<std::string> flags{"--zone", "z" + std::to_string(index)};
    const std::vector<std::pair<std::string, int>> times{
        {"--claim-view-delay-ms", 300},         {"--claim-clock-bound-ms", kClockBoundMs},
        {"--member-probe-interval-ms", 100},    {"--member-probe-timeout-ms", 40},
        {"--member-suspicion-timeout-ms", 500}, {"--member-join-retry-ms", 50}};
    for (const auto& [flag, milliseconds] : times) {
      flags.insert(flags.end(), {flag, std::to_string(milliseconds)});
    }
    std::string seeds;
    for (const auto& router : routers) {
      if (router && router->running()) {
        seeds += (seeds.empty() ? "" : ",") + router->endpoint("peer").toString();
      }
    }
    if (!seeds.empty()) {
      flags.insert(flags.end(), {"--seeds", seeds});
    }
    routers[index] = fleet.startRouter("r" + std::to_string(index), flags);
  }
  void killAll() {
    for (const auto& router : routers) {
      router->killAtOnce();
    }
  }

  const Endpoint& at(std::size_t index) const { return routers[index]->endpoint("router"); }
  http::Response download(std::size_t index, const std::string& key) const {
    http::Request request = authorized("POST", "/registry/downloads", "{}");
    if (!key.empty()) {
      request.headers.set(http::kIdempotencyKeyHeader, key);
    }
    const auto answer = exchange(at(index), request);
    return answer ? answer.value() : http::Response{0, {}, answer.error().detail};
  }
  std::int64_t runsOf(const std::string& key) const {
    const auto stats = boost::json::parse(get(service->endpoint("service"), "/stats").value().body);
    const auto* runs = stats.at("runs").as_object().if_contains(key);
    return runs == nullptr ? 0 : runs->to_number<std::int64_t>();
  }
  /// All routers are in one established view and a new key is granted through each.
  void waitUntilClaiming() const {
    const std::string members =
        "\ncalicodrift_claim_members " + std::to_string(routers.size()) + "\n";
    for (std::size_t index = 0; index < routers.size(); ++index) {
      BOOST_REQUIRE(eventually([&] {
        const std::string page = get(at(index), "/metrics").value().body;
        return page.find(members) != std::string::npos &&
               page.find("\ncalicodrift_claim_established 1\n") != std::string::npos;
      }));
      BOOST_REQUIRE(eventually([&] { return download(index, newKey()).status == 200U; }));
    }
  }

  Fleet fleet;
  std::unique_ptr<Process> service;
  std::vector<std::unique_ptr<Process>> routers;
};

std::string runOf(const http::Response& response) {
  return response.headers.get(http::kRunHeader);
}

std::string kindOf(const http::Response& response) {
  return response.headers.get(http::kErrorKindHeader);
}

BOOST_AUTO_TEST_CASE(aKeySentToTwoRoutersAtOnceRunsOnce) {
  const ClaimFleet claims(2, "20");
  constexpr int kRounds = 20;
  std::int64_t runs = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string key = newKey();
    http::Response first;
    std::thread other([&] { first = claims.download(0, key); });
    http::Response second = claims.download(1, key);
    other.join();
    runs += claims.runsOf(key);
    BOOST_TEST(claims.runsOf(key) == 1);
    BOOST_TEST((first.status == 200U || second.status == 200U));
    for (const http::Response& answer : {first, second}) {
      BOOST_TEST((answer.status == 200U || kindOf(answer) == "duplicate_request"));
      BOOST_TEST(runOf(answer) == (answer.status == 200U ? "yes" : "maybe"));
    }
  }
  BOOST_TEST_MESSAGE("runs of " << kRounds << " keys: " << runs);
}

BOOST_AUTO_TEST_CASE(aRetryAfterTheRoutersDeathDoesNotRunAgain) {
  for (const std::size_t count : {2U, 3U}) {
    ClaimFleet claims(count, "1000");
    const std::string key = newKey();
    std::thread caller([&] { claims.download(0, key); });
    BOOST_TEST(eventually([&] { return claims.runsOf(key) == 1; }));
    claims.routers[0]->killAtOnce();
    caller.join();
    for (int retry = 0; retry < 5; ++retry) {
      const http::Response answer = claims.download(1, key);
      BOOST_TEST(answer.status != 200U);
      BOOST_TEST(runOf(answer) == "maybe");
    }
    BOOST_TEST(claims.runsOf(key) == 1);
  }
}

BOOST_AUTO_TEST_CASE(aRetryAfterAllRoutersRestartedDoesNotRunAgain) {
  ClaimFleet claims(3);
  const std::string key = newKey();
  BOOST_TEST(claims.download(0, key).status == 200U);
  claims.killAll();
  for (std::size_t index = 0; index < claims.routers.size(); ++index) {
    claims.start(index);
    if (index == 0) {
      // Before anybody has voted again.
      BOOST_TEST(eventually([&] { return !kindOf(claims.download(0, key)).empty(); }));
    }
  }
  claims.waitUntilClaiming();
  for (std::size_t index = 0; index < claims.routers.size(); ++index) {
    const http::Response answer = claims.download(index, key);
    BOOST_TEST(kindOf(answer) == "claim_unavailable");
    BOOST_TEST(runOf(answer) == "maybe");
  }
  BOOST_TEST(claims.runsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(claimsGoOnWhileTheStoreIsDown) {
  ClaimFleet claims(3);
  post(claims.fleet.store(), "/faults", R"({"down":true})").value();
  for (int round = 0; round < 10; ++round) {
    const std::string key = newKey();
    BOOST_TEST(claims.download(0, key).status == 200U);
    const http::Response replay = claims.download(1, key);
    BOOST_TEST(replay.status == 200U);
    BOOST_TEST(runOf(replay) == "yes");
    BOOST_TEST(replay.headers.get(http::kReplayHeader) == "true");
    BOOST_TEST(claims.runsOf(key) == 1);
  }
  // A replica that restarts can't read the view, but the others vouch for it; so it can take the
  // place of one that is lost.
  claims.routers[2]->killAtOnce();
  claims.start(2);
  BOOST_REQUIRE(eventually([&] {
    const std::string page = get(claims.at(2), "/metrics").value().body;
    return page.find("\ncalicodrift_claim_voting_groups 64\n") != std::string::npos;
  }));
  claims.routers[1]->killAtOnce();
  BOOST_TEST(eventually([&] { return claims.download(0, newKey()).status == 200U; }));
}

BOOST_AUTO_TEST_CASE(aReplicaThatWasPausedDoesNotHelpASecondRun) {
  ClaimFleet claims(3);
  claims.routers[2]->signal(SIGSTOP);
  std::string key;
  // Both others must vote now; one of them may have joined so lately that it still abstains.
  BOOST_REQUIRE(eventually([&] {
    key = newKey();
    return claims.download(0, key).status == 200U;
  }));
  for (const std::size_t index : {0U, 1U}) {
    claims.routers[index]->killAtOnce();
  }
  for (const std::size_t index : {0U, 1U}) {
    claims.start(index);
  }
  claims.routers[2]->signal(SIGCONT);
  claims.waitUntilClaiming();
  for (std::size_t index = 0; index < claims.routers.size(); ++index) {
    // The paused replica reads what was sent to it meanwhile, so it may know the outcome.
    const http::Response answer = claims.download(index, key);
    const bool replay = answer.headers.get(http::kReplayHeader) == "true";
    BOOST_TEST((replay || answer.status != 200U));
    BOOST_TEST(runOf(answer) == (replay ? "yes" : "maybe"));
  }
  BOOST_TEST(claims.runsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(anAnswerLostAfterItsEffectIsOutcomeUnknown) {
  ClaimFleet claims(2);
  const Proxy proxy(claims.service->endpoint("service"));
  claims.fleet.listMachine("s1", "service", "registry", proxy.endpoint());
  const auto throughProxy = [&] {
    return proxy.stats().find(R"("accepted":0)") == std::string::npos;
  };
  BOOST_REQUIRE(eventually([&] {
    for (std::size_t index = 0; index < 2; ++index) {
      claims.download(index, newKey());
    }
    return throughProxy();
  }));
  BOOST_REQUIRE(eventually([&] { return claims.download(0, newKey()).status == 200U; }));
  // Probes go through the proxy as well: drop until the request's own answer was among them.
  std::string key;
  http::Response answer;
  BOOST_REQUIRE(eventually([&] {
    proxy.setFaults(R"({"drop_answers":1000000})");
    key = newKey();
    answer = claims.download(0, key);
    proxy.setFaults("{}");
    return claims.runsOf(key) == 1;
  }));
  BOOST_TEST(kindOf(answer) == "outcome_unknown");
  BOOST_TEST(runOf(answer) == "maybe");
  const http::Response retry = claims.download(1, key);
  BOOST_TEST(kindOf(retry) == "duplicate_request");
  BOOST_TEST(runOf(retry) == "maybe");
  BOOST_TEST(claims.runsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(aKeyIsFreeAgainWhenTheRequestProvablyDidNotRun) {
  ClaimFleet claims(2);
  claims.service->killAtOnce();
  const std::string key = newKey();
  const http::Response refused = claims.download(0, key);
  BOOST_TEST(refused.status != 200U);
  BOOST_TEST(runOf(refused) == "no");
  claims.service = claims.fleet.startService("s1");
  BOOST_TEST(eventually([&] { return claims.download(1, key).status == 200U; }));
  BOOST_TEST(claims.runsOf(key) == 1);
}

BOOST_AUTO_TEST_CASE(keysThatCannotBeClaimedAreRefusedAndARequestWithoutOneRuns) {
  const ClaimFleet claims(1);
  const http::Response unsorted = claims.download(0, "f47ac10b-58cc-4372-a567-0e02b2c3d479");
  BOOST_TEST(kindOf(unsorted) == "idempotency_key_invalid");
  BOOST_TEST(runOf(unsorted) == "no");
  const http::Response old = claims.download(0, claims::makeUuidV7(1'700'000'000'000, 1, 2));
  BOOST_TEST(kindOf(old) == "idempotency_key_too_old");
  BOOST_TEST(runOf(old) == "maybe");
  const http::Response keyless = claims.download(0, "");
  BOOST_TEST(keyless.status == 200U);
  BOOST_TEST(claims.runsOf("") == 0);
}

}  // namespace
}  // namespace calicodrift::testing
