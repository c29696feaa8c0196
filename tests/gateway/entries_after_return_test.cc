#include "gateway/entries_after_return.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace calicodrift::gateway {
namespace {

BOOST_AUTO_TEST_SUITE(entries_after_return)

// Each server that was replaced was remembered for as long as the process lived.
BOOST_AUTO_TEST_CASE(removedServersAreForgottenAfterTheirRetention) {
  constexpr std::size_t kPerMinute = 1'000;
  constexpr int kMinutes = 60;
  constexpr MonotonicTime kStart{std::chrono::hours(1)};
  EntriesAfterReturn entries;
  for (int minute = 0; minute < kMinutes; ++minute) {
    for (std::size_t number = 0; number < kPerMinute; ++number) {
      const BackendId id(std::to_string(minute) + "-" + std::to_string(number));
      entries.onRemoved(id, kStart + std::chrono::minutes(minute));
    }
  }
  // Those of the last three minutes, and as many that have not been looked at again.
  constexpr std::size_t kMostKept = 6'000;
  BOOST_TEST(entries.removedCount() <= kMostKept);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::gateway
