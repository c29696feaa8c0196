#include <boost/test/unit_test.hpp>

#include "routing/policy.h"

namespace calicodrift::routing {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr double kRoundTripMs = 60;
constexpr std::size_t kServers = 30;

std::size_t regionOf(std::size_t number) {
  return number % 3;
}

/// One third of the servers in each of three regions, as seen from one of them.
/// @param prefillTokensPerMs prefill rate; the common prefix of promptOf() has 2,560 tokens.
CandidateSet seenFrom(std::size_t region, std::size_t count = kServers,
                      double prefillTokensPerMs = 80) {
  CandidateSet candidates;
  for (std::size_t number = 0; number < count; ++number) {
    Candidate candidate;
    candidate.id = BackendId("e" + std::to_string(number));
    candidate.prefillTokensPerMs = prefillTokensPerMs;
    candidate.slots = 6;
    candidate.nearby = regionOf(number) == region;
    candidate.rttMs = candidate.nearby ? 0 : kRoundTripMs;
    candidates.put(candidate);
  }
  return candidates;
}

void setRequests(CandidateSet& candidates, bool nearby, std::size_t requests) {
  for (std::size_t position = 0; position < candidates.size(); ++position) {
    Candidate candidate = candidates[position];
    if (candidate.nearby == nearby) {
      candidate.outstanding = requests;
      candidates.put(candidate);
    }
  }
}

RouteRequest promptOf(std::uint64_t sharedPart, std::uint64_t ownPart) {
  RouteRequest request;
  for (std::uint64_t block = 0; block < 10; ++block) {
    request.blocks.push_back(BlockHash(hashPair(sharedPart, block)));
  }
  request.sharedBlocks = request.blocks.size();
  request.blocks.push_back(BlockHash(ownPart));
  request.blockTokens = 256;
  request.promptTokens = std::size_t{11} * 256;
  return request;
}

std::string chosen(Policy& policy, const RouteRequest& request, const CandidateSet& candidates) {
  return candidates[policy.choose(request, candidates, kNow).index].id.value();
}

BOOST_AUTO_TEST_SUITE(regions)

BOOST_AUTO_TEST_CASE(eachRegionHasItsHomeAndItsNodesAgree) {
  const auto policy = makePolicy("PrefixHome", 1);
  const auto another = makePolicy("PrefixHome", 2);
  for (std::size_t region = 0; region < 3; ++region) {
    const CandidateSet candidates = seenFrom(region);
    for (std::uint64_t part = 1; part < 50; ++part) {
      const std::size_t home = policy->choose(promptOf(part, 1), candidates, kNow).index;
      BOOST_TEST(candidates[home].nearby);
      BOOST_TEST(another->choose(promptOf(part, 2), candidates, kNow).index == home);
    }
  }
}

BOOST_AUTO_TEST_CASE(slowPrefixHasOneHomeInTheFleet) {
  const auto policy = makePolicy("PrefixHome", 1);
  constexpr double kSlowTokensPerMs = 20;
  std::size_t distant = 0;
  for (std::uint64_t part = 1; part < 50; ++part) {
    const CandidateSet here = seenFrom(0, kServers, kSlowTokensPerMs);
    const CandidateSet there = seenFrom(1, kServers, kSlowTokensPerMs);
    const std::string home = chosen(*policy, promptOf(part, 1), here);
    BOOST_TEST(chosen(*policy, promptOf(part, 2), there) == home);
    distant += here[*here.find(BackendId(home))].nearby ? 0 : 1;
  }
  BOOST_TEST(distant > 20U);
}

BOOST_AUTO_TEST_CASE(aLargeSetHasHomesByRegionToo) {
  const auto policy = makePolicy("PrefixHome", 1);
  const CandidateSet candidates = seenFrom(1, 3 * CandidateSet::kSmallSetSize);
  for (std::uint64_t part = 1; part < 200; ++part) {
    BOOST_TEST(candidates[policy->choose(promptOf(part, 1), candidates, kNow).index].nearby);
  }
}

BOOST_AUTO_TEST_CASE(promptsLeaveABusyRegionAndComeBack) {
  const auto policy = makePolicy("PrefixHome", 1);
  CandidateSet candidates = seenFrom(0);
  setRequests(candidates, true, 200);
  const Choice away = policy->choose(promptOf(7, 1), candidates, kNow);
  BOOST_TEST(!candidates[away.index].nearby);
  setRequests(candidates, true, 3);
  BOOST_TEST(candidates[policy->choose(promptOf(7, 2), candidates, kNow).index].nearby);
}

BOOST_AUTO_TEST_CASE(promptsDontLeaveForLessThanTheRoundTripAndTheMargin) {
  const auto policy = makePolicy("PrefixHome", 1);
  CandidateSet candidates = seenFrom(0);
  setRequests(candidates, true, 5);
  for (std::uint64_t part = 1; part < 50; ++part) {
    BOOST_TEST(candidates[policy->choose(promptOf(part, 1), candidates, kNow).index].nearby);
  }
}

BOOST_AUTO_TEST_CASE(aRegionWithoutServersIsServedByOthers) {
  for (const std::string_view name : {"PrefixHome", "LeastOutstanding"}) {
    const auto policy = makePolicy(name, 1);
    CandidateSet candidates = seenFrom(0);
    for (std::size_t number = 0; number < kServers; number += 3) {
      candidates.erase(BackendId("e" + std::to_string(number)));
    }
    BOOST_TEST(!candidates.anyNearby());
    BOOST_TEST(!chosen(*policy, promptOf(7, 1), candidates).empty());
  }
}

BOOST_AUTO_TEST_CASE(servicesStayInTheRegionWhileItHasCapacity) {
  const auto policy = makePolicy("LeastOutstanding", 1);
  CandidateSet candidates = seenFrom(2);
  for (const std::size_t requests : {0U, 3U, 8U, 12U}) {
    setRequests(candidates, true, requests);
    for (int count = 0; count < 50; ++count) {
      BOOST_TEST(candidates[policy->choose({}, candidates, kNow).index].nearby);
    }
  }
  // The queue now takes longer than the round trip.
  setRequests(candidates, true, 40);
  std::size_t away = 0;
  for (int count = 0; count < 50; ++count) {
    away += candidates[policy->choose({}, candidates, kNow).index].nearby ? 0 : 1;
  }
  BOOST_TEST(away > 0U);
}

BOOST_AUTO_TEST_CASE(retryPrefersAnotherNearbyServer) {
  const auto policy = makePolicy("LeastOutstanding", 1);
  const CandidateSet candidates = seenFrom(0, 6);
  RouteRequest request;
  request.avoided = {BackendId("e0")};
  BOOST_TEST(chosen(*policy, request, candidates) == "e3");
  request.avoided.emplace_back("e3");
  BOOST_TEST(!candidates[policy->choose(request, candidates, kNow).index].nearby);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::routing
