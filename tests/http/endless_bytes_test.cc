// Guards against bytes that are no answer and come without end: they must neither fill the memory
// nor keep their reader for longer than its time limit.

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "http/client.h"
#include "http/server.h"
#include "support/scripted_server.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using testing::ScriptedAnswer;
using testing::ScriptedServer;

/// Buffers of the kernel, and what a reader takes before it closes.
constexpr std::size_t kMostBytesTaken = 12'000'000;
constexpr Milliseconds kTimeLimit{1000};
constexpr Milliseconds kSlack{500};

/// How one exchange went.
struct Outcome {
  std::optional<Error> error;
  std::string body;
  MonotonicTime::duration time{};
};

struct Fixture {
  asio::io_context context;
  ScriptedAnswer next;
  ScriptedServer server{context, [this](const Request&) { return next; }};
  Client client{context.get_executor()};

  static ScriptedAnswer endless(std::string begin, std::string repeated,
                                Milliseconds gap = Milliseconds(0)) {
    ScriptedAnswer answer;
    answer.pieces = {std::move(begin)};
    answer.pieceGap = gap;
    answer.endless = std::move(repeated);
    return answer;
  }
  static std::string repeated(const std::string& text, std::size_t bytes) {
    std::string whole;
    while (whole.size() < bytes) {
      whole += text;
    }
    return whole;
  }
  static ExchangeOptions options() {
    ExchangeOptions options;
    options.headerTimeout = kTimeLimit / 2;
    options.bodyTimeout = kTimeLimit / 2;
    return options;
  }

  awaitable<Outcome> exchange(ExchangeOptions options) {
    const MonotonicTime begin = monotonicNow();
    Request request;
    Result<Response> answer =
        co_await client.exchange(server.endpoint(), std::move(request), options);
    Outcome outcome;
    outcome.time = monotonicNow() - begin;
    if (answer) {
      outcome.body = answer.value().body;
    } else {
      outcome.error = answer.error();
    }
    co_return outcome;
  }
  /// Runs the body for five time limits at most; a reader that is kept longer has no limit.
  void run(const std::function<awaitable<void>()>& body) {
    bool finished = false;
    asio::co_spawn(context, body(), [&](const std::exception_ptr& failure) {
      finished = failure == nullptr;
      context.stop();
    });
    context.run_for(5 * kTimeLimit);
    BOOST_TEST(finished, "the reader did not end");
    BOOST_TEST(server.endlessBytes() < kMostBytesTaken);
  }
  /// Of answers that end with an error.
  void checkFails(ScriptedAnswer answer) {
    next = std::move(answer);
    run([this]() -> awaitable<void> {
      const Outcome outcome = co_await exchange(options());
      BOOST_TEST(outcome.error.has_value());
      BOOST_CHECK(outcome.time < kTimeLimit + kSlack);
    });
  }
};

const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const Milliseconds kDrip{5};

BOOST_FIXTURE_TEST_SUITE(endless_bytes, Fixture)

