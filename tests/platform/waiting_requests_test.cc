// Bounds that were checked when a request came, and hold no longer when it is sent again or late.
//
// Seen: a request whose key was withdrawn is sent to a second server after the bound on
// withdrawals, where its first server broke off or refused late. A server is given the caller's
// whole time where the request took a part of it to come in.
//
// Cause: the key is looked at when the request comes and never again. The caller's time counts from
// the end of the request's body.

#include "gateway_fixture.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

constexpr Milliseconds kRevocationBound{2000};
/// So long after the key was withdrawn, the first server gives the request up.
constexpr Milliseconds kGivenUpAt{2300};
/// Shorter than the pause after which a stream goes on elsewhere.
constexpr Milliseconds kEventInterval{200};
constexpr Milliseconds kCheckInterval{5};

struct WaitingRequestsFixture : GatewayFixture {
  WaitingRequestsFixture() {
    settings.revocationBound = kRevocationBound;
    settings.keyProofAge = Milliseconds(0);
    BOOST_REQUIRE(gateway::applyBounds(settings));
    store.put("config", "main", configuration(1));
    store.put("versions", "m", json::object{{"model", "m"}, {"version", 1}});
  }

  awaitable<void> pause(Milliseconds time) {
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  void withdrawKey() {
    store.put("config", "main", configuration(2, "k2"));
    withdrawnAt = monotonicNow();
  }

  bool givenUp() const {
    return withdrawnAt != MonotonicTime{} && monotonicNow() - withdrawnAt >= kGivenUpAt;
  }

  /// Records when requests reach the server, and answers them.
  void recordArrivals(ServerStandIn& server) {
    server.setBehaviour(
        [this](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
          arrivedAt.push_back(monotonicNow());
          co_await http::respond(writer, ServerStandIn::sealed(request, 200, "late"));
        });
  }

  void checkRevocationBound() const {
    for (const MonotonicTime at : arrivedAt) {
      const auto age = std::chrono::duration_cast<Milliseconds>(at - withdrawnAt);
      BOOST_TEST((age <= kRevocationBound),
                 "a request was sent " << age.count() << " ms after its key was withdrawn");
    }
  }

  /// Sends the request without waiting for its answer.
  void send(http::Request message) {
    ++unanswered;
    asio::co_spawn(
        context,
        [this, message = std::move(message)]() mutable -> awaitable<void> {
          const Result<http::Response> answer = co_await call(std::move(message));
          static_cast<void>(answer);
          --unanswered;
        },
        asio::detached);
  }

  std::vector<MonotonicTime> arrivedAt;
  std::size_t unanswered = 0;
  MonotonicTime withdrawnAt{};
};

BOOST_FIXTURE_TEST_SUITE(waiting_requests, WaitingRequestsFixture)

BOOST_AUTO_TEST_CASE(streamOfAWithdrawnKeyGoesOnNowhereElse) {
  ServerStandIn& first = addServer("i-1", "llm", "m");
  first.setBehaviour(
      [&](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
        unsigned event = 0;
        while (!givenUp()) {
          ++event;
          co_await ServerStandIn::streamEvents(request, writer, event, event);
          co_await pause(kEventInterval);
        }
        writer.abort();
      });
  run([&]() -> awaitable<void> {
    send(modelRequest("/stream/a"));
    co_await waitUntil([&] { return !first.arrivals().empty(); });
    withdrawKey();
    recordArrivals(addServer("i-2", "llm", "m"));
    co_await waitUntil([this] { return unanswered == 0; });
    BOOST_TEST(givenUp());
    checkRevocationBound();
  });
}

BOOST_AUTO_TEST_CASE(refusedRequestOfAWithdrawnKeyIsNotSentAgain) {
  ServerStandIn& first = addServer("i-1", "app");
  first.setBehaviour(
      [&](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
        while (!givenUp()) {
          co_await pause(kCheckInterval);
        }
        co_await http::respond(writer, ServerStandIn::notExecuted(request));
      });
  run([&]() -> awaitable<void> {
    send(request("/once/a"));
    co_await waitUntil([&] { return !first.arrivals().empty(); });
    withdrawKey();
    recordArrivals(addServer("i-2", "app"));
    co_await waitUntil([this] { return unanswered == 0; });
    BOOST_TEST(givenUp());
    checkRevocationBound();
  });
}

BOOST_AUTO_TEST_CASE(timeLeftCountsFromTheBeginOfTheRequest) {
  constexpr Milliseconds kSlowBody{1200};
  constexpr std::int64_t kDeadlineMs = 4000;
  constexpr std::int64_t kSlackMs = 300;
  ServerStandIn& server = addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    asio::ip::tcp::socket socket(context);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(node->endpoint().address),
                                          node->endpoint().port);
    co_await socket.async_connect(address, asio::use_awaitable);
    const std::string head =
        "POST /once/slow HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow-1\r\nX-Key: k1\r\n"
        "X-Deadline-Ms: " +
        std::to_string(kDeadlineMs) + "\r\nContent-Length: 4\r\n\r\nab";
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
    co_await pause(kSlowBody);
    const std::string rest = "cd";
    co_await asio::async_write(socket, asio::buffer(rest), asio::use_awaitable);
    co_await waitUntil([&] { return !server.arrivals().empty(); });
    const std::int64_t given =
        std::stoll(server.arrivals().front().headers.get(platform::kDeadline));
    BOOST_TEST(given <= kDeadlineMs - kSlowBody.count() + kSlackMs);
  });
}

BOOST_AUTO_TEST_CASE(requestWhoseTimeIsOverWhenItIsReadIsNotSent) {
  ServerStandIn& server = addServer("i-1", "app");
  run([&]() -> awaitable<void> {
    asio::ip::tcp::socket socket(context);
    const asio::ip::tcp::endpoint address(asio::ip::make_address(node->endpoint().address),
                                          node->endpoint().port);
    co_await socket.async_connect(address, asio::use_awaitable);
    const std::string head =
        "POST /once/slow HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow-2\r\nX-Key: k1\r\n"
        "X-Deadline-Ms: 300\r\nContent-Length: 4\r\n\r\nab";
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
    co_await pause(Milliseconds(600));
    const std::string rest = "cd";
    co_await asio::async_write(socket, asio::buffer(rest), asio::use_awaitable);
    std::string answer;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n",
                                    asio::use_awaitable);
    // It has not run, and is said not to have.
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(server.arrivals().empty());
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
