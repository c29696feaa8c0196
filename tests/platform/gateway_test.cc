#include "gateway_fixture.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

BOOST_FIXTURE_TEST_SUITE(gateway, GatewayFixture)

BOOST_AUTO_TEST_CASE(forwardsAsTheTenantAndNamesTheServer) {
  store.put("config", "main", configuration(1));
  ServerStandIn& server = addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    http::Request message = request("/safe/a?b=c");
    message.headers.set(platform::kTenant, "somebody else");
    message.headers.set("X-Other", "kept");
    const Result<http::Response> answer = co_await call(std::move(message));
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer.value().status == 200U);
    BOOST_TEST(answer.value().body == "from i-1");
    BOOST_TEST(answer.value().headers.get(platform::kSeal) == "seal");
    BOOST_REQUIRE(server.arrivals().size() == 1U);
    const http::HeaderList& headers = server.arrivals()[0].headers;
    BOOST_TEST(server.arrivals()[0].target == "/safe/a?b=c");
    BOOST_TEST(headers.get(platform::kTenant) == "t1");
    BOOST_TEST(headers.get(platform::kExpectInstance) == "i-1");
    BOOST_TEST(headers.get("X-Other") == "kept");
    BOOST_TEST(headers.get("Host") == "h");
    BOOST_TEST(!headers.find(platform::kKey));
    BOOST_TEST(std::stoi(headers.get(platform::kDeadline)) <= 4000);
  });
}

BOOST_AUTO_TEST_CASE(refusesUnknownRoutesAndKeysForGood) {
  store.put("config", "main", configuration(1));
  addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    const Result<http::Response> noRoute = co_await call(request("/nowhere/a"));
    const Result<http::Response> noKey = co_await call(request("/safe/a", "k2"));
    const Result<http::Response> open = co_await call(request("/open/a", ""));
    BOOST_TEST(noRoute.value().status == 404U);
    BOOST_TEST(noKey.value().status == 401U);
    BOOST_TEST(open.value().status == 200U);
  });
}

/// Guards against revoked and unknown keys that are served once the last tenant has been removed.
BOOST_AUTO_TEST_CASE(emptyListOfTenantsLetsNobodyIn) {
  json::value withoutTenants = configuration(1);
  withoutTenants.as_object()["tenants"] = json::array();
  store.put("config", "main", std::move(withoutTenants));
  ServerStandIn& server = addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    for (const std::string key : {"k1", "never", ""}) {
      http::Request message = request("/safe/a", key);
      const Result<http::Response> answer = co_await call(std::move(message));
      BOOST_TEST(answer.value().status == 401U);
    }
    http::Request message = request("/open/a", "");
    const Result<http::Response> open = co_await call(std::move(message));
    BOOST_TEST(open.value().status == 200U);
    BOOST_TEST(server.arrivals().size() == 1U);
    // Without a list, no route asks for keys.
    json::value withoutList = configuration(2);
    withoutList.as_object().erase("tenants");
    store.put("config", "main", std::move(withoutList));
    co_await waitUntil([this] { return node->ready(); });
    asio::steady_timer timer(context, Milliseconds(300));
    co_await timer.async_wait(asio::use_awaitable);
    http::Request last = request("/safe/a", "never");
    const Result<http::Response> answer = co_await call(std::move(last));
    BOOST_TEST(answer.value().status == 200U);
  });
}

/// Guards against a node that ends under a request whose headers it cannot read.
BOOST_AUTO_TEST_CASE(malformedHeadersAreRefusedWithoutHarmToOthers) {
  store.put("config", "main", configuration(1));
  addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    const std::vector<std::pair<std::string_view, std::string>> malformed{
        {platform::kRequestId, ""},
        {platform::kDeadline, "soon"},
        {platform::kLastEventId, "-1"},
        {platform::kTokenUsage, "many"},
        {platform::kPromptPrefix, "no colon"}};
    for (const auto& [name, value] : malformed) {
      http::Request message = request("/safe/a");
      message.headers.set(name, value);
      const Result<http::Response> refused = co_await call(std::move(message));
      BOOST_REQUIRE(static_cast<bool>(refused));
      BOOST_TEST(refused.value().status == 400U);
    }
    const Result<http::Response> served = co_await call(request("/safe/a"));
    BOOST_TEST(served.value().status == 200U);
  });
}

