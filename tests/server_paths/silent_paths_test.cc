// Sound servers, and nodes that carry calls, that stand still for a second or so and go on: no path
// is lost for it, and no call is ended. A path that is cut is still found.

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>

#include "log/log.h"
#include "server_paths/server_paths.h"
#include "server_paths/tunnel_service.h"
#include "support/hanging_listener.h"

namespace calicodrift::server_paths {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using Tcp = asio::ip::tcp;

const MovePermission kMayMove = [] { return true; };
const MovePermission kStays;

/// What a server that stands still leaves unanswered.
enum class Silence {
  /// Its process is stopped: the kernel still accepts connections.
  kProcess,
  /// Its host is stopped, or its queue of connections full: connections that begin meanwhile hang,
  /// also after it goes on.
  kHost,
};

/// How the path from the node to the server is cut.
enum class Cut { kNone, kHanging, kRefused };

awaitable<void> pause(asio::any_io_executor executor, Milliseconds time) {
  asio::steady_timer timer(executor, time);
  co_await timer.async_wait(asio::use_awaitable);
}

/// Addresses that lead nowhere.
struct DeadEnds {
  explicit DeadEnds(asio::io_context& context) : hanging(context), closedSocket(context) {
    closedSocket.open(Tcp::v4());
    closedSocket.bind({asio::ip::make_address("127.0.0.1"), 0});
  }
  Endpoint closed() const { return {"127.0.0.1", closedSocket.local_endpoint().port()}; }

  testing::HangingListener hanging;
  Tcp::acceptor closedSocket;
};

/// A server that may stand still, and the other nodes' way to it.
class Server {
 public:
  Server(asio::io_context& context, const DeadEnds& deadEnds)
      : context_(context), deadEnds_(deadEnds) {
    endpoint = listener_.listen(Endpoint{"127.0.0.1", 0}).value();
  }

  awaitable<void> standStill(Silence kind, Milliseconds time) {
    bool& silent = kind == Silence::kHost ? hostSilent_ : processSilent_;
    silent = true;
    co_await pause(context_.get_executor(), time);
    silent = false;
  }
  Endpoint address() const { return hostSilent_ ? deadEnds_.hanging.endpoint() : endpoint; }

  Endpoint endpoint;

 private:
  awaitable<void> answer(http::ResponseWriter& writer) {
    while (hostSilent_ || processSilent_) {
      co_await pause(context_.get_executor(), Milliseconds(10));
    }
    http::Response done = http::textResponse(200, "done");
    co_await http::respond(writer, std::move(done));
  }

  asio::io_context& context_;
  const DeadEnds& deadEnds_;
  bool hostSilent_ = false;
  bool processSilent_ = false;
  http::Server listener_{
      context_.get_executor(), http::ServerLimits{},
      [this](http::Request&, http::ResponseWriter& writer) { return answer(writer); }};
};

/// The node under test, with one server.
class Node {
 public:
  Node(asio::io_context& context, const DeadEnds& deadEnds, ServerPathMetrics& metrics,
       Endpoint peer, std::uint64_t seed)
      : server(context, deadEnds),
        deadEnds_(deadEnds),
        client(context.get_executor(), clientSettings()),
        paths(
            {context.get_executor(), client, metrics,
             [peer = std::move(peer)] { return std::vector<Endpoint>{peer}; },
             [](const Endpoint&) { return true; },
             [](const Endpoint&) { return std::optional(http::Request()); },
             [this](const Endpoint&) { lostAt.push_back(monotonicNow()); }, [](const Endpoint&) {}},
            pathSettings(), seed) {
    paths.start();
  }

  std::shared_ptr<CallInFlight> beginCall(MovePermission mayMove,
                                          http::ExchangeCanceller* canceller = nullptr) {
    return paths.beginCall(http::ConnectionPath(server.endpoint), std::move(mayMove), canceller);
  }
  awaitable<bool> connect() {
    PathOptions options;
    options.use = http::ConnectionUse::kFresh;
    Result<http::ClientConnection> connection = co_await paths.connect(server.endpoint, options);
    co_return connection.has_value();
  }

