#include "routing/policy.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace calicodrift::routing {
namespace {

const MonotonicTime kStart{std::chrono::hours(1)};
constexpr std::size_t kBlocks = 12;

Candidate engine(std::size_t number, std::uint64_t incarnation = 1) {
  Candidate candidate;
  candidate.id = BackendId("engine-" + std::to_string(number));
  candidate.incarnation = Incarnation(incarnation);
  return candidate;
}

CandidateSet engines(std::size_t count) {
  CandidateSet set;
  for (std::size_t number = 0; number < count; ++number) {
    set.put(engine(number));
  }
  return set;
}

/// A prompt that is identified by `text`; equal texts share all blocks.
RouteRequest prompt(std::uint64_t text, std::size_t blocks = kBlocks) {
  RouteRequest request;
  request.tenant = TenantId("t");
  request.model = ModelId("m");
  for (std::size_t block = 0; block < blocks; ++block) {
    request.blocks.emplace_back(hashPair(text, block));
  }
  request.promptTokens = blocks * request.blockTokens + 1;
  request.outputTokens = 100;
  return request;
}

std::vector<std::string> indexPolicies() {
  return {"PrefixIndexWithLoad", "NestedPrefixAffinity"};
}

BOOST_AUTO_TEST_CASE(everyPolicyChoosesACandidateThatHasNotFailedYet) {
  constexpr int kRounds = 3'000;
  constexpr std::size_t kMostEngines = 150;
  for (const std::string_view name : policyNames()) {
    Random random(3);
    const auto policy = makePolicy(name, 1);
    BOOST_TEST(policy->name() == name);
    for (int round = 0; round < kRounds; ++round) {
      const std::size_t count = 1 + random() % kMostEngines;
      CandidateSet set;
      for (std::size_t number = 0; number < count; ++number) {
        Candidate candidate = engine(number, 1 + random() % 2);
        candidate.reportedRequests = random() % 40;
        candidate.reportedPrefillTokens = random() % 20'000;
        set.put(std::move(candidate));
      }
      RouteRequest request = prompt(random() % 20, random() % kBlocks);
      for (std::size_t failed = 0; failed < random() % 6; ++failed) {
        request.avoided.push_back(set[random() % count].id);
      }
      const MonotonicTime now = kStart + Milliseconds(round * 10);
      const Choice choice = policy->choose(request, set, now);
      BOOST_REQUIRE(choice.index < set.size());
      BOOST_REQUIRE(choice.expectedCachedBlocks <= request.blocks.size());
      const BackendId chosen = set[choice.index].id;
      const bool failedBefore = std::find(request.avoided.begin(), request.avoided.end(), chosen) !=
                                request.avoided.end();
      const std::set<BackendId> failed(request.avoided.begin(), request.avoided.end());
      BOOST_REQUIRE(!failedBefore || failed.size() == count);
      policy->onDispatched(request, set[choice.index], now);
    }
  }
}

BOOST_AUTO_TEST_CASE(noPolicyReliesOnTheCacheOfALostIncarnation) {
  for (const std::string& name : indexPolicies()) {
    const auto policy = makePolicy(name, 1);
    const RouteRequest request = prompt(1);
    CandidateSet set;
    set.put(engine(0));
    policy->onDispatched(request, set[0], kStart);
    policy->onCompleted(request, set[0], 0, kStart);
    BOOST_TEST(policy->choose(request, set, kStart).expectedCachedBlocks == kBlocks);

    // The new incarnation gets no cached blocks, neither before nor after the loss is reported.
    set.put(engine(0, 2));
    BOOST_TEST(policy->choose(request, set, kStart).expectedCachedBlocks == 0U);
    policy->onBackendLost(set[0].id);
    BOOST_TEST(policy->choose(request, set, kStart).expectedCachedBlocks == 0U);

    // Events and answers of the old incarnation arrive late.
    policy->onDispatched(prompt(2), set[0], kStart);
    CacheEventBatch late{set[0].id, Incarnation(1), 1, {}};
    for (const BlockHash block : request.blocks) {
      late.events.push_back({true, block});
    }
    policy->onCacheEvents(late, kStart);
    policy->onCompleted(request, engine(0, 1), 0, kStart);
    BOOST_TEST(policy->choose(request, set, kStart).expectedCachedBlocks == 0U);
    BOOST_TEST(policy->choose(prompt(2), set, kStart).expectedCachedBlocks == kBlocks);
  }
}

BOOST_AUTO_TEST_CASE(cacheEntriesNeedTheSameTenantAndEndWithEvictions) {
  for (const std::string& name : indexPolicies()) {
    const auto policy = makePolicy(name, 1);
    CandidateSet set;
    set.put(engine(0));
    const auto requestOf = [](const std::string& tenant, std::uint64_t weights) {
      RouteRequest request = prompt(1);
      request.blocks =
          chainHashes(CacheScope{TenantId(tenant), ModelId("m"), WeightsVersion(weights), ""},
                      std::vector<std::uint64_t>{1, 2, 3});
      return request;
    };
    policy->onDispatched(requestOf("a", 1), set[0], kStart);
    BOOST_TEST(policy->choose(requestOf("a", 1), set, kStart).expectedCachedBlocks == 3U);
    BOOST_TEST(policy->choose(requestOf("b", 1), set, kStart).expectedCachedBlocks == 0U);
    BOOST_TEST(policy->choose(requestOf("a", 2), set, kStart).expectedCachedBlocks == 0U);
    CacheEventBatch evicted{set[0].id, Incarnation(1), 9, {{false, requestOf("a", 1).blocks[1]}}};
    policy->onCacheEvents(evicted, kStart);
    BOOST_TEST(policy->choose(requestOf("a", 1), set, kStart).expectedCachedBlocks == 1U);
  }
}

/// Sends requests of which every `everyNth` has the text, and returns the number of engines that
/// received the text.
std::size_t enginesOfText(Policy& policy, const CandidateSet& set, std::uint64_t text,
                          std::size_t everyNth, MonotonicTime& now) {
  constexpr std::size_t kRequests = 600;
  constexpr Milliseconds kBetween{50};
  std::set<BackendId> used;
  for (std::size_t index = 0; index < kRequests; ++index) {
    now += kBetween;
    const bool forText = index % everyNth == 0;
    RouteRequest request = prompt(forText ? text : 1'000 + index);
    // Each conversation about the text continues differently.
    request.blocks.resize(kBlocks + 4, BlockHash(hashPair(text, index + 1'000'000)));
    request.decidedOnlyByThisRouter = true;
    const Choice choice = policy.choose(request, set, now);
    if (forText) {
      used.insert(set[choice.index].id);
    }
  }
  return used.size();
}

BOOST_AUTO_TEST_CASE(hotPrefixSpreadsAndReturnsToOneEngineWhenItCools) {
  constexpr std::size_t kEngines = 18;
  constexpr std::size_t kRareNth = 100;
  const CandidateSet set = engines(kEngines);
  const auto policy = makePolicy("NestedPrefixAffinity", 1);
  MonotonicTime now = kStart;
  const std::size_t cold = enginesOfText(*policy, set, 5, kRareNth, now);
  enginesOfText(*policy, set, 5, 2, now);
  const std::size_t hot = enginesOfText(*policy, set, 5, 2, now);
  now += std::chrono::minutes(10);
  const std::size_t cooled = enginesOfText(*policy, set, 5, kRareNth, now);
  BOOST_TEST(cold <= 2U);
  // Half of the load requires at least half of the engines.
  BOOST_TEST(hot >= kEngines / 2);
  BOOST_TEST(cooled <= 2U);
}

}  // namespace
}  // namespace calicodrift::routing