BOOST_AUTO_TEST_CASE(knowsNothingBeforeItsFirstConfiguration) {
  settings.store = {"127.0.0.1", 1};
  store.setMode(StoreStandIn::Mode::kBusy);
  start();
  asio::co_spawn(
      context,
      [&]() -> awaitable<void> {
        BOOST_TEST(!node->ready());
        const Result<http::Response> answer = co_await call(request("/safe/a"));
        BOOST_TEST(answer.value().status == 503U);
        BOOST_TEST(answer.value().headers.find("Retry-After").has_value());
        context.stop();
      },
      asio::detached);
  context.run_for(std::chrono::seconds(10));
}

BOOST_AUTO_TEST_CASE(onlyServerThatRefusesIsNotAskedAgainAtOnce) {
  store.put("config", "main", configuration(1));
  ServerStandIn& only = addServer("i-1", "app");
  only.setBehaviour(
      [](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
        co_await http::respond(writer, ServerStandIn::notExecuted(request));
      });
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(request("/safe/a"));
    BOOST_TEST(answer.value().status == 503U);
    BOOST_TEST(answer.value().headers.find("Retry-After").has_value());
    BOOST_TEST(only.arrivals().size() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(whatIsOverATenantsLimitIsRefusedAtOnceAndHasNotRun) {
  // A node that stands alone may begin with 1,075 tokens and 2,000 more each second.
  settings.limitSlack = 32'000;
  const json::object limit{
      {"unit", "token_stream"}, {"rate_per_s", 2000}, {"burst", 4000}, {"plain_tokens", 50}};
  store.put("config", "main", configuration(1, "k1", limit));
  ServerStandIn& server = addServer("i-1", "llm", "m");
  ServerStandIn& app = addServer("i-2", "app");
  run([&]() -> awaitable<void> {
    std::size_t served = 0;
    Result<http::Response> last = co_await call(modelRequest("/stream/a"));
    while (last && last.value().status == 200U && served < 20U) {
      ++served;
      last = co_await call(modelRequest("/stream/a"));
    }
    BOOST_REQUIRE(last);
    BOOST_TEST(last.value().status == 429U);
    BOOST_TEST(server.arrivals().size() == served);
    // Requests without a statement of their tokens are over it as well.
    const Result<http::Response> plain = co_await call(request("/safe/a"));
    BOOST_TEST(plain.value().status == 429U);
    BOOST_TEST(app.arrivals().empty());
    const Result<http::Response> open = co_await call(request("/open/a", ""));
    BOOST_TEST(open.value().status == 200U);
    const double comeBack = std::stod(last.value().headers.get("Retry-After"));
    BOOST_TEST(comeBack > 0);
    asio::steady_timer timer(
        context, std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(comeBack)));
    co_await timer.async_wait(asio::use_awaitable);
    const Result<http::Response> again = co_await call(request("/safe/a"));
    BOOST_TEST(again.value().status == 200U);
  });
}

BOOST_AUTO_TEST_CASE(whatAServerDidNotRunDoesNotCountAgainstTheLimit) {
  settings.limitSlack = 3200;
  // Begins with 101 requests and refills one a second.
  const json::object limit{{"rate_per_s", 1}, {"burst", 200}};
  store.put("config", "main", configuration(1, "k1", limit));
  ServerStandIn& server = addServer("i-1", "app");
  server.setBehaviour(
      [](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
        co_await http::respond(writer, ServerStandIn::notExecuted(request));
      });
  run([&]() -> awaitable<void> {
    for (int count = 0; count < 130; ++count) {
      const Result<http::Response> answer = co_await call(request("/safe/a"));
      BOOST_TEST(answer.value().status == 503U);
    }
  });
}

BOOST_AUTO_TEST_CASE(unsafeRequestIsSentAgainOnlyAfterProofThatItHasNotRun) {
  store.put("config", "main", configuration(1));
  ServerStandIn& first = addServer("i-1", "app");
  ServerStandIn& second = addServer("i-2", "app");
  const auto refuse = [](const http::Request& request,
                         http::ResponseWriter& writer) -> awaitable<void> {
    co_await http::respond(writer, ServerStandIn::notExecuted(request));
  };
  first.setBehaviour(refuse);
  run([&]() -> awaitable<void> {
    for (int round = 0; round < 4; ++round) {
      const Result<http::Response> answer = co_await call(request("/once/a"));
      BOOST_TEST(answer.value().status == 200U);
    }
    BOOST_TEST(second.arrivals().size() == 4U);
  });
}

BOOST_AUTO_TEST_CASE(unsafeRequestWithoutAnswerEndsInDoubt) {
  store.put("config", "main", configuration(1));
  ServerStandIn& first = addServer("i-1", "app");
  ServerStandIn& second = addServer("i-2", "app");
  const auto breakOff = [](const http::Request&, http::ResponseWriter& writer) -> awaitable<void> {
    writer.abort();
    co_return;
  };
  first.setBehaviour(breakOff);
  second.setBehaviour(breakOff);
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(request("/once/a"));
    BOOST_TEST(answer.value().status == 502U);
    BOOST_TEST(first.arrivals().size() + second.arrivals().size() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(safeRequestMovesOnAndKeepsTheServersFailureForTheEnd) {
  // Five second dispatches within a moment: what a busy node has earned.
  settings.retryFloor = 5;
  store.put("config", "main", configuration(1));
  ServerStandIn& first = addServer("i-1", "app");
  ServerStandIn& second = addServer("i-2", "app");
  const auto failWith500 = [](const http::Request& request,
                              http::ResponseWriter& writer) -> awaitable<void> {
    co_await http::respond(writer, ServerStandIn::sealed(request, 500, "failed"));
  };
  first.setBehaviour(failWith500);
  run([&]() -> awaitable<void> {
    for (int round = 0; round < 4; ++round) {
      const Result<http::Response> answer = co_await call(request("/safe/a"));
      BOOST_TEST(answer.value().status == 200U);
    }
    second.setBehaviour(failWith500);
    const Result<http::Response> answer = co_await call(request("/safe/a"));
    BOOST_TEST(answer.value().status == 500U);
    BOOST_TEST(answer.value().body == "failed");
    BOOST_TEST(answer.value().headers.get(platform::kSeal) == "seal");
  });
}

BOOST_AUTO_TEST_CASE(anotherRequestsAnswerIsNeverPassedOn) {
  store.put("config", "main", configuration(1));
  addServer("i-1", "app")
      .setBehaviour(
          [](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
            http::Response answer = ServerStandIn::sealed(request, 200, "of another");
            answer.headers.set(platform::kRequestId, "another");
            co_await http::respond(writer, std::move(answer));
          });
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(request("/once/a"));
    BOOST_TEST(answer.value().status == 502U);
  });
}

BOOST_AUTO_TEST_CASE(brokenStreamGoesOnBehindItsLastWholeEvent) {
  store.put("config", "main", configuration(1));
  unsigned streams = 0;
  std::string resumedAfter;
  const auto stream = [&](const http::Request& request,
                          http::ResponseWriter& writer) -> awaitable<void> {
    if (++streams == 1) {
      co_await ServerStandIn::streamEvents(request, writer, 1, 3);
      const Result<void> part = co_await writer.writeChunk("id: 4\ndata: ");
      static_cast<void>(part);
      writer.abort();
      co_return;
    }
    resumedAfter = request.headers.get(platform::kLastEventId);
    co_await ServerStandIn::streamEvents(request, writer, 4, 6);
    const Result<void> ended = co_await writer.endStream();
    static_cast<void>(ended);
  };
  addServer("i-1", "llm", "m").setBehaviour(stream);
  addServer("i-2", "llm", "m").setBehaviour(stream);
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(modelRequest("/stream/a"));
    BOOST_REQUIRE(answer);
    std::string expected;
    for (int number = 1; number <= 6; ++number) {
      expected += "id: " + std::to_string(number) + "\ndata: " + std::to_string(number) + "\n\n";
    }
    BOOST_TEST(answer.value().body == expected);
    BOOST_TEST(resumedAfter == "3");
  });
}

