// Servers that bear few refusals, over drawn schedules in virtual time: their room shrinks at once,
// roots and nodes are killed, servers come back empty, and messages are late.

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "server_limits/simulated_servers.h"

namespace calicodrift::server_limits {
namespace {

/// Every node knows so long after a start that the servers bear few refusals.
constexpr Milliseconds kUntilKnown{4000};
/// Servers of a service that may refuse more than they bear.
constexpr std::size_t kMostOver = 2;

/// Number of schedules: 10,000 for manual runs (SCHEDULES=10000), fewer when run with all other
/// tests; the first of them is FIRST.
std::uint64_t numberFrom(const char* name, std::uint64_t otherwise) {
  const char* wanted = std::getenv(name);
  return wanted == nullptr ? otherwise : std::stoull(wanted);
}

std::size_t countOver(const SimulatedServers& fleet, MonotonicTime begin, double limit) {
  const std::vector<std::size_t> worst = fleet.worstSeconds(begin);
  return static_cast<std::size_t>(
      std::count_if(worst.begin(), worst.end(),
                    [limit](std::size_t most) { return static_cast<double>(most) > limit; }));
}

std::string textOf(const std::vector<std::size_t>& numbers) {
  std::string text;
  for (const std::size_t number : numbers) {
    text += " " + std::to_string(number);
  }
  return text;
}

struct Outcome {
  std::size_t over = 0;
  std::size_t worst = 0;
  double used = 0;
};

/// Room that shrinks at once, and no other fault.
Outcome runCalm(const SimulatedLoad& load, std::uint64_t seed) {
  constexpr Milliseconds kMeasured{10'000};
  SimulatedServers fleet(load, seed);
  fleet.run(kUntilKnown);
  const MonotonicTime begin = fleet.now();
  fleet.shrinkRoom();
  const std::size_t before = fleet.served();
  fleet.run(kMeasured);
  Outcome outcome;
  outcome.over = countOver(fleet, begin, load.refusalLimit);
  const std::vector<std::size_t> worst = fleet.worstSeconds(begin);
  outcome.worst = *std::max_element(worst.begin(), worst.end());
  outcome.used = static_cast<double>(fleet.served() - before) / fleet.capacity(kMeasured);
  return outcome;
}

BOOST_AUTO_TEST_SUITE(permit_schedules)

/// Guards against nodes that together send a full server more than it bears, and against servers
/// that are spared more than they need.
BOOST_AUTO_TEST_CASE(fullServersAreUsedAndRefuseNoMoreThanTheyBear) {
  for (const std::size_t nodes : {7UL, 73UL, 300UL}) {
    for (const double limit : {1.0, 3.0, 5.0, 50.0}) {
      SimulatedLoad load;
      load.nodes = nodes;
      load.refusalLimit = limit;
      const Outcome permits = runCalm(load, nodes);
      load.sparing = Sparing::kPauses;
      const Outcome pauses = runCalm(load, nodes);
      BOOST_TEST_MESSAGE(nodes << " nodes, " << limit << " borne: worst " << permits.worst
                               << ", used " << permits.used << "; pauses: " << pauses.over
                               << " of 7 over, worst " << pauses.worst << ", used " << pauses.used);
      BOOST_TEST(permits.over == 0U);
      constexpr double kLeastUse = 0.9;
      BOOST_TEST(permits.used >= kLeastUse, nodes << " nodes, " << limit << ": " << permits.used);
    }
  }
}

/// The same where servers have room for fewer requests than they list.
BOOST_AUTO_TEST_CASE(serversWithLessRoomThanListedRefuseNoMoreThanTheyBear) {
  for (const std::size_t nodes : {7UL, 73UL, 300UL}) {
    for (const double limit : {3.0, 5.0, 50.0}) {
      SimulatedLoad load;
      load.nodes = nodes;
      load.refusalLimit = limit;
      load.listedSlots = 8;
      load.slots = 3;
      load.work = Milliseconds(200);
      const Outcome permits = runCalm(load, nodes);
      load.sparing = Sparing::kPauses;
      const Outcome pauses = runCalm(load, nodes);
      BOOST_TEST_MESSAGE(nodes << " nodes, " << limit << " borne, 3 of 8 slots: worst "
                               << permits.worst << ", used " << permits.used
                               << "; pauses: " << pauses.over << " of 7 over, worst "
                               << pauses.worst << ", used " << pauses.used);
      BOOST_TEST(permits.over <= kMostOver);
    }
  }
}

BOOST_AUTO_TEST_CASE(drawnFaultsLeaveServersWithinWhatTheyBear) {
  const std::uint64_t first = numberFrom("FIRST", 1);
  const std::uint64_t count = numberFrom("SCHEDULES", 80);
  std::size_t schedulesOver = 0;
  std::size_t serversOver = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    std::mt19937_64 random(seed);
    const auto any = [&random](std::int64_t from, std::int64_t to) {
      return std::uniform_int_distribution<std::int64_t>(from, to)(random);
    };
    SimulatedLoad load;
    load.nodes = seed % 20 == 0 ? 300 : seed % 4 == 0 ? 73 : 7;
    load.servers = static_cast<std::size_t>(seed % 25 == 0 ? any(20, 90) : any(2, 12));
    load.slots = static_cast<std::size_t>(any(1, load.servers > 12 ? 6 : 40));
    load.listedSlots = load.slots;
    load.waiting = static_cast<std::size_t>(any(0, 3));
    load.refusalLimit = static_cast<double>(any(0, 3) == 0 ? any(1, 50) : any(1, 6));
    load.work = Milliseconds(any(60, 300));
    load.mostDelay = Milliseconds(any(0, 3) == 0 ? any(20, 500) : any(5, 20));
    const bool paused = std::getenv("PAUSES") != nullptr;
    load.sparing = paused ? Sparing::kPauses : Sparing::kPermits;
    SimulatedServers fleet(load, seed);
    fleet.run(kUntilKnown);
    MonotonicTime begin = fleet.now();
    fleet.shrinkRoom();
    std::size_t over = 0;
    std::string faults;
    for (std::size_t fault = 0; fault < 4; ++fault) {
      fleet.run(Milliseconds(any(300, 3000)));
      switch (any(0, 4)) {
        case 0:
          faults += " root";
          fleet.killRoot(static_cast<std::size_t>(any(0, 2)), Milliseconds(any(600, 3000)));
          break;
        case 1:
          faults += " nodes";
          fleet.killNodes(0.55, Milliseconds(any(300, 2000)));
          break;
        case 2:
          faults += " all";
          over = std::max(over, countOver(fleet, begin, load.refusalLimit));
          fleet.killNodes(1, Milliseconds(any(300, 2000)));
          fleet.run(kUntilKnown + Milliseconds(2000));
          begin = fleet.now();
          break;
        case 3:
          faults += " server";
          fleet.restartServer(static_cast<std::size_t>(any(0, 89)), Milliseconds(any(500, 4000)));
          break;
        default:
          faults += " none";
          break;
      }
    }
    fleet.run(Milliseconds(3000));
    over = std::max(over, countOver(fleet, begin, load.refusalLimit));
    schedulesOver += over > kMostOver ? 1 : 0;
    serversOver += over;
    BOOST_TEST(over <= kMostOver, "seed " << seed << ": " << load.nodes << " nodes, "
                                          << load.servers << " servers of " << load.slots
                                          << " slots, " << load.refusalLimit << " borne, delay "
                                          << load.mostDelay.count() << " ms," << faults << ": worst"
                                          << textOf(fleet.worstSeconds(begin)));
  }
  BOOST_TEST_MESSAGE(count << " schedules: " << serversOver << " servers over, " << schedulesOver
                           << " schedules with more than " << kMostOver);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