  Server server;
  Cut cut = Cut::kNone;

 private:
  http::ClientSettings clientSettings() {
    http::ClientSettings settings;
    settings.addressOf = [this](const Endpoint& endpoint) {
      return endpoint == server.endpoint ? address() : endpoint;
    };
    return settings;
  }
  Endpoint address() const {
    switch (cut) {
      case Cut::kHanging:
        return deadEnds_.hanging.endpoint();
      case Cut::kRefused:
        return deadEnds_.closed();
      default:
        return server.address();
    }
  }
  static ServerPathsSettings pathSettings() {
    ServerPathsSettings settings;
    settings.node = "n1";
    // Nothing listens there; a node without an address knows no others.
    settings.endpoint = Endpoint{"127.0.0.1", 1};
    return settings;
  }

  const DeadEnds& deadEnds_;

 public:
  http::Client client;
  std::vector<MonotonicTime> lostAt;
  ServerPaths paths;
};

/// Any number of nodes with a server each, and one other node that reaches all servers.
class Fixture {
 public:
  Fixture() {
    log::silence();
    peer = peerServer.listen(Endpoint{"127.0.0.1", 0}).value();
  }

  Node& addNode(std::uint64_t seed = 1) {
    nodes.push_back(std::make_unique<Node>(context, deadEnds, metrics, peer, seed));
    servers[nodes.back()->server.endpoint] = &nodes.back()->server;
    return *nodes.back();
  }
  http::ClientSettings peerSettings() {
    http::ClientSettings settings;
    settings.addressOf = [this](const Endpoint& endpoint) {
      const auto found = servers.find(endpoint);
      return found == servers.end() ? endpoint : found->second->address();
    };
    return settings;
  }
  awaitable<void> answerPeer(http::Request& request, http::ResponseWriter& writer) {
    while (peerSilent) {
      co_await pause(context.get_executor(), Milliseconds(10));
    }
    if (request.method == "CONNECT") {
      co_await tunnels.handleConnect(request, writer);
    } else {
      co_await tunnels.answerStatus(request, writer);
    }
  }
  /// A call through the other node, which stands still for `time`. Returns the reason for which the
  /// call was ended.
  awaitable<std::string_view> endAfterPeersSilence(Node& node, Milliseconds time) {
    node.cut = Cut::kRefused;
    PathOptions options;
    options.use = http::ConnectionUse::kFresh;
    Result<http::ClientConnection> carried =
        co_await node.paths.connect(node.server.endpoint, options);
    BOOST_REQUIRE((carried && !carried.value().path().direct()));
    http::ExchangeCanceller canceller;
    const auto call = node.paths.beginCall(carried.value().path(), kMayMove, &canceller);
    peerSilent = true;
    co_await wait(time);
    peerSilent = false;
    co_return call->endedFor;
  }
  awaitable<void> wait(Milliseconds time) { return pause(context.get_executor(), time); }
  void run(awaitable<void> body) {
    bool finished = false;
    asio::co_spawn(context, std::move(body), [&](const std::exception_ptr& failure) {
      finished = failure == nullptr;
      context.stop();
    });
    context.run_for(std::chrono::seconds(30));
    BOOST_TEST(finished);
  }

