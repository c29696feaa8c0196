// Guards against short answers that reach their callers framed as whole: servers may answer with
// neither a length nor chunks, and the end of such an answer looks like the end of its server.

#include <map>

#include "gateway_fleet.h"
#include "sim/fault_proxy.h"
#include "support/hanging_listener.h"
#include "unframed_fixture.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

struct Fixture : UnframedFixture {
  /// Ends the first run as given, and answers all later ones whole.
  static UnframedServer::Body firstRunEnds(const std::shared_ptr<bool>& first, std::string body,
                                           ConnectionEnd end) {
    return [first, body, end](const http::Request& request) -> ScriptedAnswer {
      if (std::exchange(*first, false)) {
        return {{body}, end};
      }
      const std::string after = request.headers.get(platform::kLastEventId);
      const unsigned next = after.empty() ? 1 : static_cast<unsigned>(std::stoul(after)) + 1;
      return {{events(next, 4)}, ConnectionEnd::kClose};
    };
  }
  /// The answer to a stream whose first run, at any of two servers, ends so.
  awaitable<Result<http::Response>> streamBrokenOnce(std::string path, std::string body,
                                                     ConnectionEnd end) {
    const auto first = std::make_shared<bool>(true);
    for (const auto& server : unframed) {
      server->setBody(firstRunEnds(first, body, end));
    }
    http::Request message = modelRequest(path);
    co_return co_await call(std::move(message));
  }
};

BOOST_FIXTURE_TEST_SUITE(platform_unframed_answers, Fixture)

BOOST_AUTO_TEST_CASE(streamThatEndsInsideAnEventGoesOnElsewhere) {
  addUnframed("llm-1", "llm");
  addUnframed("llm-2", "llm");
  run([this]() -> awaitable<void> {
    for (const ConnectionEnd end : {ConnectionEnd::kClose, ConnectionEnd::kReset}) {
      const auto answer = co_await streamBrokenOnce("/stream/a", events(1, 2) + "id: 3\nda", end);
      BOOST_REQUIRE(static_cast<bool>(answer));
      BOOST_TEST(answer.value().body == events(1, 4));
    }
  });
}

BOOST_AUTO_TEST_CASE(streamOfACrashedServerGoesOnElsewhereThoughItEndsBetweenTwoEvents) {
  addUnframed("llm-1", "llm");
  addUnframed("llm-2", "llm");
  run([this]() -> awaitable<void> {
    const auto answer = co_await streamBrokenOnce("/stream/a", events(1, 2), ConnectionEnd::kCrash);
    BOOST_REQUIRE(static_cast<bool>(answer));
    BOOST_TEST(answer.value().body == events(1, 4));
  });
}

/// It may not be sent again, so that its caller has to see that it is short.
BOOST_AUTO_TEST_CASE(streamThatMayNotBeResumedDoesNotEndWholeWhenItsServerCrashes) {
  addUnframed("llm-1", "llm");
  addUnframed("llm-2", "llm");
  run([this]() -> awaitable<void> {
    const auto inside =
        co_await streamBrokenOnce("/stream-once/a", events(1, 2) + "id:", ConnectionEnd::kClose);
    BOOST_TEST(!inside);
    const auto between =
        co_await streamBrokenOnce("/stream-once/a", events(1, 2), ConnectionEnd::kCrash);
    BOOST_TEST(!between);
    BOOST_TEST(unframed[0]->runs() + unframed[1]->runs() == 2U);
  });
}

BOOST_AUTO_TEST_CASE(answerOfACrashedServerIsNotDeliveredAsWhole) {
  addUnframed("app-1", "app");
  addUnframed("app-2", "app");
  run([this]() -> awaitable<void> {
    const auto first = std::make_shared<bool>(true);
    for (const auto& server : unframed) {
      server->setBody([first](const http::Request&) -> ScriptedAnswer {
        const bool breaks = std::exchange(*first, false);
        return breaks ? ScriptedAnswer{{"a sho"}, ConnectionEnd::kCrash}
                      : ScriptedAnswer{{"a whole answer"}, ConnectionEnd::kClose};
      });
    }
    http::Request safe = request("/safe/a");
    const auto again = co_await call(std::move(safe));
    BOOST_REQUIRE(static_cast<bool>(again));
    BOOST_TEST(again.value().status == 200U);
    BOOST_TEST(again.value().body == "a whole answer");
  });
}