BOOST_AUTO_TEST_CASE(brokenStreamThatRunsOnceDoesNotLookComplete) {
  store.put("config", "main", configuration(1));
  ServerStandIn& first = addServer("i-1", "llm", "m");
  ServerStandIn& second = addServer("i-2", "llm", "m");
  const auto stream = [](const http::Request& request,
                         http::ResponseWriter& writer) -> awaitable<void> {
    co_await ServerStandIn::streamEvents(request, writer, 1, 2);
    writer.abort();
  };
  first.setBehaviour(stream);
  second.setBehaviour(stream);
  run([&]() -> awaitable<void> {
    const Result<http::Response> answer = co_await call(modelRequest("/stream-once/a"));
    BOOST_TEST(!answer);
    BOOST_TEST(first.arrivals().size() + second.arrivals().size() == 1U);
  });
}

BOOST_AUTO_TEST_CASE(workOfACallerWhoLeftIsCancelled) {
  store.put("config", "main", configuration(1));
  bool cancelled = false;
  ServerStandIn& server = addServer("i-1", "llm", "m");
  server.setBehaviour(
      [&](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
        co_await ServerStandIn::streamEvents(request, writer, 1, 1);
        writer.onCallerGone([&cancelled] { cancelled = true; });
        asio::steady_timer timer(context, std::chrono::seconds(5));
        co_await timer.async_wait(asio::use_awaitable);
      });
  run([&]() -> awaitable<void> {
    http::Client leaving(context.get_executor());
    http::Request message = modelRequest("/stream/a");
    const http::ExchangeOptions options;
    auto stream = co_await leaving.open(node->endpoint(), std::move(message), options);
    BOOST_REQUIRE(stream);
    stream.value()->cancel();
    const MonotonicTime left = monotonicNow();
    co_await waitUntil([&cancelled] { return cancelled; });
    BOOST_TEST((monotonicNow() - left < std::chrono::seconds(2)));
  });
}

