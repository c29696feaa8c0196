#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "http/client.h"
#include "http/server.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// A server that answers "/slow" only once it is released.
struct ClientFixture {
  asio::io_context context;
  asio::steady_timer released{context, MonotonicTime::max()};
  Server server{
      context.get_executor(), ServerLimits{},
      [this](Request& request, ResponseWriter& writer) { return answer(request, writer); }};
  Endpoint endpoint = server.listen({"127.0.0.1", 0}).value();
  Client client{context.get_executor()};

  awaitable<void> answer(Request& request, ResponseWriter& writer) {
    if (request.path() == "/slow") {
      co_await released.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await respond(writer, textResponse(200, "done"));
  }
  awaitable<void> get(std::string path) {
    Request request;
    request.target = std::move(path);
    const Result<Response> response = co_await client.exchange(endpoint, std::move(request));
    BOOST_TEST(response.has_value());
  }
  void run(awaitable<void> body) {
    asio::co_spawn(context, std::move(body), [this](const std::exception_ptr&) { context.stop(); });
    context.run_for(std::chrono::seconds(10));
  }
  /// Lets what was closed arrive at the server.
  awaitable<void> settle() {
    asio::steady_timer timer(context, Milliseconds(50));
    co_await timer.async_wait(asio::use_awaitable);
  }
};

BOOST_FIXTURE_TEST_SUITE(client_connections, ClientFixture)

BOOST_AUTO_TEST_CASE(aKeptConnectionServesAgainUntilItIsDropped) {
  run([](ClientFixture& fixture) -> awaitable<void> {
    co_await fixture.get("/a");
    co_await fixture.get("/b");
    BOOST_TEST(fixture.server.openConnections() == 1U);
    fixture.client.dropConnections(fixture.endpoint);
    co_await fixture.settle();
    BOOST_TEST(fixture.server.openConnections() == 0U);
    co_await fixture.get("/c");
    co_await fixture.get("/d");
    BOOST_TEST(fixture.server.openConnections() == 1U);
  }(*this));
}

BOOST_AUTO_TEST_CASE(aConnectionInUseEndsWithItsExchange) {
  run([](ClientFixture& fixture) -> awaitable<void> {
    asio::co_spawn(fixture.context, fixture.get("/slow"), asio::detached);
    co_await fixture.settle();
    fixture.client.dropConnections(fixture.endpoint);
    BOOST_TEST(fixture.server.openConnections() == 1U);
    fixture.released.cancel();
    co_await fixture.settle();
    BOOST_TEST(fixture.server.openConnections() == 0U);
  }(*this));
}

/// Guards against a caller who leaves after its answer was read and thereby closes the connection
/// that another request has taken meanwhile; and against a canceller that has gone when the answer
/// ends.
BOOST_AUTO_TEST_CASE(cancellerOfAnEndedExchangeLeavesTheConnectionToTheNextOne) {
  run([](ClientFixture& fixture) -> awaitable<void> {
    auto canceller = std::make_unique<ExchangeCanceller>();
    ExchangeOptions options;
    options.canceller = canceller.get();
    Request first;
    first.target = "/a";
    auto opened = co_await fixture.client.open(fixture.endpoint, std::move(first), options);
    BOOST_REQUIRE(opened.has_value());
    const Result<Response> whole = co_await readWhole(*opened.value(), UnframedBody::kReject);
    BOOST_TEST(whole.has_value());
    bool served = false;
    asio::co_spawn(
        fixture.context,
        [&]() -> awaitable<void> {
          co_await fixture.get("/slow");
          served = true;
        },
        asio::detached);
    co_await fixture.settle();
    BOOST_TEST(fixture.server.openConnections() == 1U);
    canceller->cancel();
    fixture.released.cancel();
    co_await fixture.settle();
    BOOST_TEST(served);
    BOOST_TEST(fixture.server.openConnections() == 1U);
    // It need not outlive the answer.
    auto shortLived = std::make_unique<ExchangeCanceller>();
    options.canceller = shortLived.get();
    Request last;
    last.target = "/b";
    auto second = co_await fixture.client.open(fixture.endpoint, std::move(last), options);
    BOOST_REQUIRE(second.has_value());
    shortLived.reset();
    const Result<Response> rest = co_await readWhole(*second.value(), UnframedBody::kReject);
    BOOST_TEST(rest.has_value());
  }(*this));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::http
