// What was seen: a model server that had named a limit of 1 request a second got 13 and 14 requests
// in 4 s from nodes that it had told of it; another one, in another zone, the same.
//
// How it came about: no node read the limit. Each went on as before, and the server got what a
// server gets that names none.
//
// Cause: one capacity, spent by many nodes which neither heard of it nor counted together; see
// server_limits::ServerLimitNode.
//
// What proved it: with the limit read and logged (server_limit_named), the nodes that passed such
// an answer on send to that server again within the second, at the same rate as before.

#include "fleet_callers.h"
#include "support/arrival_windows.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

constexpr std::size_t kNodes = 7;
constexpr std::size_t kServers = 15;
/// All nodes know of a limit, and spare the server, so long after it named it first.
constexpr Milliseconds kUntilSpared{1000};
constexpr Milliseconds kUntilUsedAgain{2000};

std::size_t worstWindow(const ServerStandIn& server, MonotonicTime begin) {
  return mostInAnyWindow(timesSince(server, begin));
}

/// The first servers of the fleet name the limit; all of its nodes together spare and use them.
void checkLimitHolds(const std::string& limit, std::size_t limited, Milliseconds duration) {
  GatewayFleet fleet(kNodes, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    co_await callers.sendFor(Milliseconds(1500));
    const MonotonicTime named = monotonicNow();
    for (std::size_t number = 0; number < limited; ++number) {
      fleet.servers[number]->namedLimits = {limit};
    }
    co_await callers.sendFor(duration);
    const double perSecond = std::stod(limit);
    const MonotonicTime spared = named + kUntilSpared;
    const double seconds = toMilliseconds(duration - kUntilSpared) / 1000;
    for (std::size_t number = 0; number < limited; ++number) {
      const ServerStandIn& server = *fleet.servers[number];
      const std::size_t worst = worstWindow(server, spared);
      const std::size_t got = arrivalsSince(server, spared);
      BOOST_TEST_MESSAGE("limit " << limit << ": worst window " << worst << ", got " << got
                                  << " in " << seconds << " s");
      BOOST_TEST(static_cast<double>(worst) <= kAimedArrivals.at(perSecond));
      constexpr double kLeastUse = 0.9;
      BOOST_TEST(static_cast<double>(got) + 1 >= kLeastUse * perSecond * seconds);
    }
    BOOST_TEST(callers.answered(200) == callers.sent());
  });
}

BOOST_AUTO_TEST_SUITE(platform_limited_servers)

BOOST_AUTO_TEST_CASE(serversThatTakeOneASecondAreSparedAndUsed) {
  checkLimitHolds("1", 2, Milliseconds(10'000));
}

BOOST_AUTO_TEST_CASE(serverThatTakesLessThanOneASecondIsSpared) {
  checkLimitHolds("0.25", 1, Milliseconds(10'000));
}

BOOST_AUTO_TEST_CASE(serverThatTakesSomeASecondIsSparedAndUsed) {
  checkLimitHolds("2.5", 1, Milliseconds(8'000));
}

/// A limit ends with the first answer without one to a request that was sent under it.
BOOST_AUTO_TEST_CASE(serverThatNamesNoLimitAnyMoreIsUsedAgain) {
  GatewayFleet fleet(kNodes, kServers);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    ServerStandIn& server = *fleet.servers[0];
    server.namedLimits = {"0.5"};
    co_await callers.sendFor(Milliseconds(6000));
    const MonotonicTime lifted = monotonicNow();
    server.namedLimits.clear();
    constexpr Milliseconds kWatched{5000};
    co_await callers.sendFor(kUntilUsedAgain + kWatched);
    const std::size_t got = arrivalsSince(server, lifted + kUntilUsedAgain);
    BOOST_TEST_MESSAGE("in 5 s behind the lifted limit: " << got);
    // The limit would let 4 pass; a fifteenth of some 90 a second is 30.
    BOOST_TEST(got >= 9U);
  });
}

/// What the servers take together is used, and no more; the others are told at once to come back.
BOOST_AUTO_TEST_CASE(serviceWhoseServersAreAllLimitedTakesWhatTheyTake) {
  GatewayFleet fleet(kNodes, 3);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    for (std::size_t number = 0; number < 3; ++number) {
      fleet.servers[number]->namedLimits = {"2"};
    }
    co_await callers.sendFor(Milliseconds(1500));
    const MonotonicTime spared = monotonicNow();
    const std::size_t servedBefore = callers.answered(200);
    co_await callers.sendFor(Milliseconds(8000));
    const std::size_t served = callers.answered(200) - servedBefore;
    for (std::size_t number = 0; number < 3; ++number) {
      BOOST_TEST(static_cast<double>(worstWindow(*fleet.servers[number], spared)) <=
                 kAimedArrivals.at(2));
    }
    BOOST_TEST_MESSAGE("served " << served << " of 48 in 8 s");
    BOOST_TEST(served >= 43U);
    BOOST_TEST(callers.answered(200) + callers.answered(503) == callers.sent());
  });
}

/// A limit that can't be read changes nothing, neither where none is known nor where one is.
BOOST_AUTO_TEST_CASE(limitThatCantBeReadChangesNothing) {
  GatewayFleet fleet(3, 3);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    const std::vector<std::vector<std::string>> unreadable = {
        {"nan"}, {""}, {"-1"}, {"inf"}, {"1", "2"}, {"one"}, {"1 a second"}};
    for (const std::vector<std::string>& limits : unreadable) {
      const MonotonicTime begin = monotonicNow();
      fleet.servers[0]->namedLimits = limits;
      co_await callers.sendFor(Milliseconds(300));
      BOOST_TEST(arrivalsSince(*fleet.servers[0], begin) >= 2U);
    }
    fleet.servers[0]->namedLimits = {"1"};
    co_await callers.sendFor(Milliseconds(1000));
    fleet.servers[0]->namedLimits = {"nan"};
    const MonotonicTime begin = monotonicNow();
    co_await callers.sendFor(Milliseconds(4500));
    BOOST_TEST(static_cast<double>(worstWindow(*fleet.servers[0], begin)) <= kAimedArrivals.at(1));
  });
}

/// A node that starts learns limits from the others before it is ready.
BOOST_AUTO_TEST_CASE(nodeThatStartsKnowsTheLimit) {
  GatewayFleet fleet(3, 3);
  fleet.run([&]() -> awaitable<void> {
    FleetCallers callers(fleet, "/stream/a");
    fleet.servers[0]->namedLimits = {"1"};
    co_await callers.sendFor(Milliseconds(2000));
    const MonotonicTime begin = monotonicNow();
    co_await fleet.startMore(2, "z1");
    co_await callers.sendFor(Milliseconds(4500));
    BOOST_TEST(static_cast<double>(worstWindow(*fleet.servers[0], begin)) <= kAimedArrivals.at(1));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
