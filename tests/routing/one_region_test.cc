#include <boost/test/unit_test.hpp>
#include <random>

#include "routing/policy.h"

namespace calicodrift::routing {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr std::size_t kServers = 30;

/// Candidates of one region with random load.
CandidateSet randomLoads(std::mt19937_64& random) {
  const auto below = [&random](std::size_t bound) { return std::size_t{random() % bound}; };
  CandidateSet candidates;
  for (std::size_t number = 0; number < kServers; ++number) {
    Candidate candidate;
    candidate.id = BackendId("e" + std::to_string(number));
    candidate.prefillTokensPerMs = 40;
    candidate.slots = 12;
    candidate.maxStreamPauseMs = 300;
    candidate.outstanding = below(20);
    candidate.outstandingTokens = below(4) * 1000;
    candidate.sentPrefillTokens = below(20) * 1000;
    candidates.put(candidate);
  }
  return candidates;
}

RouteRequest randomPrompt(std::mt19937_64& random) {
  RouteRequest request;
  const std::uint64_t sharedPart = random() % 50;
  for (std::uint64_t block = 0; block < 10; ++block) {
    request.blocks.push_back(BlockHash(hashPair(sharedPart, block)));
  }
  request.sharedBlocks = request.blocks.size();
  request.blocks.push_back(BlockHash(random()));
  request.blockTokens = 256;
  request.promptTokens = std::size_t{11} * 256;
  if (random() % 4 == 0) {
    request.avoided.emplace_back("e" + std::to_string(random() % kServers));
  }
  return request;
}

/// Hash of all choices for seeded requests.
std::uint64_t fingerprint(std::string_view policyName) {
  std::mt19937_64 random(11);
  const auto policy = makePolicy(policyName, 5);
  std::uint64_t all = 0;
  for (int count = 0; count < 2000; ++count) {
    const CandidateSet candidates = randomLoads(random);
    const Choice choice = policy->choose(randomPrompt(random), candidates, kNow);
    all = hashPair(all, hashPair(choice.index, choice.holder.value_or(kServers)));
  }
  return all;
}

/// Guards against changed decisions for a fleet in one region, where distances must not matter: the
/// values were computed with the policies before they took distance into account.
BOOST_AUTO_TEST_CASE(aFleetInOneRegionDecidesAsWithoutDistance) {
  BOOST_TEST(fingerprint("PrefixHome") == 14076554585295137915U);
  BOOST_TEST(fingerprint("LeastOutstanding") == 3863065282022704299U);
}

}  // namespace
}  // namespace calicodrift::routing
