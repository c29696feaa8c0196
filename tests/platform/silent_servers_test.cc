// Guards against answers that are lost to the silence of a sound server: a server's process may
// stand still for a second or so, at any moment of an answer or after it, and go on.

#include <algorithm>
#include <random>

#include "gateway_fleet.h"
#include "support/hanging_listener.h"
#include "unframed_fixture.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

constexpr Milliseconds kSilence{1000};
constexpr Milliseconds kSlack{400};

/// Moments of an answer whose head and body are two pieces each.
constexpr std::size_t kBeforeHead = 0;
constexpr std::size_t kBeforeBody = 1;
constexpr std::size_t kWithinBody = 2;
constexpr std::size_t kBeforeEnd = 3;
constexpr std::size_t kAfterEnd = 4;

struct Fixture : UnframedFixture {
  std::size_t runs() const {
    std::size_t sum = 0;
    for (const auto& server : unframed) {
      sum += server->runs();
    }
    return sum;
  }
  /// Whole answers without a length; each server stops at the given moment of it.
  void answerWithStops(std::size_t moment, Milliseconds time) {
    for (const auto& server : unframed) {
      server->setBody([moment, time](const http::Request& request) {
        ScriptedAnswer answer;
        answer.pieces =
            isStream(request.path())
                ? std::vector<std::string>{events(1, 2) + "id: 3\nda", "ta: 3\n\n" + events(4, 4)}
                : std::vector<std::string>{"a whole ", "answer"};
        answer.end = ConnectionEnd::kClose;
        answer.pieceGap = Milliseconds(2);
        answer.stopBefore = moment;
        answer.stopTime = time;
        return answer;
      });
    }
  }
  static ScriptedAnswer slowAnswer() {
    return {{"a whole ", "answer"}, ConnectionEnd::kClose, Milliseconds(100)};
  }
  static ScriptedAnswer refusal(const http::Request& request, const std::string& fields,
                                const std::string& length = "Content-Length: 0\r\n") {
    const std::string id = request.headers.get(platform::kRequestId);
    return {
        {ScriptedServer::head(length + fields + "X-Not-Executed: 1\r\nX-Request-Id: " + id + "\r\n",
                              "503 Service Unavailable")}};
  }
  awaitable<Result<http::Response>> ask(std::string path) {
    http::Request message = isStream(path) ? modelRequest(path) : request(path);
    co_return co_await call(std::move(message));
  }
};

BOOST_FIXTURE_TEST_SUITE(platform_silent_servers, Fixture)

/// Guards against whole answers that are taken for broken off because their server does not say at
/// once that it lives.
BOOST_AUTO_TEST_CASE(wholeAnswersOfServersThatFallSilentAfterTheEndAreDelivered) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    answerWithStops(kAfterEnd, kSilence);
    for (const std::string path :
         {"/safe/a", "/once/a", "/open/a", "/stream/a", "/stream-once/a"}) {
      const std::size_t before = runs();
      const MonotonicTime begin = monotonicNow();
      const Result<http::Response> answer = co_await ask(path);
      BOOST_TEST_INFO(path);
      BOOST_CHECK(answer && answer.value().status == 200U);
      BOOST_TEST_INFO(path);
      BOOST_TEST((answer && answer.value().body == wholeBody(path)));
      BOOST_TEST_INFO(path);
      BOOST_TEST(runs() - before == 1U);
      BOOST_TEST_INFO(path);
      BOOST_CHECK(monotonicNow() - begin < kSilence + kSlack);
    }
  });
}

/// Guards against the same at each other moment of an answer that may be run only once.
BOOST_AUTO_TEST_CASE(answersOfServersThatFallSilentWithinThemArriveWhole) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    for (const std::size_t moment : {kBeforeHead, kBeforeBody, kWithinBody, kBeforeEnd}) {
      answerWithStops(moment, kSilence);
      for (const std::string path : {"/once/a", "/stream/a", "/stream-once/a"}) {
        const std::size_t before = runs();
        const Result<http::Response> answer = co_await ask(path);
        BOOST_TEST_INFO(path << " at " << moment);
        BOOST_TEST((answer && answer.value().body == wholeBody(path)));
        BOOST_TEST_INFO(path << " at " << moment);
        BOOST_TEST(runs() - before == 1U);
      }
    }
  });
}

