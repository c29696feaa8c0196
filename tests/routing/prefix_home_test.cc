#include "routing/prefix_home.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace calicodrift::routing {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};

CandidateSet makeCandidates(std::size_t count) {
  CandidateSet candidates;
  for (std::size_t index = 0; index < count; ++index) {
    Candidate candidate;
    candidate.id = BackendId("e" + std::to_string(index));
    candidate.prefillTokensPerMs = 40;
    candidates.put(candidate);
  }
  return candidates;
}

RouteRequest makeRequest(std::uint64_t sharedPart, std::uint64_t ownPart) {
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

BOOST_AUTO_TEST_CASE(requestsWithTheSameCommonPrefixGoToItsHome) {
  PrefixHome policy;
  const CandidateSet candidates = makeCandidates(12);
  const std::size_t home = policy.choose(makeRequest(7, 1), candidates, kNow).index;
  for (std::uint64_t own = 2; own < 20; ++own) {
    const Choice choice = policy.choose(makeRequest(7, own), candidates, kNow);
    BOOST_TEST(choice.index == home);
    BOOST_TEST(!choice.holder.has_value());
  }
}

BOOST_AUTO_TEST_CASE(commonPrefixHasOneHomeForAnyLength) {
  PrefixHome policy;
  const CandidateSet candidates = makeCandidates(80);
  for (const std::size_t sharedTokens : {90U, 2560U}) {
    std::set<std::size_t> homes;
    for (std::uint64_t own = 1; own < 200; ++own) {
      RouteRequest request = makeRequest(7, own);
      request.sharedTokens = sharedTokens;
      homes.insert(policy.choose(request, candidates, kNow).index);
    }
    BOOST_TEST(homes.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(busyHomeIsLeftAndNamedAsTheHolder) {
  PrefixHome policy;
  CandidateSet candidates = makeCandidates(12);
  const std::size_t home = policy.choose(makeRequest(7, 1), candidates, kNow).index;
  Candidate busy = candidates[home];
  busy.sentPrefillTokens = 40'000;
  candidates.put(busy);
  const Choice choice = policy.choose(makeRequest(7, 2), candidates, kNow);
  BOOST_TEST(choice.index != home);
  BOOST_TEST((choice.holder == home));
  BOOST_TEST(choice.expectedCachedBlocks == 10U);
}

BOOST_AUTO_TEST_CASE(promptThatWouldPauseStreamsLeavesTheHome) {
  PrefixHome policy;
  CandidateSet candidates = makeCandidates(12);
  const std::size_t home = policy.choose(makeRequest(7, 1), candidates, kNow).index;
  // 9,000 queued tokens take 225 ms to prefill, which is less than the cost of leaving the home.
  Candidate streaming = candidates[home];
  streaming.sentPrefillTokens = 9000;
  streaming.outstanding = 6;
  candidates.put(streaming);
  BOOST_TEST(policy.choose(makeRequest(7, 2), candidates, kNow).index == home);
  streaming.maxStreamPauseMs = 200;
  candidates.put(streaming);
  BOOST_TEST(policy.choose(makeRequest(7, 3), candidates, kNow).index != home);
  // A pause within the bound has no cost.
  streaming.maxStreamPauseMs = 600;
  candidates.put(streaming);
  BOOST_TEST(policy.choose(makeRequest(7, 4), candidates, kNow).index == home);
}

BOOST_AUTO_TEST_CASE(homeFilledByOtherRoutersIsLeft) {
  PrefixHome policy;
  CandidateSet candidates = makeCandidates(12);
  const std::size_t home = policy.choose(makeRequest(7, 1), candidates, kNow).index;
  Candidate full = candidates[home];
  full.memoryTokens = 100'000;
  full.slots = 16;
  full.peerRequests = 8;
  full.peerTokens = 60'000;
  candidates.put(full);
  BOOST_TEST(policy.choose(makeRequest(7, 2), candidates, kNow).index == home);
  // There is no memory for the prompt's 2,816 tokens in addition to the running requests.
  full.peerTokens = 79'000;
  candidates.put(full);
  BOOST_TEST(policy.choose(makeRequest(7, 3), candidates, kNow).index != home);
  // There is memory, but a long queue for a batch slot.
  full.peerTokens = 10'000;
  full.peerRequests = 30;
  candidates.put(full);
  BOOST_TEST(policy.choose(makeRequest(7, 4), candidates, kNow).index != home);
}

}  // namespace
}  // namespace calicodrift::routing
