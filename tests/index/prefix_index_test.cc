#include "index/prefix_index.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "common/hashing.h"

namespace calicodrift::index {
namespace {

constexpr Milliseconds kTerm{10'000};
const MonotonicTime kStart{std::chrono::hours(1)};
const BackendId kEngine("e");

std::vector<EngineSlot> holdersOf(const PrefixIndex& index, BlockHash block, MonotonicTime now) {
  std::vector<EngineSlot> holders;
  index.findHolders(block, now, holders);
  return holders;
}

BlockHash blockNumber(std::uint64_t number) {
  return BlockHash(hashPair(number, 0));
}

BOOST_AUTO_TEST_CASE(aBeliefLastsForItsTermUnlessConfirmed) {
  PrefixIndex index(100, kTerm);
  const EngineSlot slot = *index.slotOf(kEngine, Incarnation(1));
  index.add(blockNumber(1), slot, kStart);
  BOOST_TEST(holdersOf(index, blockNumber(1), kStart + kTerm / 2).size() == 1U);
  BOOST_TEST(holdersOf(index, blockNumber(1), kStart + kTerm * 2).empty());
  index.add(blockNumber(1), slot, kStart + kTerm);
  BOOST_TEST(holdersOf(index, blockNumber(1), kStart + kTerm * 3 / 2).size() == 1U);
  index.remove(blockNumber(1), slot);
  BOOST_TEST(holdersOf(index, blockNumber(1), kStart + kTerm).empty());
}

BOOST_AUTO_TEST_CASE(anotherIncarnationStartsWithNoBeliefs) {
  PrefixIndex index(100, kTerm);
  index.add(blockNumber(1), *index.slotOf(kEngine, Incarnation(1)), kStart);
  const EngineSlot second = *index.slotOf(kEngine, Incarnation(2));
  BOOST_TEST(holdersOf(index, blockNumber(1), kStart).empty());
  BOOST_TEST(!index.slotOf(kEngine, Incarnation(1)).has_value());
  index.add(blockNumber(1), second, kStart);
  BOOST_TEST(holdersOf(index, blockNumber(1), kStart).size() == 1U);
  index.forget(kEngine);
  BOOST_TEST(holdersOf(index, blockNumber(1), kStart).empty());
}

BOOST_AUTO_TEST_CASE(memoryIsFixedAndMostOfTheNewestBeliefsAreKept) {
  constexpr std::size_t kBudget = 10'000;
  constexpr std::uint64_t kAdded = 50'000;
  constexpr std::uint64_t kRecent = 5'000;
  PrefixIndex index(kBudget, kTerm);
  const std::size_t bytes = index.tableBytes();
  BOOST_TEST(bytes <= (kBudget + PrefixIndex::kWays) * 8);
  const EngineSlot slot = *index.slotOf(kEngine, Incarnation(1));
  for (std::uint64_t number = 0; number < kAdded; ++number) {
    index.add(blockNumber(number), slot, kStart + Microseconds(number * 100));
  }
  const MonotonicTime end = kStart + Microseconds(kAdded * 100);
  std::size_t kept = 0;
  for (std::uint64_t number = kAdded - kRecent; number < kAdded; ++number) {
    kept += holdersOf(index, blockNumber(number), end).size();
  }
  BOOST_TEST(index.tableBytes() == bytes);
  BOOST_TEST(kept > kRecent * 95 / 100);
}

BOOST_AUTO_TEST_CASE(slotsOfManyRestartsAreUsedAnewWithoutOldBeliefs) {
  PrefixIndex index(1'000, kTerm);
  const EngineSlot steady = *index.slotOf(BackendId("steady"), Incarnation(1));
  index.add(blockNumber(7), steady, kStart);
  constexpr std::uint64_t kRestarts = 70'000;
  for (std::uint64_t restart = 1; restart <= kRestarts; ++restart) {
    const EngineSlot slot = *index.slotOf(kEngine, Incarnation(restart));
    BOOST_REQUIRE(holdersOf(index, blockNumber(1), kStart).empty());
    index.add(blockNumber(1), slot, kStart);
  }
  BOOST_TEST(holdersOf(index, blockNumber(7), kStart) == std::vector<EngineSlot>{steady},
             boost::test_tools::per_element());
}

}  // namespace
}  // namespace calicodrift::index