BOOST_AUTO_TEST_CASE(withdrawnKeyIsRefused) {
  store.put("config", "main", configuration(1));
  addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    const Result<http::Response> before = co_await call(request("/safe/a", "k1"));
    BOOST_TEST(before.value().status == 200U);
    store.put("config", "main", configuration(2, "k2"));
    unsigned status = 200;
    const MonotonicTime end = monotonicNow() + std::chrono::seconds(5);
    while (status == 200 && monotonicNow() < end) {
      const Result<http::Response> answer = co_await call(request("/safe/a", "k1"));
      status = answer.value().status;
    }
    BOOST_TEST(status == 401U);
  });
}

BOOST_AUTO_TEST_CASE(keysAreNotServedWithoutProofOfTheNewestConfiguration) {
  settings.keyProofAge = Milliseconds(400);
  settings.absenceProofAge = Milliseconds(300);
  store.put("config", "main", configuration(1));
  addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    store.setMode(StoreStandIn::Mode::kSilent);
    co_await waitUntil([this] { return !node->ready(); });
    const Result<http::Response> keyed = co_await call(request("/safe/a"));
    BOOST_TEST(keyed.value().status == 503U);
    const Result<http::Response> unknownRoute = co_await call(request("/nowhere/a"));
    BOOST_TEST(unknownRoute.value().status == 503U);
    const Result<http::Response> open = co_await call(request("/open/a", ""));
    BOOST_TEST(open.value().status == 200U);
    store.setMode(StoreStandIn::Mode::kUp);
    co_await waitUntil([this] { return node->ready(); });
  });
}