/// Guards against whole answers that are taken for broken off because their server has just asked
/// to receive nothing for a time.
BOOST_AUTO_TEST_CASE(wholeAnswersOfServersThatAskForRestBeforeTheEndAreDelivered) {
  UnframedServer& app = addUnframed("app-1", "app");
  run([&]() -> awaitable<void> {
    app.setBody([](const http::Request& request) {
      return request.path() == "/safe/a" ? refusal(request, "Retry-After: 0.7\r\n") : slowAnswer();
    });
    bool delivered = false;
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
          const Result<http::Response> answer = co_await ask("/once/a");
          delivered = answer && answer.value().body == "a whole answer";
        },
        boost::asio::detached);
    co_await pause(Milliseconds(50));
    const Result<http::Response> refused = co_await ask("/safe/a");
    BOOST_REQUIRE(refused);
    BOOST_TEST(refused.value().status == 503U);
    co_await pause(Milliseconds(1500));
    BOOST_TEST(delivered);
  });
}

/// Guards against the same because their server has no room for a new connection.
BOOST_AUTO_TEST_CASE(wholeAnswersOfServersThatResetNewConnectionsAreDelivered) {
  UnframedServer& app = addUnframed("app-1", "app");
  run([&]() -> awaitable<void> {
    app.setBody([&app](const http::Request&) {
      app.server().resetConnectionsFor(Milliseconds(700));
      return slowAnswer();
    });
    const Result<http::Response> answer = co_await ask("/once/a");
    BOOST_TEST((answer && answer.value().body == "a whole answer"));
  });
}

/// Guards against begun streams that are given up for their server's silence, and then break off
/// because no other server may take them over.
BOOST_AUTO_TEST_CASE(begunStreamsStayWithTheirSilentServerWhileNoRetryIsLeft) {
  settings.retryFloor = 0;
  settings.retryPercent = 0;
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    for (const std::size_t moment : {kWithinBody, kBeforeEnd, kAfterEnd}) {
      answerWithStops(moment, Milliseconds(2200));
      const Result<http::Response> answer = co_await ask("/stream/a");
      BOOST_TEST_INFO("at " << moment);
      BOOST_TEST((answer && answer.value().body == events(1, 4)));
    }
    BOOST_TEST(runs() == 3U);
  });
}

/// Guards against the same where no other server is there.
BOOST_AUTO_TEST_CASE(begunStreamsStayWithTheirSilentServerWhereItIsTheOnlyOne) {
  addUnframed("llm-1", "llm");
  run([this]() -> awaitable<void> {
    answerWithStops(kWithinBody, Milliseconds(2200));
    const Result<http::Response> answer = co_await ask("/stream/a");
    BOOST_TEST((answer && answer.value().body == events(1, 4)));
    BOOST_TEST(runs() == 1U);
  });
}

/// The guards above keep no stream from another server that may take it over.
BOOST_AUTO_TEST_CASE(begunStreamsLeaveAServerThatStaysSilentForAnother) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    const auto first = std::make_shared<bool>(true);
    for (const auto& server : unframed) {
      server->setBody([first](const http::Request& request) {
        ScriptedAnswer answer{{events(1, 2), events(3, 4)}, ConnectionEnd::kClose, Milliseconds(2)};
        if (std::exchange(*first, false)) {
          answer.stopBefore = kWithinBody;
          answer.stopTime = Milliseconds(60'000);
        } else {
          const unsigned after =
              static_cast<unsigned>(std::stoul(request.headers.get(platform::kLastEventId)));
          answer.pieces = {events(after + 1, 4)};
        }
        return answer;
      });
    }
    const MonotonicTime begin = monotonicNow();
    const Result<http::Response> answer = co_await ask("/stream/a");
    BOOST_TEST((answer && answer.value().body == events(1, 4)));
    BOOST_CHECK(monotonicNow() - begin < server_paths::kMaxServerSilence + kSlack);
  });
}

/// Guards against begun streams that break off because the servers that could take them over refuse
/// them for a while.
BOOST_AUTO_TEST_CASE(streamsThatHaveLeftASilentServerOutlastRefusals) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    const MonotonicTime begin = monotonicNow();
    for (const auto& server : unframed) {
      server->setBody([begin](const http::Request& request) -> ScriptedAnswer {
        if (request.headers.get(platform::kLastEventId).empty()) {
          ScriptedAnswer first{{events(1, 2), events(3, 4)}, ConnectionEnd::kClose};
          first.stopBefore = kWithinBody;
          first.stopTime = Milliseconds(60'000);
          return first;
        }
        if (monotonicNow() - begin < Milliseconds(2800)) {
          return refusal(request, "");
        }
        return {{events(3, 4)}, ConnectionEnd::kClose};
      });
    }
    const Result<http::Response> answer = co_await ask("/stream/a");
    BOOST_TEST((answer && answer.value().body == events(1, 4)));
  });
}