BOOST_AUTO_TEST_CASE(bytesThatAreNoHeadEndTheExchange) {
  checkFails(endless("noise ", repeated("noise ", 16'384)));
}

BOOST_AUTO_TEST_CASE(aHeadWithoutEndEndsTheExchange) {
  checkFails(endless("HTTP/1.1 200 OK\r\nX-A: ", repeated("a", 16'384)));
}

BOOST_AUTO_TEST_CASE(headFieldsWithoutEndEndTheExchange) {
  checkFails(endless("HTTP/1.1 200 OK\r\n", repeated("X-A: a\r\n", 16'384)));
}

BOOST_AUTO_TEST_CASE(aHeadThatDripsEndsTheExchange) {
  checkFails(endless("HTTP/1.1 200 OK\r\n", "X-A: a\r\n", kDrip));
}

/// Guards against a reader that reads interim heads for ever, past its time limit.
BOOST_AUTO_TEST_CASE(interimHeadsWithoutEndEndTheExchange) {
  checkFails(
      endless("HTTP/1.1 100 Continue\r\n\r\n", repeated("HTTP/1.1 100 Continue\r\n\r\n", 16'384)));
}

BOOST_AUTO_TEST_CASE(interimHeadsThatDripEndTheExchange) {
  checkFails(endless("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", kDrip));
}

/// A sound server may send some of them.
BOOST_AUTO_TEST_CASE(anAnswerAfterSomeInterimHeadsIsRead) {
  next.pieces = {repeated("HTTP/1.1 102 Processing\r\n\r\n", 500),
                 ScriptedServer::head("Content-Length: 5\r\n") + "whole"};
  run([this]() -> awaitable<void> {
    const Outcome outcome = co_await exchange(options());
    BOOST_TEST(outcome.body == "whole");
  });
}

/// Guards against a chunk's extension that fills the memory.
BOOST_AUTO_TEST_CASE(aChunkExtensionWithoutEndEndsTheExchange) {
  checkFails(endless(ScriptedServer::head(kChunked) + "5;a=", repeated("a", 16'384)));
}

/// Guards against trailers that fill the memory.
BOOST_AUTO_TEST_CASE(trailersWithoutEndEndTheExchange) {
  checkFails(endless(ScriptedServer::head(kChunked) + "5\r\nwhole\r\n0\r\n",
                     repeated("X-A: a\r\n", 16'384)));
}

BOOST_AUTO_TEST_CASE(trailersThatDripEndTheExchange) {
  checkFails(endless(ScriptedServer::head(kChunked) + "5\r\nwhole\r\n0\r\n", "X-A: a\r\n", kDrip));
}

BOOST_AUTO_TEST_CASE(aBodyWithoutEndEndsTheExchange) {
  next = endless(ScriptedServer::head("Connection: close\r\n"), repeated("a", 16'384));
  run([this]() -> awaitable<void> {
    ExchangeOptions bounded = options();
    bounded.maxBodyBytes = 1'048'576;
    const Outcome outcome = co_await exchange(bounded);
    BOOST_TEST(outcome.error.has_value());
  });
}

/// Guards against a reader of a whole body that is kept for as long as bytes come.
BOOST_AUTO_TEST_CASE(aBodyThatDripsWithoutEndEndsTheExchange) {
  checkFails(endless(ScriptedServer::head("Connection: close\r\n"), "a", kDrip));
}

BOOST_AUTO_TEST_CASE(chunksThatDripWithoutEndEndTheExchange) {
  checkFails(endless(ScriptedServer::head(kChunked), "1\r\na\r\n", kDrip));
}

/// Nothing of what follows an answer is taken for the next one, or held.
BOOST_AUTO_TEST_CASE(bytesAfterAWholeAnswerAreNotTakenForTheNextAnswer) {
  const std::string answer = ScriptedServer::head("Content-Length: 5\r\n") + "whole";
  const std::string other = ScriptedServer::head("Content-Length: 5\r\n") + "other";
  run([&]() -> awaitable<void> {
    for (const std::string& begin : {answer, answer + other}) {
      next = endless(begin, repeated(other, 16'384));
      const Outcome first = co_await exchange(options());
      BOOST_TEST_INFO((first.error ? first.error->detail : std::string()));
      BOOST_TEST(first.body == "whole");
      asio::steady_timer timer(context, Milliseconds(50));
      co_await timer.async_wait(asio::use_awaitable);
      next = {{answer}};
      const Outcome second = co_await exchange(options());
      BOOST_TEST(second.body == "whole");
    }
  });
}

/// A tunnel holds one piece for each direction, so that a caller that reads nothing stops the
/// server.
BOOST_AUTO_TEST_CASE(aTunnelHoldsNoMoreThanItsCallerReads) {
  next = endless(ScriptedServer::head("Connection: close\r\n"), repeated("a", 16'384));
  Client toServer(context.get_executor());
  Handler handler = [&](Request&, ResponseWriter& writer) -> awaitable<void> {
    ConnectOptions connecting;
    connecting.use = ConnectionUse::kFresh;
    Result<ClientConnection> opened =
        co_await toServer.connect(ConnectionPath(server.endpoint()), connecting);
    BOOST_REQUIRE(opened.has_value());
    TunnelOptions tunnel;
    tunnel.idleTimeout = Milliseconds(200);
    const Result<TunnelTotals> totals =
        co_await writer.tunnel(std::move(opened.value()), std::move(tunnel));
    static_cast<void>(totals);
  };
  Server proxy(context.get_executor(), ServerLimits{}, handler);
  const Result<Endpoint> proxyEndpoint = proxy.listen({"127.0.0.1", 0});
  BOOST_REQUIRE(proxyEndpoint.has_value());
  run([&]() -> awaitable<void> {
    ConnectionPath path(server.endpoint());
    path.proxy = proxyEndpoint.value();
    ConnectOptions connecting;
    Result<ClientConnection> connected = co_await client.connect(path, connecting);
    BOOST_REQUIRE(connected.has_value());
    Request request;
    Result<std::unique_ptr<ResponseStream>> opened =
        co_await client.send(std::move(connected.value()), std::move(request), options());
    BOOST_REQUIRE(opened.has_value());
    asio::steady_timer timer(context, kTimeLimit);
    co_await timer.async_wait(asio::use_awaitable);
    BOOST_TEST(server.endlessBytes() < kMostBytesTaken);
    opened.value().reset();
    timer.expires_after(Milliseconds(100));
    co_await timer.async_wait(asio::use_awaitable);
    BOOST_TEST(server.openConnections() == 0U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::http
