#include "routing/candidate_set.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace calicodrift::routing {
namespace {

Candidate engine(std::size_t number, std::size_t requests = 0) {
  Candidate candidate;
  candidate.id = BackendId("engine-" + std::to_string(number));
  candidate.reportedRequests = requests;
  candidate.reportedPrefillTokens = requests * 10;
  return candidate;
}

BackendId firstFor(const CandidateSet& set, std::uint64_t key) {
  return set[set.inAffinityOrder(key, 1).front()].id;
}

BOOST_AUTO_TEST_CASE(routersAgreeAndARemovedEngineMovesOnlyItsOwnKeys) {
  constexpr std::uint64_t kKeys = 2'000;
  for (const std::size_t size : {12U, 500U}) {
    CandidateSet one;
    CandidateSet other;
    for (std::size_t number = 0; number < size; ++number) {
      one.put(engine(number));
      other.put(engine(size - 1 - number));
    }
    std::vector<BackendId> before;
    for (std::uint64_t key = 0; key < kKeys; ++key) {
      before.push_back(firstFor(one, key));
      BOOST_REQUIRE(before.back() == firstFor(other, key));
    }
    const BackendId gone("engine-3");
    one.erase(gone);
    for (std::uint64_t key = 0; key < kKeys; ++key) {
      const bool moved = firstFor(one, key) != before[key];
      BOOST_REQUIRE(moved == (before[key] == gone));
    }
  }
}

BOOST_AUTO_TEST_CASE(keysOfALargeSetAreSpread) {
  constexpr std::size_t kEngines = 1'000;
  constexpr std::uint64_t kKeysEach = 100;
  CandidateSet set;
  for (std::size_t number = 0; number < kEngines; ++number) {
    set.put(engine(number));
  }
  std::map<BackendId, std::uint64_t> keys;
  for (std::uint64_t key = 0; key < kEngines * kKeysEach; ++key) {
    ++keys[firstFor(set, key)];
  }
  std::uint64_t most = 0;
  for (const auto& entry : keys) {
    most = std::max(most, entry.second);
  }
  // With one point per engine and one probe per key, the longest of 1,000 arcs would have about 7
  // times the mean.
  BOOST_TEST(most < kKeysEach * 3);
}

BOOST_AUTO_TEST_CASE(totalsAndPositionsFollowRandomChanges) {
  std::mt19937_64 random(7);
  CandidateSet set;
  std::map<std::size_t, std::size_t> model;
  constexpr int kChanges = 20'000;
  constexpr std::size_t kNumbers = 150;
  constexpr std::size_t kMostRequests = 30;
  for (int change = 0; change < kChanges; ++change) {
    const std::size_t number = random() % kNumbers;
    if (random() % 3 == 0) {
      set.erase(BackendId("engine-" + std::to_string(number)));
      model.erase(number);
    } else {
      model[number] = random() % kMostRequests;
      set.put(engine(number, model[number]));
    }
    BOOST_REQUIRE(set.size() == model.size());
    const std::size_t probe = random() % kNumbers;
    const auto position = set.find(BackendId("engine-" + std::to_string(probe)));
    BOOST_REQUIRE(position.has_value() == model.contains(probe));
    BOOST_REQUIRE(!position || set[*position].reportedRequests == model[probe]);
    for (const std::size_t ranked : set.inAffinityOrder(random(), 5)) {
      BOOST_REQUIRE(ranked < set.size());
    }
  }
  std::size_t total = 0;
  for (const auto& entry : model) {
    total += entry.second;
  }
  BOOST_TEST(set.totalRequests() == total);
  BOOST_TEST(set.totalPrefillTokens() == total * 10);
}

}  // namespace
}  // namespace calicodrift::routing
