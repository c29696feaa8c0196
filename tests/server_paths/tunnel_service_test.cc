// Calls to a server through a tunnel of another node: what passes, what is declined and why, and
// how each end of the tunnel shows at the caller.

#include "server_paths/tunnel_service.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "log/log.h"
#include "peer/http_call.h"
#include "support/scripted_server.h"

namespace calicodrift::server_paths {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using Tcp = asio::ip::tcp;

class Fixture {
 public:
  Fixture() {
    log::silence();
    serverEndpoint = server.listen(Endpoint{"127.0.0.1", 0}).value();
    peerEndpoint = peer.listen(Endpoint{"127.0.0.1", 0}).value();
  }

  awaitable<void> answer(http::Request& request, http::ResponseWriter& writer) {
    ++requestsReceived;
    if (request.path() == "/wait") {
      writer.onCallerGone([this] { goneAt = monotonicNow(); });
      asio::steady_timer timer(context, std::chrono::seconds(2));
      co_await timer.async_wait(asio::use_awaitable);
    }
    co_await http::respond(writer, http::textResponse(200, request.body));
  }

  awaitable<Result<http::ClientConnection>> connect(Endpoint endpoint) {
    http::ConnectOptions options;
    const http::ConnectionPath path(std::move(endpoint), peerEndpoint);
    co_return co_await client.connect(path, options);
  }
  /// The body of the answer; empty if there is none.
  awaitable<Result<http::Response>> call(std::string target, std::string body,
                                         http::ExchangeCanceller* canceller = nullptr) {
    Result<http::ClientConnection> connection = co_await connect(serverEndpoint);
    BOOST_REQUIRE(connection.has_value());
    http::Request request;
    request.method = "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    http::ExchangeOptions options;
    options.canceller = canceller;
    auto opened = co_await client.send(std::move(connection.value()), std::move(request), options);
    if (!opened) {
      co_return opened.error();
    }
    co_return co_await http::readWhole(*opened.value(), http::UnframedBody::kReject);
  }
  /// Reads an answer of the server through a tunnel to its end, and asks the node that carried it
  /// whether the server has ended it. Empty if the answer broke off.
  awaitable<std::optional<bool>> readToTunnelEnd() {
    Result<http::ClientConnection> connection = co_await connect(serverEndpoint);
    BOOST_REQUIRE(connection.has_value());
    http::Request request;
    const http::ExchangeOptions options;
    auto opened = co_await client.send(std::move(connection.value()), std::move(request), options);
    BOOST_REQUIRE(opened.has_value());
    http::BodyPiece piece;
    while (!piece.end) {
      Result<http::BodyPiece> next = co_await opened.value()->read();
      if (!next) {
        co_return std::nullopt;
      }
      piece = std::move(next.value());
    }
    BOOST_TEST((piece.end == http::BodyEnd::kConnection));
    const std::optional<http::Tunnel> tunnel = opened.value()->tunnel();
    BOOST_REQUIRE(tunnel.has_value());
    const TunnelEndQuery query{tunnel->id.value()};
    constexpr Milliseconds kTimeout{500};
    const Result<TunnelEnd> end = co_await peer::callPeer<TunnelEnd>(
        client, peerEndpoint, kTunnelEndPath, query, kTimeout, kTimeout);
    co_return end&& end.value().endedByServer;
  }
  awaitable<std::string_view> reasonOf(Endpoint endpoint) {
    const Result<http::ClientConnection> connection = co_await connect(std::move(endpoint));
    co_return connection ? std::string_view("opened") : connection.error().reason;
  }
  awaitable<void> pause(Milliseconds time) {
    asio::steady_timer timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
  }
  void run(awaitable<void> body) {
    bool finished = false;
    asio::co_spawn(context, std::move(body), [&](const std::exception_ptr& failure) {
      finished = failure == nullptr;
      context.stop();
    });
    context.run_for(std::chrono::seconds(10));
    BOOST_TEST(finished);
  }

