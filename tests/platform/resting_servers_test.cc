// Guards against requests and questions that a node sends to a server before the time is over for
// which the server, when it refused, asked that node to send nothing.

#include "fleet_callers.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

constexpr std::size_t kNodes = 7;
constexpr std::size_t kServers = 4;
constexpr Milliseconds kRest{3000};
/// What was on the way when the server refused has arrived so long after it.
constexpr Milliseconds kOnTheWay{100};
/// A server is in use again so long after the end of its rest.
constexpr Milliseconds kUntilUsedAgain{500};

/// By node: the most requests that reached the server within a rest that the node was asked for.
std::map<std::string, std::size_t> arrivalsWithinRests(const ServerStandIn& server,
                                                       Milliseconds rest) {
  std::map<std::string, std::size_t> most;
  for (const ServerStandIn::Refusal& refusal : server.refusals()) {
    const std::string node = FleetCallers::nodeOf(refusal.request);
    std::size_t within = 0;
    for (std::size_t number = 0; number < server.arrivals().size(); ++number) {
      const MonotonicTime at = server.arrivalTimes()[number];
      const bool inRest = at > refusal.at + kOnTheWay && at < refusal.at + rest;
      within += inRest && FleetCallers::nodeOf(server.arrivals()[number]) == node ? 1 : 0;
    }
    most[node] = std::max(most[node], within);
  }
  return most;
}

std::size_t mostWithinRest(const ServerStandIn& server, Milliseconds rest) {
  std::size_t most = 0;
  for (const auto& [node, arrivals] : arrivalsWithinRests(server, rest)) {
    most = std::max(most, arrivals);
  }
  return most;
}

BOOST_AUTO_TEST_SUITE(platform_resting_servers)

BOOST_AUTO_TEST_CASE(serverThatAskedForRestGetsNothingUntilItsEnd) {
  GatewayFleet fleet(kNodes, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    server.asksForRest = "3";
    co_await callers.sendFor(Milliseconds(5000));
    BOOST_TEST(mostWithinRest(server, kRest) == 0U);
    BOOST_TEST(callers.answered(200) == callers.sent());
  });
}

/// Each node gets no answer but a refusal for its callers; none of them waits.
BOOST_AUTO_TEST_CASE(callersAreRefusedAtOnceWhereAllServersRest) {
  GatewayFleet fleet(3, 2);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    fleet.servers[0]->asksForRest = "3";
    fleet.servers[1]->asksForRest = "3";
    co_await callers.sendFor(Milliseconds(2000));
    BOOST_TEST(mostWithinRest(*fleet.servers[0], kRest) == 0U);
    BOOST_TEST(mostWithinRest(*fleet.servers[1], kRest) == 0U);
    BOOST_TEST(callers.answered(503) == callers.sent());
    BOOST_TEST((callers.slowest(503) < Milliseconds(100)));
  });
}

BOOST_AUTO_TEST_CASE(restHoldsOverALaterStartAndANewEntry) {
  GatewayFleet fleet(3, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    server.asksForRest = "3";
    co_await callers.sendFor(Milliseconds(300));
    server.asksForRest.reset();
    fleet.store.remove("servers", server.id());
    co_await callers.sendFor(Milliseconds(300));
    server.restart({});
    fleet.store.put("servers", server.id(), server.entry());
    co_await callers.sendFor(Milliseconds(1500));
    BOOST_TEST(mostWithinRest(server, kRest) == 0U);
  });
}

BOOST_AUTO_TEST_CASE(serverIsUsedSoonAfterItsRest) {
  GatewayFleet fleet(3, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    server.asksForRest = "1";
    co_await callers.sendFor(Milliseconds(200));
    server.asksForRest.reset();
    const MonotonicTime last = server.refusals().back().at;
    co_await callers.sendFor(Milliseconds(1000));
    const MonotonicTime end = last + Milliseconds(1000) + kUntilUsedAgain;
    while (monotonicNow() < end) {
      co_await callers.sendFor(Milliseconds(20));
    }
    co_await callers.sendFor(Milliseconds(1000));
    // An even share of 100 a second over four servers is 25.
    BOOST_TEST(arrivalsSince(server, end) >= 12U);
  });
}

/// A server that asks again and again costs a node no more than two sends a rest.
BOOST_AUTO_TEST_CASE(serverThatAsksAgainAndAgainIsTriedOnceARest) {
  GatewayFleet fleet(3, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    server.asksForRest = "0.5";
    co_await callers.sendFor(Milliseconds(300));
    const MonotonicTime begin = monotonicNow();
    co_await callers.sendFor(Milliseconds(4000));
    // Eight rests, three nodes.
    BOOST_TEST(arrivalsSince(server, begin) <= 2U * 8U * 3U);
    BOOST_TEST(mostWithinRest(server, Milliseconds(500)) == 0U);
  });
}

/// Reports and orders are requests to the server, too.
BOOST_AUTO_TEST_CASE(restingServerIsAskedNothing) {
  GatewayFleet fleet(3, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    server.asksForRest = "3";
    co_await callers.sendFor(Milliseconds(400));
    const MonotonicTime known = monotonicNow();
    fleet.store.put("versions", "m", boost::json::object{{"model", "m"}, {"version", 2}});
    co_await callers.sendFor(Milliseconds(2000));
    const std::vector<MonotonicTime>& asked = server.questionTimes();
    const auto later = std::count_if(asked.begin(), asked.end(), [&](MonotonicTime at) {
      return at > known && at < known + Milliseconds(2000);
    });
    // One holder gives orders. It learns of the rest by its own question where no caller of its
    // own has met the server.
    BOOST_TEST(later <= 1);
  });
}

/// A rest that can't be read is a refusal like any other.
BOOST_AUTO_TEST_CASE(restThatCantBeReadChangesNothing) {
  for (const std::string text : {"0", "", "-3", "nan", "1e9", "Thu, 03 Dec 2026 12:00:00 GMT"}) {
    GatewayFleet fleet(1, 2);
    fleet.run([&]() -> awaitable<void> {
      FleetCallers callers(fleet, "/stream/a");
      ServerStandIn& server = *fleet.servers[0];
      server.asksForRest = text;
      co_await callers.sendFor(Milliseconds(300));
      const MonotonicTime known = monotonicNow();
      co_await callers.sendFor(Milliseconds(800));
      BOOST_TEST(arrivalsSince(server, known) >= 1U, "'" << text << "'");
    });
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