  asio::io_context context;
  DeadEnds deadEnds{context};
  prometheus::Registry registry;
  ServerPathMetrics metrics{registry};
  std::map<Endpoint, const Server*> servers;
  http::Client peerClient{context.get_executor(), peerSettings()};
  TunnelService tunnels{
      {peerClient, metrics, [](const Endpoint&) { return true; },
       [](const Endpoint&) { return false; }, [] { return std::vector<Endpoint>(); }},
      {}};
  bool peerSilent = false;
  http::Server peerServer{context.get_executor(), http::ServerLimits{},
                          [this](http::Request& request, http::ResponseWriter& writer) {
                            return answerPeer(request, writer);
                          }};
  Endpoint peer;
  std::vector<std::unique_ptr<Node>> nodes;
};

BOOST_FIXTURE_TEST_SUITE(silent_paths, Fixture)

/// Guards against a sound server whose direct path counts as lost, since it wakes after it was
/// asked directly and before it is asked through another node.
BOOST_AUTO_TEST_CASE(aServerThatWakesBetweenTwoQuestionsIsNoLostPath) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.wait(Milliseconds(50));
    std::vector<std::shared_ptr<CallInFlight>> calls;
    constexpr int kFirstMs = 300;
    constexpr int kStepMs = 25;
    constexpr int kNodes = 40;
    for (int number = 0; number < kNodes; ++number) {
      Node& node = fixture.addNode();
      co_await fixture.wait(Milliseconds(1));
      calls.push_back(node.beginCall(kStays));
      asio::co_spawn(
          fixture.context,
          node.server.standStill(Silence::kProcess, Milliseconds(kFirstMs + kStepMs * number)),
          asio::detached);
    }
    co_await fixture.wait(Milliseconds(2000));
    for (int number = 0; number < kNodes; ++number) {
      BOOST_TEST(fixture.nodes[static_cast<std::size_t>(number)]->lostAt.empty(),
                 "silent for " << kFirstMs + kStepMs * number << " ms");
    }
  }(*this));
}

/// Guards against the same where a connection hangs, and one that another node begins a moment
/// later does not.
BOOST_AUTO_TEST_CASE(aConnectionThatHangsWhileItsServerStandsStillIsNoLostPath) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.wait(Milliseconds(50));
    Node& node = fixture.addNode();
    co_await fixture.wait(Milliseconds(50));
    asio::co_spawn(fixture.context, node.server.standStill(Silence::kHost, Milliseconds(30)),
                   asio::detached);
    const bool connected = co_await node.connect();
    BOOST_TEST(connected);
    co_await fixture.wait(Milliseconds(800));
    BOOST_TEST(node.lostAt.empty());
  }(*this));
}

BOOST_AUTO_TEST_CASE(aPathOnWhichConnectionsHangIsLost) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.wait(Milliseconds(50));
    Node& node = fixture.addNode();
    co_await fixture.wait(Milliseconds(50));
    node.cut = Cut::kHanging;
    const bool connected = co_await node.connect();
    BOOST_TEST(connected);
    co_await fixture.wait(Milliseconds(350));
    BOOST_TEST(node.lostAt.size() == 1U);
  }(*this));
}

BOOST_AUTO_TEST_CASE(aPathOnWhichACallFallsSilentIsLost) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.wait(Milliseconds(50));
    Node& node = fixture.addNode();
    co_await fixture.wait(Milliseconds(50));
    const auto call = node.beginCall(kStays);
    node.cut = Cut::kHanging;
    // The silence before the check, one tick, and the time of a direct question.
    co_await fixture.wait(Milliseconds(300 + 50 + 200 + 100));
    BOOST_TEST(node.lostAt.size() == 1U);
  }(*this));
}

/// Guards against calls that are ended, and run again, as the node that carries them stands still.
BOOST_AUTO_TEST_CASE(callsThroughANodeThatIsSilentForASecondStay) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.wait(Milliseconds(50));
    Node& node = fixture.addNode();
    co_await fixture.wait(Milliseconds(50));
    const std::string_view ended = co_await fixture.endAfterPeersSilence(node, Milliseconds(1300));
    BOOST_TEST(ended.empty());
  }(*this));
}

BOOST_AUTO_TEST_CASE(movableCallsLeaveANodeThatStaysSilent) {
  run([](Fixture& fixture) -> awaitable<void> {
    co_await fixture.wait(Milliseconds(50));
    Node& node = fixture.addNode();
    co_await fixture.wait(Milliseconds(50));
    const std::string_view ended = co_await fixture.endAfterPeersSilence(node, Milliseconds(2800));
    BOOST_TEST(ended == kPathLost);
  }(*this));
}

BOOST_AUTO_TEST_SUITE_END()

constexpr std::uint64_t kCases = 400;

/// One node, its server's silences, and a cut, all at drawn moments.
class DrawnCase {
 public:
  DrawnCase(asio::io_context& context, Node& node, std::uint64_t seed)
      : context_(context), node_(node), random_(seed), withCut_(seed % 4 == 0) {}