  std::size_t requestsReceived = 0;
  asio::io_context context;
  prometheus::Registry registry;
  ServerPathMetrics metrics{registry};
  http::Client client{context.get_executor()};
  http::Client peerClient{context.get_executor()};
  bool listed = true;
  bool lost = false;
  TunnelService tunnels{
      {peerClient, metrics, [this](const Endpoint&) { return listed; },
       [this](const Endpoint&) { return lost; }, [] { return std::vector<Endpoint>(); }},
      {}};
  http::Server server{context.get_executor(), http::ServerLimits{},
                      [this](http::Request& request, http::ResponseWriter& writer) {
                        return answer(request, writer);
                      }};
  http::Server peer{context.get_executor(), http::ServerLimits{},
                    [this](http::Request& request, http::ResponseWriter& writer) {
                      return request.path() == kTunnelEndPath
                                 ? tunnels.answerEnd(request, writer)
                                 : tunnels.handleConnect(request, writer);
                    }};
  Endpoint serverEndpoint;
  Endpoint peerEndpoint;
  std::optional<MonotonicTime> goneAt;
};

BOOST_FIXTURE_TEST_SUITE(tunnel_service, Fixture)

/// Guards against a request that a carrying node passes on although its sender has given it up
/// meanwhile: the node stood still, and finds the request and the close together.
BOOST_AUTO_TEST_CASE(requestWhoseSenderHasClosedIsNotPassedOn) {
  run([](Fixture& fixture) -> awaitable<void> {
    Tcp::socket sender(fixture.context);
    const auto address = asio::ip::make_address(fixture.peerEndpoint.address);
    co_await sender.async_connect({address, fixture.peerEndpoint.port}, asio::use_awaitable);
    const std::string server = fixture.serverEndpoint.toString();
    const std::string ask = "CONNECT " + server + " HTTP/1.1\r\nHost: " + server + "\r\n\r\n";
    co_await asio::async_write(sender, asio::buffer(ask), asio::use_awaitable);
    std::string head;
    co_await asio::async_read_until(sender, asio::dynamic_buffer(head), "\r\n\r\n",
                                    asio::use_awaitable);
    BOOST_TEST(head.starts_with("HTTP/1.1 200"));
    // Within one turn of the loop that both nodes share.
    asio::write(sender, asio::buffer(std::string("GET /late HTTP/1.1\r\nHost: h\r\n\r\n")));
    sender.close();
    co_await fixture.pause(Milliseconds(100));
    BOOST_TEST(fixture.requestsReceived == 0U);
    BOOST_TEST(fixture.server.openConnections() == 0U);
  }(*this));
}

BOOST_AUTO_TEST_CASE(largeBodiesPassUnchangedAndTheTunnelIsUsedAgain) {
  run([](Fixture& fixture) -> awaitable<void> {
    const std::string body(1'000'000, 'x');
    for (int number = 0; number < 3; ++number) {
      const Result<http::Response> answer = co_await fixture.call("/echo", body);
      BOOST_TEST(answer.has_value());
      BOOST_TEST((answer && answer.value().body == body));
    }
    BOOST_TEST(fixture.tunnels.open() == 1U);
    BOOST_TEST(fixture.server.openConnections() == 1U);
  }(*this));
}

/// Each cause is one that its caller acts on differently; none of them may be taken for proof that
/// the server has ended but a refused connection.
BOOST_AUTO_TEST_CASE(causesOfDeclinedTunnelsAreTold) {
  run([](Fixture& fixture) -> awaitable<void> {
    Tcp::acceptor closed(fixture.context);
    closed.open(Tcp::v4());
    closed.bind({asio::ip::make_address("127.0.0.1"), 0});
    const Endpoint refusing{"127.0.0.1", closed.local_endpoint().port()};
    const std::string_view refused = co_await fixture.reasonOf(refusing);
    BOOST_TEST(refused == http::kConnectionRefused);
    fixture.lost = true;
    const std::string_view lost = co_await fixture.reasonOf(fixture.serverEndpoint);
    BOOST_TEST(lost == http::kProxyDeclined);
    fixture.lost = false;
    fixture.listed = false;
    const std::string_view unlisted = co_await fixture.reasonOf(fixture.serverEndpoint);
    BOOST_TEST(unlisted == http::kProxyDeclined);
    fixture.listed = true;
    fixture.tunnels.drain();
    const std::string_view draining = co_await fixture.reasonOf(fixture.serverEndpoint);
    BOOST_TEST(draining == http::kProxyDeclined);
    fixture.peerEndpoint = refusing;
    const std::string_view failed = co_await fixture.reasonOf(fixture.serverEndpoint);
    BOOST_TEST(failed == http::kProxyFailed);
  }(*this));
}

/// A node of a build without tunnels answers 404.
BOOST_AUTO_TEST_CASE(nodeWithoutTunnelsDeclines) {
  run([](Fixture& fixture) -> awaitable<void> {
    http::Server old(fixture.context.get_executor(), http::ServerLimits{},
                     [](http::Request&, http::ResponseWriter& writer) -> awaitable<void> {
                       http::Response missing = http::textResponse(404, "no such path\n");
                       co_await http::respond(writer, std::move(missing));
                     });
    fixture.peerEndpoint = old.listen(Endpoint{"127.0.0.1", 0}).value();
    const std::string_view reason = co_await fixture.reasonOf(fixture.serverEndpoint);
    BOOST_TEST(reason == http::kProxyDeclined);
  }(*this));
}

/// Guards against servers that work on for callers who have left.
BOOST_AUTO_TEST_CASE(cancelledCallReachesTheServerSoon) {
  run([](Fixture& fixture) -> awaitable<void> {
    http::ExchangeCanceller canceller;
    MonotonicTime cancelledAt;
    asio::co_spawn(
        fixture.context,
        [](Fixture& inner, http::ExchangeCanceller& cancel, MonotonicTime& at) -> awaitable<void> {
          co_await inner.pause(Milliseconds(200));
          at = monotonicNow();
          cancel.cancel();
        }(fixture, canceller, cancelledAt),
        asio::detached);
    const Result<http::Response> answer = co_await fixture.call("/wait", "", &canceller);
    BOOST_TEST(!answer.has_value());
    co_await fixture.pause(Milliseconds(100));
    BOOST_REQUIRE(fixture.goneAt.has_value());
    BOOST_TEST((*fixture.goneAt - cancelledAt < Milliseconds(100)));
    BOOST_TEST(fixture.tunnels.open() == 0U);
  }(*this));
}

/// Sends the head of an answer without a length and some bytes, then ends or resets the connection.
awaitable<void> answerWithoutLength(Tcp::acceptor& acceptor, bool reset) {
  Tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
  std::string request;
  co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                  asio::use_awaitable);
  const std::string answer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
  co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
  asio::steady_timer timer(socket.get_executor(), Milliseconds(100));
  co_await timer.async_wait(asio::use_awaitable);
  socket.set_option(asio::socket_base::linger(reset, 0));
  // The destructor would switch the option off.
  socket.close();
}

