#include "routing/hash_ring.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace calicodrift::routing {
namespace {

BOOST_AUTO_TEST_SUITE(hash_ring)

// A ring that is kept in order at each insertion moves n / 2 points for each, so that a list of
// 10,000 servers costs 50 million moves at every node.
BOOST_AUTO_TEST_CASE(addingManyPointsMovesEachAFewTimes) {
  for (const std::size_t count : {1'000U, 10'000U, 40'000U}) {
    HashRing ring;
    std::mt19937_64 random(count);
    for (std::size_t position = 0; position < count; ++position) {
      ring.add(random(), position);
    }
    static_cast<void>(ring.firstFrom(0));
    constexpr std::size_t kMovesEach = 3;
    BOOST_TEST(ring.pointMoves() <= kMovesEach * count);
  }
}

BOOST_AUTO_TEST_CASE(findsTheSamePointsAsAnOrderedMap) {
  constexpr int kSteps = 20'000;
  constexpr std::uint64_t kHashes = 500;
  constexpr int kKinds = 4;
  HashRing ring;
  std::map<std::uint64_t, std::size_t> expected;
  std::mt19937_64 random(7);
  for (int step = 0; step < kSteps; ++step) {
    // Spread over the ring, with collisions between steps.
    const std::uint64_t hash = (random() % kHashes) << 40U;
    const auto known = expected.find(hash);
    const std::size_t position = random() % kHashes;
    if (known == expected.end()) {
      ring.add(hash, position);
      expected[hash] = position;
    } else if (random() % kKinds == 0) {
      ring.remove(hash, known->second);
      expected.erase(known);
    } else {
      ring.move(hash, known->second, position);
      known->second = position;
    }
    if (!expected.empty()) {
      const std::uint64_t key = random() >> 8U;
      const auto next = expected.lower_bound(key);
      const auto& wanted = next == expected.end() ? *expected.begin() : *next;
      BOOST_REQUIRE(ring.firstFrom(key).hash == wanted.first);
      BOOST_REQUIRE(ring.firstFrom(key).position == wanted.second);
    }
  }
}

BOOST_AUTO_TEST_CASE(pointsOfEqualHashesAreKeptApart) {
  HashRing ring;
  for (const std::size_t position : {3U, 1U, 2U}) {
    ring.add(5, position);
  }
  ring.move(5, 1, 4);
  ring.remove(5, 2);
  BOOST_TEST(ring.firstFrom(5).position == 3U);
  ring.remove(5, 3);
  BOOST_TEST(ring.firstFrom(0).position == 4U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::routing