  void start() {
    spawn(fallSilent());
    spawn(keepCall());
    spawn(keepConnecting());
    if (withCut_) {
      spawn(cutPath());
    }
  }
  void stop() { over_ = true; }
  bool withCut() const { return withCut_; }
  /// Losses of a path that was not cut.
  std::size_t wronglyLost() const {
    return static_cast<std::size_t>(
        std::count_if(node_.lostAt.begin(), node_.lostAt.end(),
                      [this](MonotonicTime at) { return !cutAt_ || at < *cutAt_; }));
  }
  bool cutFound() const { return node_.lostAt.size() > wronglyLost(); }

  static constexpr Milliseconds kCutAfter{1500};

 private:
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  Milliseconds drawMs(std::uint64_t below) {
    return Milliseconds(static_cast<std::int64_t>(draw(below)));
  }
  awaitable<void> wait(Milliseconds time) { return pause(context_.get_executor(), time); }
  void spawn(awaitable<void> part) { asio::co_spawn(context_, std::move(part), asio::detached); }

  /// Once, or several times in a row.
  awaitable<void> fallSilent() {
    constexpr std::array<Milliseconds, 4> kTimes{Milliseconds(300), Milliseconds(600),
                                                 Milliseconds(1000), Milliseconds(1500)};
    co_await wait(drawMs(400));
    do {
      const Silence kind = draw(2) == 0 ? Silence::kProcess : Silence::kHost;
      const Milliseconds time = kTimes.at(draw(kTimes.size()));
      co_await node_.server.standStill(kind, time);
      co_await wait(Milliseconds(50) + drawMs(600));
    } while (draw(2) == 0 && !over_ && !cutAt_);
  }
  /// A call whose answer does not begin.
  awaitable<void> keepCall() {
    co_await wait(drawMs(600));
    call_ = node_.beginCall(kStays);
  }
  awaitable<void> keepConnecting() {
    const Milliseconds interval = Milliseconds(20) + drawMs(300);
    while (!over_) {
      co_await wait(interval);
      static_cast<void>(co_await node_.connect());
    }
  }
  awaitable<void> cutPath() {
    co_await wait(kCutAfter + drawMs(300));
    cutAt_ = monotonicNow();
    node_.cut = draw(2) == 0 ? Cut::kHanging : Cut::kRefused;
  }

  asio::io_context& context_;
  Node& node_;
  std::mt19937_64 random_;
  const bool withCut_;
  std::shared_ptr<CallInFlight> call_;
  std::optional<MonotonicTime> cutAt_;
  bool over_ = false;
};

BOOST_FIXTURE_TEST_SUITE(drawn_silences, Fixture)

/// 0 lost paths from silence alone; each path that is cut is found.
BOOST_AUTO_TEST_CASE(onlyCutPathsAreLost) {
  run([](Fixture& fixture) -> awaitable<void> {
    std::vector<std::unique_ptr<DrawnCase>> cases;
    for (std::uint64_t seed = 1; seed <= kCases; ++seed) {
      cases.push_back(std::make_unique<DrawnCase>(fixture.context, fixture.addNode(seed), seed));
    }
    co_await fixture.wait(Milliseconds(100));
    for (const auto& drawn : cases) {
      drawn->start();
    }
    // The longest silence may begin right before the latest cut.
    co_await fixture.wait(DrawnCase::kCutAfter + Milliseconds(300 + 1500 + 1200));
    std::size_t wronglyLost = 0;
    std::size_t missed = 0;
    std::size_t cuts = 0;
    for (const auto& drawn : cases) {
      drawn->stop();
      wronglyLost += drawn->wronglyLost();
      cuts += drawn->withCut() ? 1 : 0;
      missed += drawn->withCut() && !drawn->cutFound() ? 1 : 0;
    }
    BOOST_TEST_MESSAGE(kCases << " cases, " << cuts << " cuts: " << wronglyLost
                              << " paths wrongly lost, " << missed << " cuts not found");
    BOOST_TEST(wronglyLost == 0U);
    BOOST_TEST(missed == 0U);
    co_await fixture.wait(Milliseconds(600));
  }(*this));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_paths