/// Guards against an answer that looks complete because the node that passed it on, or its server,
/// broke off: without a length its end is the end of the connection.
BOOST_AUTO_TEST_CASE(answerWithoutLengthIsNeverTakenForWhole) {
  for (const bool reset : {true, false}) {
    asio::io_context& io = context;
    io.restart();
    run([](Fixture& fixture, bool resets) -> awaitable<void> {
      Tcp::acceptor acceptor(fixture.context, {asio::ip::make_address("127.0.0.1"), 0});
      fixture.serverEndpoint = Endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
      asio::co_spawn(fixture.context, answerWithoutLength(acceptor, resets), asio::detached);
      const Result<http::Response> answer = co_await fixture.call("/", "");
      BOOST_TEST(!answer.has_value());
      BOOST_TEST((!answer && answer.error().kind == ErrorKind::kStreamBroken));
    }(*this, reset));
  }
}

/// Guards against sound answers without a length that are lost at nodes that cannot reach a server.
BOOST_AUTO_TEST_CASE(theCarryingNodeKnowsThatTheServerHasEndedTheTunnel) {
  for (const bool reset : {true, false}) {
    context.restart();
    run([](Fixture& fixture, bool resets) -> awaitable<void> {
      Tcp::acceptor acceptor(fixture.context, {asio::ip::make_address("127.0.0.1"), 0});
      fixture.serverEndpoint = Endpoint{"127.0.0.1", acceptor.local_endpoint().port()};
      asio::co_spawn(fixture.context, answerWithoutLength(acceptor, resets), asio::detached);
      const std::optional<bool> ended = co_await fixture.readToTunnelEnd();
      BOOST_TEST(ended.has_value() == !resets);
      BOOST_TEST(ended.value_or(true));
    }(*this, reset));
  }
}

/// A node that ends looks like a server that has finished; one of an earlier build does not know.
BOOST_AUTO_TEST_CASE(endsOfTunnelsThatTheCarryingNodeDoesNotKnowAreNotTheServers) {
  testing::ScriptedServer carrier(context, [](const http::Request& request) {
    testing::ScriptedAnswer answer;
    if (request.method == "CONNECT") {
      answer.pieces = {testing::ScriptedServer::head("")};
    } else if (request.path() == kTunnelEndPath) {
      answer.pieces = {testing::ScriptedServer::head("Content-Length: 0\r\n", "404 Not Found")};
    } else {
      answer.pieces = {testing::ScriptedServer::head("Connection: close\r\n") + "half"};
      answer.end = testing::ConnectionEnd::kClose;
    }
    return answer;
  });
  peerEndpoint = carrier.endpoint();
  run([](Fixture& fixture) -> awaitable<void> {
    const std::optional<bool> ended = co_await fixture.readToTunnelEnd();
    BOOST_REQUIRE(ended.has_value());
    BOOST_TEST(!*ended);
  }(*this));
}

BOOST_AUTO_TEST_CASE(endedTunnelsAreForgottenAfterAWhileAndBeyondTheBound) {
  TunnelEnds ends;
  const MonotonicTime start{std::chrono::seconds(1)};
  for (std::uint64_t id = 0; id <= TunnelEnds::kMaxEnds; ++id) {
    ends.record(http::TunnelId(id), start);
  }
  BOOST_TEST(!ends.endedByServer(http::TunnelId(0), start));
  BOOST_TEST(ends.endedByServer(http::TunnelId(1), start));
  BOOST_TEST(!ends.endedByServer(http::TunnelId(TunnelEnds::kMaxEnds + 1), start));
  const MonotonicTime late = start + TunnelEnds::kRetention + Milliseconds(1);
  BOOST_TEST(!ends.endedByServer(http::TunnelId(1), late));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_paths
