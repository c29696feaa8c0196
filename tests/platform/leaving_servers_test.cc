// Guards against requests that are sent to a server after one of its answers has said that it
// leaves, while the list of servers can't be read, lags behind, or says otherwise.

#include "fleet_callers.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

constexpr std::size_t kNodes = 7;
constexpr std::size_t kServers = 4;
/// All nodes know, and what was on the way has arrived, so long after the first answer that told.
constexpr Milliseconds kUntilKnown{500};

/// The first server says that it leaves; gives how many requests reached it after all knew.
awaitable<std::size_t> arrivalsAfterNotice(FleetCallers& callers, ServerStandIn& server,
                                           Milliseconds duration) {
  server.leavingNotices = {"1"};
  co_await callers.sendFor(kUntilKnown);
  const MonotonicTime known = monotonicNow();
  co_await callers.sendFor(duration);
  co_return arrivalsSince(server, known);
}

BOOST_AUTO_TEST_SUITE(platform_leaving_servers)

BOOST_AUTO_TEST_CASE(serverWhoseAnswersSayThatItLeavesGetsNothingFromAnyNode) {
  GatewayFleet fleet(kNodes, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    co_await callers.sendFor(Milliseconds(500));
    BOOST_TEST(co_await arrivalsAfterNotice(callers, *fleet.servers[0], Milliseconds(2000)) == 0U);
    BOOST_TEST(callers.answered(200) == callers.sent());
  });
}

BOOST_AUTO_TEST_CASE(serverThatLeavesGetsNothingWhileTheStoreIsSilent) {
  GatewayFleet fleet(kNodes, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    co_await callers.sendFor(Milliseconds(500));
    fleet.store.setMode(StoreStandIn::Mode::kSilent);
    BOOST_TEST(co_await arrivalsAfterNotice(callers, *fleet.servers[0], Milliseconds(2000)) == 0U);
    BOOST_TEST(callers.answered(200) == callers.sent());
  });
}

BOOST_AUTO_TEST_CASE(plainServerThatLeavesGetsNothing) {
  GatewayFleet fleet(kNodes, 1);
  ServerStandIn& leaving = fleet.addServer("app-2", "app", "");
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/once/a");
    co_await callers.sendFor(Milliseconds(500));
    BOOST_TEST(co_await arrivalsAfterNotice(callers, leaving, Milliseconds(1500)) == 0U);
    BOOST_TEST(callers.answered(200) == callers.sent());
  });
}

/// The entry lapses while the store is away, and is back as it was.
BOOST_AUTO_TEST_CASE(entryThatComesBackAsReadyDoesNotTakeTheNoticeBack) {
  GatewayFleet fleet(3, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    co_await callers.sendFor(Milliseconds(300));
    co_await arrivalsAfterNotice(callers, server, Milliseconds(0));
    // What comes later without the notice began before it, as far as a node can tell.
    server.leavingNotices.clear();
    const MonotonicTime known = monotonicNow();
    fleet.store.remove("servers", server.id());
    co_await callers.sendFor(Milliseconds(500));
    fleet.store.put("servers", server.id(), server.entry());
    co_await callers.sendFor(Milliseconds(1000));
    BOOST_TEST(arrivalsSince(server, known) == 0U);
  });
}

BOOST_AUTO_TEST_CASE(laterStartOfAServerThatLeftIsUsed) {
  GatewayFleet fleet(3, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    co_await arrivalsAfterNotice(callers, server, Milliseconds(0));
    server.restart({});
    server.leavingNotices.clear();
    fleet.store.put("servers", server.id(), server.entry());
    co_await callers.sendFor(Milliseconds(500));
    const MonotonicTime listed = monotonicNow();
    co_await callers.sendFor(Milliseconds(1000));
    BOOST_TEST(arrivalsSince(server, listed) > 5U);
  });
}

/// A node that starts hears of it before it is ready, though the list says that the server is.
BOOST_AUTO_TEST_CASE(nodeThatStartsKnowsOfServersThatLeave) {
  GatewayFleet fleet(3, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    co_await arrivalsAfterNotice(callers, server, Milliseconds(0));
    const MonotonicTime known = monotonicNow();
    co_await fleet.startMore(2, "z1");
    co_await callers.sendFor(Milliseconds(1500));
    BOOST_TEST(arrivalsSince(server, known) == 0U);
  });
}

/// Health answers, and refusals of other reasons, tell it as well as answers to requests.
BOOST_AUTO_TEST_CASE(serverThatOnlyRefusesAndLeavesGetsNothing) {
  GatewayFleet fleet(kNodes, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    server.setBehaviour(
        [](const http::Request& request, http::ResponseWriter& writer) -> awaitable<void> {
          co_await http::respond(writer, ServerStandIn::notExecuted(request));
        });
    BOOST_TEST(co_await arrivalsAfterNotice(callers, server, Milliseconds(1500)) == 0U);
    BOOST_TEST(callers.answered(200) == callers.sent());
  });
}

/// Where all servers of a service leave, the caller is told so at once, as the request has not run.
BOOST_AUTO_TEST_CASE(callersOfAServiceWithoutStayingServersAreRefusedAtOnce) {
  GatewayFleet fleet(3, 2);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    fleet.servers[1]->leavingNotices = {"1"};
    co_await arrivalsAfterNotice(callers, *fleet.servers[0], Milliseconds(0));
    const std::size_t before = callers.sent();
    const std::size_t refused = callers.answered(503);
    co_await callers.sendFor(Milliseconds(500));
    BOOST_TEST(callers.answered(503) - refused == callers.sent() - before);
    BOOST_TEST((callers.slowest(503) < Milliseconds(100)));
  });
}

/// A notice that can't be read changes nothing.
BOOST_AUTO_TEST_CASE(noticeThatCantBeReadChangesNothing) {
  GatewayFleet fleet(3, 2);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    const std::vector<std::vector<std::string>> unreadable = {
        {"0"}, {""}, {"1", "1"}, {"yes"}, {"-1"}};
    for (const std::vector<std::string>& notices : unreadable) {
      fleet.servers[0]->leavingNotices = notices;
      const MonotonicTime begin = monotonicNow();
      co_await callers.sendFor(Milliseconds(300));
      BOOST_TEST(arrivalsSince(*fleet.servers[0], begin) >= 3U);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