/// 502 promises nothing.
BOOST_AUTO_TEST_CASE(onceOnlyAnswerOfACrashedServerEndsAsUnknown) {
  addUnframed("app-1", "app");
  addUnframed("app-2", "app");
  run([this]() -> awaitable<void> {
    for (const auto& server : unframed) {
      server->setBody([](const http::Request&) -> ScriptedAnswer {
        return {{"a sho"}, ConnectionEnd::kCrash};
      });
    }
    http::Request once = request("/once/a");
    const auto answer = co_await call(std::move(once));
    BOOST_REQUIRE(static_cast<bool>(answer));
    BOOST_TEST(answer.value().status == 502U);
    BOOST_TEST(unframed[0]->runs() + unframed[1]->runs() == 1U);
  });
}

/// The guard above costs no sound answer.
BOOST_AUTO_TEST_CASE(wholeAnswersWithoutALengthAreDelivered) {
  UnframedServer& app = addUnframed("app-1", "app");
  UnframedServer& llm = addUnframed("llm-1", "llm");
  run([&]() -> awaitable<void> {
    app.setBody([](const http::Request&) -> ScriptedAnswer {
      return {{"a whole ", "answer"}, ConnectionEnd::kClose, Milliseconds(2)};
    });
    llm.setBody([](const http::Request&) -> ScriptedAnswer {
      return {{events(1, 2), events(3, 4)}, ConnectionEnd::kClose, Milliseconds(2)};
    });
    for (const std::string path : {"/safe/a", "/once/a", "/open/a"}) {
      http::Request message = request(path);
      const auto answer = co_await call(std::move(message));
      BOOST_REQUIRE(static_cast<bool>(answer));
      BOOST_TEST(answer.value().body == "a whole answer");
    }
    for (const std::string path : {"/stream/a", "/stream-once/a"}) {
      http::Request message = modelRequest(path);
      const auto answer = co_await call(std::move(message));
      BOOST_REQUIRE(static_cast<bool>(answer));
      BOOST_TEST(answer.value().body == events(1, 4));
    }
    BOOST_TEST(app.runs() == 3U);
    BOOST_TEST(llm.runs() == 2U);
  });
}

