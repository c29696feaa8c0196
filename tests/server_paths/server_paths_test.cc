// What a node concludes about a server that it cannot reach directly, by what another node finds.

#include "server_paths/server_paths.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include "log/log.h"
#include "peer/http_call.h"
#include "server_paths/tunnel_service.h"

namespace calicodrift::server_paths {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using Tcp = asio::ip::tcp;

/// A call that may leave its server, and one that may not.
const MovePermission kMayMove = [] { return true; };
const MovePermission kStays;

/// One node whose direct path can be closed, one other node, and a server.
class Fixture {
 public:
  Fixture() {
    log::silence();
    closed.open(Tcp::v4());
    closed.bind({asio::ip::make_address("127.0.0.1"), 0});
    server = listener.listen(Endpoint{"127.0.0.1", 0}).value();
    otherServer = otherListener.listen(Endpoint{"127.0.0.1", 0}).value();
    const Endpoint peer = peerServer.listen(Endpoint{"127.0.0.1", 0}).value();
    neighbours.push_back(peer);
    paths.start();
  }

  Endpoint closedEndpoint() const { return {"127.0.0.1", closed.local_endpoint().port()}; }
  http::ClientSettings redirect(const bool& redirected) {
    http::ClientSettings settings;
    settings.addressOf = [this, &redirected](const Endpoint& endpoint) {
      const bool leadsToServer = endpoint == server || endpoint == otherServer;
      return leadsToServer && redirected ? closedEndpoint() : endpoint;
    };
    return settings;
  }
  ServerPathsSettings settings() const {
    ServerPathsSettings made;
    made.node = "n1";
    // Nothing listens there; a node without an address knows no others.
    made.endpoint = Endpoint{"127.0.0.1", 1};
    return made;
  }
  awaitable<Result<http::ClientConnection>> connect() {
    PathOptions options;
    options.use = http::ConnectionUse::kFresh;
    co_return co_await paths.connect(server, options);
  }
  awaitable<void> answer(http::ResponseWriter& writer) {
    while (silent) {
      co_await pause(Milliseconds(10));
    }
    http::Response done = http::textResponse(200, "done");
    co_await http::respond(writer, std::move(done));
  }
  /// Sends a call that is never answered, and lets the server be silent for `time`. Returns the
  /// reason for which the call was ended.
  awaitable<std::string_view> endAfterSilence(MovePermission mayMove, Milliseconds time) {
    http::ExchangeCanceller canceller;
    const auto call = paths.beginCall(http::ConnectionPath(server), std::move(mayMove), &canceller);
    silent = true;
    co_await pause(time);
    silent = false;
    co_return call->endedFor;
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

  asio::io_context context;
  Tcp::acceptor closed{context};
  prometheus::Registry registry;
  ServerPathMetrics metrics{registry};
  bool ownRefused = false;
  bool peerRefused = false;
  bool peerLost = false;
  bool silent = false;
  std::size_t timesSilent = 0;
  http::Client client{context.get_executor(), redirect(ownRefused)};
  http::Client peerClient{context.get_executor(), redirect(peerRefused)};
  Endpoint server;
  Endpoint otherServer;
  std::vector<Endpoint> neighbours;
  TunnelService tunnels{
      {peerClient, metrics, [](const Endpoint&) { return true; },
       [this](const Endpoint&) { return peerLost; }, [] { return std::vector<Endpoint>(); }},
      {}};
  http::Server listener{
      context.get_executor(), http::ServerLimits{},
      [this](http::Request&, http::ResponseWriter& writer) { return answer(writer); }};
  http::Server otherListener{
      context.get_executor(), http::ServerLimits{},
      [this](http::Request&, http::ResponseWriter& writer) { return answer(writer); }};
  http::Server peerServer{context.get_executor(), http::ServerLimits{},
                          [this](http::Request& request, http::ResponseWriter& writer) {
                            return request.method == "CONNECT"
                                       ? tunnels.handleConnect(request, writer)
                                       : tunnels.answerStatus(request, writer);
                          }};
  std::vector<Endpoint> lost;
  ServerPaths paths{{context.get_executor(), client, metrics, [this] { return neighbours; },
                     [](const Endpoint&) { return true; },
                     [](const Endpoint&) { return std::optional(http::Request()); },
                     [this](const Endpoint& endpoint) { lost.push_back(endpoint); },
                     [this](const Endpoint&) { ++timesSilent; }},
                    settings(),
                    1};
};

BOOST_FIXTURE_TEST_SUITE(server_paths, Fixture)

/// Guards against bystanders that are barred: a cut that refuses connections looks like the end of
/// the server's process.
BOOST_AUTO_TEST_CASE(aRefusalThatOthersDoNotMeetIsNoEndOfAProcess) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.pause(Milliseconds(50));
    fixture.ownRefused = true;
    const Result<http::ClientConnection> relayed = co_await fixture.connect();
    BOOST_TEST((relayed && !relayed.value().path().direct()));
    BOOST_TEST(fixture.paths.isLost(fixture.server));
    BOOST_TEST(fixture.lost.size() == 1U);
  }(*this));
}

