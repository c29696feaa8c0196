// Guards against callers who are refused, or wait in vain, at nodes that have lost their paths to
// servers while the nodes beside them reach these servers.

#include "cut_network.h"
#include "fleet_callers.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

constexpr std::size_t kNodes = 7;
constexpr std::size_t kServers = 4;
/// A node serves again so long after the cut.
constexpr Milliseconds kUntilServed{1000};

/// Sum over the nodes from `first` up to `end`.
FleetCallers::Share shareOf(const FleetCallers& callers, std::size_t first, std::size_t end,
                            MonotonicTime since) {
  FleetCallers::Share sum;
  for (std::size_t node = first; node < end; ++node) {
    const FleetCallers::Share share = callers.shareOf(node, since);
    sum.sent += share.sent;
    sum.served += share.served;
  }
  return sum;
}

/// Fewer than 1 in 100 of the requests are not served.
void checkServed(const FleetCallers::Share& share, const std::string& who) {
  BOOST_TEST(share.sent > 0U);
  BOOST_TEST((share.sent - share.served) * 100 <= share.sent,
             who << ": " << share.served << " of " << share.sent);
}

/// Cuts the first `cutNodes` nodes off all servers, or off all but the first `servers`, and checks
/// who is served.
void checkCut(std::size_t cutNodes, Cut kind, const std::string& path,
              std::size_t reachedServers = 0) {
  GatewayFleet fleet(kNodes, kServers);
  CutNetwork network(fleet);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, path);
    co_await callers.sendFor(Milliseconds(500));
    for (std::size_t node = 0; node < cutNodes; ++node) {
      for (std::size_t server = reachedServers; server < fleet.servers.size(); ++server) {
        network.cut(node, *fleet.servers[server], kind);
      }
    }
    const MonotonicTime judged = monotonicNow() + kUntilServed;
    co_await callers.sendFor(Milliseconds(4000));
    checkServed(shareOf(callers, 0, cutNodes, judged), "cut nodes");
    checkServed(shareOf(callers, cutNodes, kNodes, judged), "other nodes");
  });
}

BOOST_AUTO_TEST_SUITE(platform_partitioned_nodes)

BOOST_AUTO_TEST_CASE(streamsAreServedAtNodesWhoseConnectionsFallSilent) {
  checkCut(4, Cut::kSilent, "/stream/a");
}

BOOST_AUTO_TEST_CASE(streamsAreServedAtNodesWhoseConnectionsAreReset) {
  checkCut(4, Cut::kReset, "/stream/a");
}

BOOST_AUTO_TEST_CASE(streamsAreServedAtNodesThatGetNoNewConnections) {
  checkCut(4, Cut::kHalfOpen, "/stream/a");
  checkCut(4, Cut::kHalfOpenHanging, "/stream/a");
}

BOOST_AUTO_TEST_CASE(streamsAreServedAtNodesWhoseRequestsAreLost) {
  checkCut(4, Cut::kRequestsLost, "/stream/a");
}

BOOST_AUTO_TEST_CASE(streamsAreServedAtNodesThatGetNoAnswers) {
  checkCut(4, Cut::kAnswersLost, "/stream/a");
}

/// Calls of the plain service that must run at most once.
BOOST_AUTO_TEST_CASE(onceOnlyCallsAreServedAtPartitionedNodes) {
  checkCut(4, Cut::kSilent, "/once/a");
  checkCut(4, Cut::kReset, "/once/a");
}

BOOST_AUTO_TEST_CASE(oneNodeAndSixNodesOfSevenAreServed) {
  checkCut(1, Cut::kSilent, "/stream/a");
  checkCut(6, Cut::kSilent, "/stream/a");
}

/// The one server left does not get the work of all.
BOOST_AUTO_TEST_CASE(nodesWithOnePathLeftUseAllServers) {
  GatewayFleet fleet(kNodes, kServers);
  CutNetwork network(fleet);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    co_await callers.sendFor(Milliseconds(500));
    for (std::size_t node = 0; node < 4; ++node) {
      for (std::size_t server = 1; server < kServers; ++server) {
        network.cut(node, *fleet.servers[server], Cut::kSilent);
      }
    }
    const MonotonicTime judged = monotonicNow() + kUntilServed;
    co_await callers.sendFor(Milliseconds(4000));
    checkServed(shareOf(callers, 0, 4, judged), "cut nodes");
    const std::size_t all = shareOf(callers, 0, kNodes, judged).sent;
    // An even share is a quarter.
    BOOST_TEST(arrivalsSince(*fleet.servers[0], judged) < all * 2 / 5);
  });
}

/// The sum of a counter over the nodes from `first` up to `end`, as an operator reads it.
awaitable<double> counterOf(GatewayFleet& fleet, std::size_t first, std::size_t end,
                            std::string name) {
  double sum = 0;
  for (std::size_t node = first; node < end; ++node) {
    const std::string page = co_await fleet.askNode(node, "GET", "/metrics");
    const std::size_t found = page.find("\n" + name + " ");
    if (found != std::string::npos) {
      sum += std::stod(page.substr(found + name.size() + 2));
    }
  }
  co_return sum;
}

/// Guards against nodes that go on to use their neighbours after their own paths are back, and
/// against calls that run twice on the way there and back.
BOOST_AUTO_TEST_CASE(callsGoDirectlyAgainAfterTheCutAndRunOnce) {
  constexpr Milliseconds kUntilDirect{500};
  const std::string relayed = R"(calicodrift_server_paths_calls_total{path="relayed"})";
  GatewayFleet fleet(kNodes, kServers);
  CutNetwork network(fleet);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/once/a");
    co_await callers.sendFor(Milliseconds(500));
    for (std::size_t node = 0; node < 4; ++node) {
      network.cutAll(node, Cut::kReset);
    }
    co_await callers.sendFor(Milliseconds(2000));
    const double during = co_await counterOf(fleet, 0, 4, relayed);
    BOOST_TEST(during > 50);
    for (std::size_t node = 0; node < 4; ++node) {
      network.cutAll(node, Cut::kNone);
    }
    co_await callers.sendFor(kUntilDirect);
    const double healed = co_await counterOf(fleet, 0, 4, relayed);
    const MonotonicTime judged = monotonicNow();
    co_await callers.sendFor(Milliseconds(2000));
    const double after = co_await counterOf(fleet, 0, 4, relayed);
    const auto sent = static_cast<double>(shareOf(callers, 0, 4, judged).sent);
    BOOST_TEST(after - healed <= sent / 10);
    std::map<std::string, int> runs;
    for (const auto& server : fleet.servers) {
      for (const http::Request& request : server->arrivals()) {
        ++runs[request.headers.get(platform::kRequestId)];
      }
    }
    const auto twice =
        std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.second > 1; });
    BOOST_TEST(twice == 0);
  });
}

/// Where no node reaches the servers, callers are refused at once.
BOOST_AUTO_TEST_CASE(callersAreRefusedAtOnceWhereNoNodeReachesServers) {
  GatewayFleet fleet(kNodes, kServers);
  CutNetwork network(fleet);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    co_await callers.sendFor(Milliseconds(500));
    for (std::size_t node = 0; node < kNodes; ++node) {
      network.cutAll(node, Cut::kSilent);
    }
    co_await callers.sendFor(Milliseconds(3000));
    FleetCallers later(fleet, "/stream/a");
    co_await later.sendFor(Milliseconds(2000));
    BOOST_TEST(later.answered(503) == later.sent());
    BOOST_TEST((later.slowest(503) < Milliseconds(100)));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