BOOST_AUTO_TEST_CASE(olderConfigurationNeverComesBack) {
  store.put("config", "main", configuration(5, "k1"));
  addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    store.put("config", "main", configuration(4, "k2"));
    store.put("servers", "i-marker", servers[0]->entry());
    asio::steady_timer timer(context, Milliseconds(300));
    co_await timer.async_wait(asio::use_awaitable);
    const Result<http::Response> answer = co_await call(request("/safe/a", "k1"));
    BOOST_TEST(answer.value().status == 200U);
  });
}

BOOST_AUTO_TEST_CASE(forgottenHistoryIsReadAnew) {
  store.put("config", "main", configuration(1, "k1"));
  addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    store.put("config", "main", configuration(2, "k2"));
    store.compact();
    unsigned status = 401;
    const MonotonicTime end = monotonicNow() + std::chrono::seconds(5);
    while (status != 200 && monotonicNow() < end) {
      const Result<http::Response> answer = co_await call(request("/safe/a", "k2"));
      status = answer.value().status;
    }
    BOOST_TEST(status == 200U);
  });
}

BOOST_AUTO_TEST_CASE(drainingServerGetsNothingNew) {
  store.put("config", "main", configuration(1));
  ServerStandIn& leaving = addServer("i-1", "app");
  ServerStandIn& staying = addServer("i-2", "app");
  run([&]() -> awaitable<void> {
    store.put("servers", "i-1", leaving.entry("draining"));
    asio::steady_timer timer(context, Milliseconds(500));
    co_await timer.async_wait(asio::use_awaitable);
    const std::size_t before = leaving.arrivals().size();
    for (int round = 0; round < 6; ++round) {
      const Result<http::Response> answer = co_await call(request("/safe/a"));
      BOOST_TEST(answer.value().status == 200U);
    }
    BOOST_TEST(leaving.arrivals().size() == before);
    BOOST_TEST(staying.arrivals().size() == 6U);
  });
}

BOOST_AUTO_TEST_CASE(namedWeightsReachEveryServerByFencedOrders) {
  store.put("config", "main", configuration(1));
  for (int number = 1; number <= 4; ++number) {
    addServer("i-" + std::to_string(number), "llm", "m");
  }
  servers[0]->loseNextOrderAnswer();
  run([&]() -> awaitable<void> {
    store.put("versions", "m", json::object{{"model", "m"}, {"version", 2}});
    co_await waitUntil([this] {
      return std::all_of(servers.begin(), servers.end(),
                         [](const auto& server) { return server->weights() == 2U; });
    });
    for (const auto& server : servers) {
      BOOST_REQUIRE(!server->orders().empty());
      const json::value& order = server->orders()[0];
      BOOST_TEST(json::value_to<std::string>(order.at("op")) == "version");
      BOOST_TEST(order.at("fence").to_number<std::uint64_t>() >= 1U);
    }
    BOOST_TEST(!store.specOf("calicodrift-leases", "weights").is_null());
  });
}

BOOST_AUTO_TEST_CASE(cacheScopeNamesTheWeightsThatTheServerMustHave) {
  store.put("config", "main", configuration(1));
  ServerStandIn& server = addServer("i-1", "llm", "m");
  server.setBehaviour(
      [](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
        co_await ServerStandIn::streamEvents(request, writer, 1, 1);
        const Result<void> ended = co_await writer.endStream();
        static_cast<void>(ended);
      });
  run([&]() -> awaitable<void> {
    const Result<http::Response> before = co_await call(modelRequest("/stream/a"));
    BOOST_TEST(before.value().status == 200U);
    store.put("versions", "m", json::object{{"model", "m"}, {"version", 2}});
    co_await waitUntil([&server] { return server.weights() == 2U; });
    co_await waitUntil([this] { return store.calls() > 0; });
    asio::steady_timer timer(context, Milliseconds(300));
    co_await timer.async_wait(asio::use_awaitable);
    const Result<http::Response> after = co_await call(modelRequest("/stream/a"));
    BOOST_TEST(after.value().status == 200U);
    const http::HeaderList& first = server.arrivals().front().headers;
    const http::HeaderList& last = server.arrivals().back().headers;
    BOOST_TEST(first.get(platform::kExpectVersion) == "1");
    BOOST_TEST(last.get(platform::kExpectVersion) == "2");
    BOOST_TEST(first.get(platform::kCacheSalt) != last.get(platform::kCacheSalt));
  });
}