/// A process that starts again at once answers questions, but did not end the answer.
BOOST_AUTO_TEST_CASE(answerOfAServerThatStartedAgainIsNotDeliveredAsWhole) {
  UnframedServer& app = addUnframed("app-1", "app");
  run([&]() -> awaitable<void> {
    app.setBody([&app](const http::Request&) -> ScriptedAnswer {
      app.born += 1;
      return {{"a sho"}, ConnectionEnd::kClose};
    });
    http::Request once = request("/once/a");
    const auto answer = co_await call(std::move(once));
    BOOST_REQUIRE(static_cast<bool>(answer));
    BOOST_TEST(answer.value().status == 502U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(platform_unframed_answers_through_nodes)

/// Guards against sound answers without a length that are lost at a node that cannot reach their
/// servers, and against short ones that it passes on.
BOOST_AUTO_TEST_CASE(nodeThatReachesNoServerDeliversWholeAnswersAndNoShortOnes) {
  GatewayFleet fleet(3, 0);
  UnframedServer app(fleet.context, "unframed-app", "app");
  UnframedServer llm(fleet.context, "unframed-llm", "llm");
  app.setBody([](const http::Request&) -> ScriptedAnswer {
    return {{"a whole ", "answer"}, ConnectionEnd::kClose, Milliseconds(2)};
  });
  llm.setBody([](const http::Request&) -> ScriptedAnswer {
    return {{events(1, 4)}, ConnectionEnd::kClose};
  });
  fleet.store.remove("servers", "app");
  fleet.store.put("servers", app.id(), app.entry());
  fleet.store.put("servers", llm.id(), llm.entry());
  boost::asio::ip::tcp::acceptor closed(fleet.context);
  closed.open(boost::asio::ip::tcp::v4());
  closed.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint refusing{"127.0.0.1", closed.local_endpoint().port()};
  fleet.addressOf = [&](std::size_t node, const Endpoint& endpoint) {
    const bool isServer =
        endpoint == app.server().endpoint() || endpoint == llm.server().endpoint();
    return node == 0 && isServer ? refusing : endpoint;
  };
  fleet.run([&]() -> awaitable<void> {
    for (int number = 0; number < 5; ++number) {
      http::Request safe = GatewayFixture::request("/safe/a");
      const Result<http::Response> answer = co_await fleet.exchange(0, std::move(safe));
      BOOST_TEST((answer && answer.value().body == "a whole answer"));
      http::Request stream = GatewayFleet::modelRequest("/stream-once/a", "prompt");
      const Result<http::Response> streamed = co_await fleet.exchange(0, std::move(stream));
      BOOST_TEST((streamed && streamed.value().body == events(1, 4)));
    }
    llm.setBody([](const http::Request&) -> ScriptedAnswer {
      return {{events(1, 2)}, ConnectionEnd::kCrash};
    });
    http::Request stream = GatewayFleet::modelRequest("/stream-once/a", "prompt");
    const Result<http::Response> streamed = co_await fleet.exchange(0, std::move(stream));
    BOOST_TEST(!streamed);
  });
}

/// Guards against answers that count as whole although the node that carried them has never said
/// who ended them: it may have done so itself.
BOOST_AUTO_TEST_CASE(answerWhoseCarryingNodeStaysSilentIsNotDeliveredAsWhole) {
  GatewayFleet fleet(3, 0);
  UnframedServer app(fleet.context, "unframed-app", "app");
  fleet.store.remove("servers", "app");
  fleet.store.put("servers", app.id(), app.entry());
  HangingListener unreachable(fleet.context);
  std::map<Endpoint, std::unique_ptr<sim::FaultProxy>> proxies;
  std::map<Endpoint, Endpoint> proxyOf;
  bool reachable = true;
  fleet.addressOf = [&](std::size_t node, const Endpoint& endpoint) {
    if (node != 0 || endpoint == fleet.store.endpoint()) {
      return endpoint;
    }
    if (endpoint == app.server().endpoint()) {
      return reachable ? endpoint : unreachable.endpoint();
    }
    const auto found = proxyOf.find(endpoint);
    if (found != proxyOf.end()) {
      return found->second;
    }
    auto& proxy = proxies[endpoint];
    proxy = std::make_unique<sim::FaultProxy>(fleet.context, endpoint);
    return proxyOf[endpoint] = proxy->listen({"127.0.0.1", 0}).value();
  };
  bool swallow = false;
  app.setBody([&](const http::Request&) -> ScriptedAnswer {
    if (swallow) {
      // The answer still comes through the other node; what is asked of that one later does not.
      sim::ProxyFaults faults;
      faults.swallowRequests = true;
      for (const auto& [endpoint, proxy] : proxies) {
        proxy->apply(faults);
      }
      reachable = true;
    }
    return {{"a whole ", "answer"}, ConnectionEnd::kClose, Milliseconds(2)};
  });
  fleet.run([&]() -> awaitable<void> {
    reachable = false;
    http::Request first = GatewayFixture::request("/safe/a");
    const Result<http::Response> carried = co_await fleet.exchange(0, std::move(first));
    BOOST_TEST((carried && carried.value().body == "a whole answer"));
    const std::string metrics = co_await fleet.askNode(0, "GET", "/metrics");
    BOOST_TEST(metrics.find("calicodrift_forward_answer_ends_total{end=\"confirmed\"} 1") !=
               std::string::npos);
    swallow = true;
    http::Request request = GatewayFixture::request("/once/a");
    request.headers.set(platform::kDeadline, "2500");
    const Result<http::Response> answer = co_await fleet.exchange(0, std::move(request));
    BOOST_TEST((!answer || answer.value().status != 200U));
    const std::string after = co_await fleet.askNode(0, "GET", "/metrics");
    BOOST_TEST(after.find("calicodrift_forward_answer_ends_total{end=\"tunnel_silent\"} 1") !=
               std::string::npos);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