/// Guards against requests that are held to their deadline by a refusal whose body does not come.
BOOST_AUTO_TEST_CASE(refusalWithoutItsBodyHoldsNoRequest) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    const auto first = std::make_shared<bool>(true);
    for (const auto& server : unframed) {
      server->setBody([first](const http::Request& request) -> ScriptedAnswer {
        if (std::exchange(*first, false)) {
          ScriptedAnswer partial = refusal(request, "", "Content-Length: 10\r\n");
          partial.pieces.emplace_back("ab");
          partial.end = ConnectionEnd::kSilence;
          return partial;
        }
        return {{"a whole answer"}, ConnectionEnd::kClose};
      });
    }
    const MonotonicTime begin = monotonicNow();
    const Result<http::Response> answer = co_await ask("/once/a");
    BOOST_TEST((answer && answer.value().body == "a whole answer"));
    BOOST_CHECK(monotonicNow() - begin < kSlack);
  });
}

/// Guards against further runs for an answer of which the caller has a part that no other server
/// can go on with.
BOOST_AUTO_TEST_CASE(brokenLongAnswerIsNotRunAgain) {
  settings.heldAnswerKb = 16;
  boost::json::value configured = configuration(2);
  for (boost::json::value& route : configured.at("routes").as_array()) {
    route.at("max_attempts") = 3;
  }
  store.put("config", "main", std::move(configured));
  addUnframed("app-1", "app");
  addUnframed("app-2", "app");
  addUnframed("app-3", "app");
  run([this]() -> awaitable<void> {
    const auto first = std::make_shared<bool>(true);
    for (const auto& server : unframed) {
      server->setBody([first](const http::Request&) -> ScriptedAnswer {
        ScriptedAnswer answer{{std::string(200'000, 'a')}, ConnectionEnd::kReset};
        if (std::exchange(*first, false)) {
          answer.stopTime = Milliseconds(60'000);
        }
        answer.pieceGap = Milliseconds(20);
        return answer;
      });
    }
    const Result<http::Response> answer = co_await ask("/safe/a");
    BOOST_TEST(!answer);
    BOOST_TEST(runs() == 2U);
  });
}

/// A server that never says anything again proves nothing: what it sent does not pass for whole.
BOOST_AUTO_TEST_CASE(answersOfServersThatStaySilentEndAtTheDeadlineAsBroken) {
  addTwoOfEachService();
  run([this]() -> awaitable<void> {
    answerWithStops(kAfterEnd, Milliseconds(60'000));
    for (const std::string path : {"/once/a", "/stream-once/a"}) {
      http::Request message = isStream(path) ? modelRequest(path) : request(path);
      message.headers.set(platform::kDeadline, "1500");
      const MonotonicTime begin = monotonicNow();
      const Result<http::Response> answer = co_await call(std::move(message));
      BOOST_TEST_INFO(path);
      BOOST_TEST(!(answer && answer.value().status == 200U));
      BOOST_TEST_INFO(path);
      BOOST_CHECK(monotonicNow() - begin > Milliseconds(1400));
      BOOST_TEST_INFO(path);
      BOOST_CHECK(monotonicNow() - begin < Milliseconds(1500) + kSlack);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_silent_connections)

/// Guards against callers who are refused because one connection to their service's only server
/// hung, though the server has answered others since.
BOOST_AUTO_TEST_CASE(aConnectionThatHangsTakesNoAnsweringServerOutOfUse) {
  GatewayFleet fleet(1, 0);
  HangingListener hanging(fleet.context);
  const Endpoint server = fleet.servers.front()->endpoint();
  bool hangNext = false;
  fleet.addressOf = [&](std::size_t, const Endpoint& endpoint) {
    return endpoint == server && std::exchange(hangNext, false) ? hanging.endpoint() : endpoint;
  };
  fleet.run([&]() -> awaitable<void> {
    constexpr Milliseconds kBeforeTheFailure{100};
    hangNext = true;
    std::optional<unsigned> first;
    boost::asio::co_spawn(
        fleet.context,
        [&]() -> awaitable<void> {
          http::Request once = GatewayFixture::request("/once/a");
          first = co_await fleet.call(0, std::move(once));
        },
        boost::asio::detached);
    co_await fleet.pause(kBeforeTheFailure);
    BOOST_TEST(!hangNext, "no connection hung");
    while (!first) {
      http::Request once = GatewayFixture::request("/once/a");
      const unsigned status = co_await fleet.call(0, std::move(once));
      BOOST_TEST(status == 200U);
    }
    BOOST_TEST(*first == 200U);
    http::Request last = GatewayFixture::request("/once/a");
    const unsigned status = co_await fleet.call(0, std::move(last));
    BOOST_TEST(status == 200U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
