#include "router/version_rule.h"

#include <boost/test/unit_test.hpp>

#include "common/hashing.h"

namespace calicodrift::router {
namespace {

const WeightsVersion kOld(1);
const WeightsVersion kNew(2);

VersionQuery queryFor(std::uint64_t conversation, std::uint64_t seen = 0) {
  return {kNew, 50, hashPair(conversation, 1), WeightsVersion(seen)};
}

std::size_t movedOf(const VersionCounts& usable, std::size_t conversations) {
  std::size_t moved = 0;
  for (std::uint64_t number = 0; number < conversations; ++number) {
    moved += chooseWeights(usable, queryFor(number)) == kNew ? 1 : 0;
  }
  return moved;
}

BOOST_AUTO_TEST_CASE(someVersionAlwaysServes) {
  BOOST_TEST((chooseWeights({{kOld, 4}}, queryFor(1)) == kOld));
  BOOST_TEST((chooseWeights({{kOld, 4}}, queryFor(1, 2)) == kOld));
  BOOST_TEST((chooseWeights({{kNew, 1}}, queryFor(1)) == kNew));
  BOOST_TEST((chooseWeights({}, queryFor(1)) == kNew));
}

BOOST_AUTO_TEST_CASE(trafficMovesInStepWithTheEnginesAndAMovedConversationStays) {
  constexpr std::size_t kConversations = 2000;
  std::size_t before = 0;
  for (std::size_t ready = 1; ready <= 10; ++ready) {
    const VersionCounts usable{{kOld, 20 - ready}, {kNew, ready}};
    const std::size_t moved = movedOf(usable, kConversations);
    // Half of the engines carry all traffic: with `ready` of 20, ready / 10 of it has moved.
    BOOST_TEST(moved > kConversations * ready / 10 - 100);
    BOOST_TEST(moved <= kConversations * ready / 10 + 100);
    for (std::uint64_t number = 0; number < kConversations; ++number) {
      const bool wasMoved =
          chooseWeights({{kOld, 21 - ready}, {kNew, ready - 1}}, queryFor(number)) == kNew;
      BOOST_REQUIRE((!wasMoved || chooseWeights(usable, queryFor(number)) == kNew));
    }
    BOOST_TEST(moved > before);
    before = moved;
  }
}

/// Engines of one model that load new weights a few at a time, as in a roll-out.
VersionCounts countsAfter(std::size_t engines, std::size_t loads, std::size_t batches) {
  const std::size_t ready = std::min(engines, loads * batches);
  const std::size_t loading = std::min(loads, engines - ready);
  return {{kOld, engines - ready - loading}, {kNew, ready}};
}

BOOST_AUTO_TEST_CASE(noConversationGoesBackDuringARollOut) {
  constexpr std::size_t kEngines = 18;
  constexpr std::size_t kLoads = 3;
  constexpr std::size_t kTurnsPerBatch = 5;
  constexpr std::uint64_t kConversations = 1000;
  std::size_t movedEarly = 0;
  std::size_t wentBack = 0;
  for (std::uint64_t number = 0; number < kConversations; ++number) {
    bool sawNew = false;
    for (std::size_t turn = 0; turn < kTurnsPerBatch * kEngines / kLoads; ++turn) {
      const VersionCounts usable = countsAfter(kEngines, kLoads, turn / kTurnsPerBatch);
      const bool served = chooseWeights(usable, queryFor(number)) == kNew;
      wentBack += sawNew && !served ? 1 : 0;
      sawNew = sawNew || served;
      movedEarly += served && turn / kTurnsPerBatch == 1 ? 1 : 0;
    }
  }
  BOOST_TEST_MESSAGE("turns by new weights in the second batch " << movedEarly << ", went back "
                                                                 << wentBack);
  BOOST_TEST(movedEarly > 0U);
  BOOST_TEST(movedEarly < kConversations * kTurnsPerBatch);
  BOOST_TEST(wentBack == 0U);
}

BOOST_AUTO_TEST_CASE(aCallerWhoNamesTheNewVersionKeepsItWhileOneEngineHasIt) {
  for (std::uint64_t number = 0; number < 200; ++number) {
    BOOST_REQUIRE((chooseWeights({{kOld, 19}, {kNew, 1}}, queryFor(number, 2)) == kNew));
  }
}

}  // namespace
}  // namespace calicodrift::router