/// Guards against requests that fail one server after the other, each finding out anew that its
/// path is cut, although the paths to all servers were lost together.
BOOST_AUTO_TEST_CASE(aLossIsFollowedByChecksOfAllRecentlyUsedServers) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.pause(Milliseconds(50));
    fixture.paths.beginCall(http::ConnectionPath(fixture.otherServer), kStays, nullptr);
    fixture.ownRefused = true;
    const Result<http::ClientConnection> relayed = co_await fixture.connect();
    BOOST_TEST(relayed.has_value());
    co_await fixture.pause(Milliseconds(300));
    BOOST_TEST(fixture.paths.isLost(fixture.otherServer));
  }(*this));
}

BOOST_AUTO_TEST_CASE(aRefusalThatAnotherNodeMeetsIsOne) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.pause(Milliseconds(50));
    fixture.ownRefused = true;
    fixture.peerRefused = true;
    const Result<http::ClientConnection> refused = co_await fixture.connect();
    BOOST_TEST((!refused && refused.error().reason == http::kConnectionRefused));
    BOOST_TEST(!fixture.paths.isLost(fixture.server));
  }(*this));
}

/// The other node is cut off as well, so that nobody can tell.
BOOST_AUTO_TEST_CASE(aRefusalProvesNothingWhereNoOtherNodeCanTell) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.pause(Milliseconds(50));
    fixture.ownRefused = true;
    fixture.peerLost = true;
    const Result<http::ClientConnection> unknown = co_await fixture.connect();
    BOOST_TEST((!unknown && unknown.error().reason.empty()));
    BOOST_TEST(!fixture.paths.isLost(fixture.server));
  }(*this));
}

BOOST_AUTO_TEST_CASE(directPathIsUsedAgainSoonAfterItWorks) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.pause(Milliseconds(50));
    fixture.ownRefused = true;
    const Result<http::ClientConnection> relayed = co_await fixture.connect();
    BOOST_TEST(relayed.has_value());
    fixture.ownRefused = false;
    co_await fixture.pause(Milliseconds(500));
    const Result<http::ClientConnection> direct = co_await fixture.connect();
    BOOST_TEST((direct && direct.value().path().direct()));
  }(*this));
}

/// Guards against once-only requests that end as unknown, and against failovers by all nodes at
/// once, when a sound server stands still for a second or so.
BOOST_AUTO_TEST_CASE(callsOfAServerThatIsSilentForASecondStay) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.pause(Milliseconds(50));
    const std::string_view ended = co_await fixture.endAfterSilence(kMayMove, Milliseconds(1500));
    BOOST_TEST(ended.empty());
    BOOST_TEST(fixture.timesSilent > 0U);
    BOOST_TEST(!fixture.paths.isLost(fixture.server));
  }(*this));
}

BOOST_AUTO_TEST_CASE(movableCallsLeaveAServerThatStaysSilent) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.pause(Milliseconds(50));
    const std::string_view ended = co_await fixture.endAfterSilence(kMayMove, Milliseconds(2800));
    BOOST_TEST(ended == kServerSilent);
    const std::string_view fixedEnded =
        co_await fixture.endAfterSilence(kStays, Milliseconds(2800));
    BOOST_TEST(fixedEnded.empty());
  }(*this));
}

BOOST_AUTO_TEST_CASE(callThatMayNotBeRelayedStaysDirect) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.pause(Milliseconds(50));
    fixture.ownRefused = true;
    PathOptions options;
    options.relay = RelayUse::kNever;
    const Result<http::ClientConnection> refused =
        co_await fixture.paths.connect(fixture.server, options);
    BOOST_TEST(!refused.has_value());
  }(*this));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_paths