/// A stream whose head promised to keep the connection ends after the stop began: the connection
/// must not wait for another request, which would be cut when the process ends.
BOOST_AUTO_TEST_CASE(stopClosesTheConnectionOfAStreamThatOutlastsIt) {
  store.put("config", "main", configuration(1));
  bool release = false;
  addServer("i-1", "llm", "m")
      .setBehaviour(
          [&](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
            co_await ServerStandIn::streamEvents(request, writer, 1, 1);
            co_await waitUntil([&release] { return release; });
            co_await ServerStandIn::streamEvents(request, writer, 2, 2);
            const Result<void> ended = co_await writer.endStream();
            static_cast<void>(ended);
          });
  settings.drainTimeout = Milliseconds(20'000);
  run([&]() -> awaitable<void> {
    asio::ip::tcp::socket socket(context);
    const Endpoint& endpoint = node->endpoint();
    co_await socket.async_connect({asio::ip::make_address(endpoint.address), endpoint.port},
                                  asio::use_awaitable);
    const std::string text =
        "POST /stream/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: rs\r\nX-Key: k1\r\nX-Model: m\r\n"
        "X-Token-Usage: 10,2\r\nX-Prompt-Prefix: aa:10\r\nContent-Length: 0\r\n\r\n";
    co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
    std::string answer;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "data: 1",
                                    asio::use_awaitable);
    node->drain();
    asio::steady_timer timer(context, settings.drainAccept + Milliseconds(100));
    co_await timer.async_wait(asio::use_awaitable);
    release = true;
    auto [code, count] = co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                                                   asio::as_tuple(asio::use_awaitable));
    BOOST_TEST((code == asio::error::eof));
    BOOST_TEST(answer.find("data: 2") != std::string::npos);
  });
}

/// Guards against requests that a planned stop ends without an answer, as their servers are silent
/// for longer than the stop may last.
BOOST_AUTO_TEST_CASE(stopAnswersRequestsThatCannotBeServedInTime) {
  store.put("config", "main", configuration(1));
  addServer("i-1", "app")
      .setBehaviour([&](const http::Request&, http::ResponseWriter&) -> awaitable<void> {
        asio::steady_timer timer(context, std::chrono::seconds(20));
        co_await timer.async_wait(asio::use_awaitable);
      });
  settings.drainTimeout = Milliseconds(1000);
  run([&]() -> awaitable<void> {
    boost::asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
          asio::steady_timer timer(context, Milliseconds(100));
          co_await timer.async_wait(asio::use_awaitable);
          node->drain();
        },
        asio::detached);
    http::Request once = request("/once/a");
    const Result<http::Response> answer = co_await call(std::move(once));
    BOOST_REQUIRE(static_cast<bool>(answer));
    BOOST_TEST(answer.value().status == 502U);
    BOOST_TEST(!answer.value().headers.find(platform::kNotExecuted));
  });
}

BOOST_AUTO_TEST_CASE(stopClosesIdleConnections) {
  store.put("config", "main", configuration(1));
  addServer("i-1", "app");
  settings.drainTimeout = Milliseconds(20'000);
  run([&]() -> awaitable<void> {
    asio::ip::tcp::socket socket(context);
    const Endpoint& endpoint = node->endpoint();
    co_await socket.async_connect({asio::ip::make_address(endpoint.address), endpoint.port},
                                  asio::use_awaitable);
    node->drain();
    std::string answer;
    auto [code, count] = co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                                                   asio::as_tuple(asio::use_awaitable));
    BOOST_TEST((code == asio::error::eof || code == asio::error::connection_reset));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
