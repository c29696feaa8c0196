#include "bench/fault_schedule.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace calicodrift::bench {
namespace {

constexpr FleetSizes kSizes{4, 3, 6};

BOOST_AUTO_TEST_CASE(theSeedReproducesTheSchedule) {
  constexpr Milliseconds kLength{60000};
  BOOST_TEST((makeSchedule(7, kLength, kSizes) == makeSchedule(7, kLength, kSizes)));
  BOOST_TEST((makeSchedule(7, kLength, kSizes) != makeSchedule(8, kLength, kSizes)));
}

BOOST_AUTO_TEST_CASE(everyKindComesWithinTwentySecondsAndSomeTogether) {
  constexpr Milliseconds kLength{20000};
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::set<FaultKind> kinds;
    std::set<Milliseconds> starts;
    const auto events = makeSchedule(seed, kLength, kSizes);
    for (const FaultEvent& event : events) {
      kinds.insert(event.kind);
      starts.insert(event.start);
    }
    BOOST_TEST(kinds.size() == kFaultKindCount);
    BOOST_TEST(starts.size() < events.size());
  }
}

}  // namespace
}  // namespace calicodrift::bench
