// Guards against servers that fall over because the nodes together send more requests than they
// have room for, each node finding out for itself.

#include "fleet_callers.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

constexpr std::size_t kNodes = 7;
/// All nodes know that the servers are brittle so long after their answers say so.
constexpr Milliseconds kUntilKnown{1000};
/// Some three times of what two servers with this room can run at a time.
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

void checkRefusals(const std::string& brittleness, std::size_t allowed) {
  GatewayFleet fleet(kNodes, 2);
  fleet.workTime = kWorkTime;
  fleet.run([&]() -> awaitable<void> {
    for (std::size_t number = 0; number < 2; ++number) {
      fleet.servers[number]->namedBrittleness = brittleness;
    }
    FleetCallers callers(fleet, "/stream/a");
    co_await callers.sendFor(kUntilKnown);
    const MonotonicTime begin = monotonicNow();
    for (std::size_t number = 0; number < 2; ++number) {
      fleet.servers[number]->room = kRoom;
    }
    co_await callers.sendFor(Milliseconds(5000));
    for (std::size_t number = 0; number < 2; ++number) {
      const std::size_t worst = worstSecond(*fleet.servers[number], begin);
      BOOST_TEST(worst <= allowed, brittleness << ": " << worst << " in a second");
    }
    BOOST_TEST_MESSAGE("worst second " << worstSecond(*fleet.servers[0], begin) << ", served "
                                       << callers.answered(200) << " of " << callers.sent());
    BOOST_TEST(callers.answered(200) + callers.answered(503) == callers.sent());
  });
}

BOOST_AUTO_TEST_SUITE(platform_brittle_servers)

BOOST_AUTO_TEST_CASE(fullServersTurnAwayNoMoreThanTheyBear) {
  checkRefusals("5", 5);
  checkRefusals("3", 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
