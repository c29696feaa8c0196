// Guards against servers that fall over because the nodes together send more requests than they
// have room for, each node finding out for itself.

#include "fleet_callers.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

/// All nodes know that the servers are brittle so long after their answers say so.
constexpr Milliseconds kUntilKnown{1000};
constexpr Milliseconds kWorkTime{200};
constexpr std::size_t kRoom = 3;

/// The most requests that the server turned away within one second, from `begin` on.
std::size_t worstSecond(const ServerStandIn& server, MonotonicTime begin) {
  const std::vector<MonotonicTime>& times = server.crowdedTimes();
  std::size_t worst = 0;
  for (auto first = std::lower_bound(times.begin(), times.end(), begin); first != times.end();
       ++first) {
    const auto end = std::lower_bound(first, times.end(), *first + std::chrono::seconds(1));
    worst = std::max(worst, static_cast<std::size_t>(end - first));
  }
  return worst;
}

/// Nodes, model servers, and the requests that callers send.
struct Load {
  std::size_t nodes = 7;
  std::size_t servers = 2;
  double requestsPerSecond = 90;
};

/// Sends more than the servers have room for, and checks what each of them had to turn away.
/// @param brittleness refusals in a second that the servers bear, as they say so.
void checkRefusals(const Load& load, std::size_t brittleness) {
  constexpr Milliseconds kOverloaded{5000};
  GatewayFleet fleet(load.nodes, load.servers);
  fleet.workTime = kWorkTime;
  fleet.run([&]() -> awaitable<void> {
    for (std::size_t number = 0; number < load.servers; ++number) {
      fleet.servers[number]->namedBrittleness = std::to_string(brittleness);
    }
    FleetCallers callers(fleet, "/stream/a");
    co_await callers.sendAtRate(load.requestsPerSecond, kUntilKnown);
    const MonotonicTime begin = monotonicNow();
    const std::size_t servedBefore = callers.answered(200);
    for (std::size_t number = 0; number < load.servers; ++number) {
      fleet.servers[number]->room = kRoom;
    }
    co_await callers.sendAtRate(load.requestsPerSecond, kOverloaded);
    std::string worstSeconds;
    for (std::size_t number = 0; number < load.servers; ++number) {
      const std::size_t worst = worstSecond(*fleet.servers[number], begin);
      worstSeconds += " " + std::to_string(worst);
      BOOST_TEST(worst <= brittleness, load.nodes << " nodes: " << worst << " in a second");
    }
    const std::size_t served = callers.answered(200) - servedBefore;
    const double room = static_cast<double>(load.servers * kRoom) * (kOverloaded / kWorkTime);
    BOOST_TEST_MESSAGE(load.nodes << " nodes, " << load.servers << " servers that bear "
                                  << brittleness << ": worst seconds" << worstSeconds << ", served "
                                  << served << " of " << room << ", sent " << callers.sent()
                                  << ", slowest refusal " << callers.slowest(503).count() << " ms");
    BOOST_TEST(callers.answered(200) + callers.answered(503) == callers.sent());
  });
}

BOOST_AUTO_TEST_SUITE(platform_brittle_servers)

BOOST_AUTO_TEST_CASE(fullServersTurnAwayNoMoreThanTheyBear) {
  checkRefusals({}, 5);
  checkRefusals({}, 3);
}

BOOST_AUTO_TEST_SUITE_END()

// A program entry of its own: it takes longer than the others.
BOOST_AUTO_TEST_SUITE(platform_brittle_servers_of_many_nodes)

/// Guards against nodes that each try a full server after the same refusal, so that it gets as many
/// requests as there are nodes.
BOOST_AUTO_TEST_CASE(nodesTogetherTryFullServersNoMoreOftenThanTheyBear) {
  checkRefusals({73, 7, 250}, 5);
  checkRefusals({73, 7, 250}, 3);
  checkRefusals({73, 7, 90}, 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
