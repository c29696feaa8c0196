#include <boost/test/unit_test.hpp>
#include <random>

#include "openai/completion.h"
#include "replay/simulation.h"
#include "support/fleet.h"

namespace calicodrift::testing {
namespace {

constexpr std::size_t kEngines = 4;
constexpr std::size_t kCacheBlocks = 80;
/// The fleet's engines have blocks of 64 bytes, 4 bytes a token.
constexpr std::size_t kBlockBytes = 64;
constexpr std::size_t kOutputTokens = 2;

/// Questions about documents that share a beginning: together they fit into all caches, but not
/// into one.
replay::Trace smallTrace() {
  constexpr std::uint64_t kDocuments = 24;
  constexpr std::uint64_t kDocumentBlocks = 9;
  constexpr std::uint64_t kSharedBlocks = 2;
  constexpr std::size_t kRequests = 160;
  constexpr std::int64_t kBetweenMs = 200;
  std::mt19937_64 random(5);
  replay::Trace trace;
  for (std::size_t index = 0; index < kRequests; ++index) {
    const std::uint64_t document = random() % kDocuments;
    replay::TraceRequest request;
    request.timestampMs = static_cast<std::int64_t>(index) * kBetweenMs;
    request.outputLength = kOutputTokens;
    for (std::uint64_t block = 0; block < kDocumentBlocks; ++block) {
      const bool shared = block < kSharedBlocks;
      request.hashIds.push_back(shared ? block : (document + 1) * 100 + block);
    }
    request.inputLength = request.hashIds.size() * replay::kTraceBlockTokens;
    trace.push_back(std::move(request));
  }
  return trace;
}

std::string promptOf(const replay::TraceRequest& request) {
  std::string prompt;
  for (const std::uint64_t id : request.hashIds) {
    std::string block = "block " + std::to_string(id) + " ";
    block.resize(kBlockBytes, '.');
    prompt += block;
  }
  return prompt;
}

double liveHitRate(const replay::Trace& trace, const std::string& policy) {
  Fleet fleet;
  fleet.submitBundle(Fleet::bundleText(1, policy));
  std::vector<std::unique_ptr<Process>> engines;
  for (std::size_t engine = 0; engine < kEngines; ++engine) {
    engines.push_back(fleet.startEngine("e" + std::to_string(engine),
                                        {"--cache-blocks", std::to_string(kCacheBlocks)}));
  }
  const auto router = fleet.startRouter("r1");
  BOOST_REQUIRE(waitUntilServing(router->endpoint("router")));
  std::size_t promptTokens = 0;
  std::size_t cachedTokens = 0;
  for (const replay::TraceRequest& request : trace) {
    const std::string body = completionBody(promptOf(request), kOutputTokens, false);
    const auto response =
        exchange(router->endpoint("router"), authorized("POST", "/v1/completions", body));
    BOOST_REQUIRE(response.has_value());
    const auto content = openai::parseCompletionBody(response.value().body);
    BOOST_REQUIRE(content.has_value());
    promptTokens += content.value().usage.promptTokens;
    cachedTokens += content.value().usage.cachedTokens;
  }
  return static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
}

double virtualHitRate(const replay::Trace& trace, const std::string& policy) {
  replay::ReplaySettings settings;
  settings.deployment = *replay::findDeployment("tatra");
  settings.deployment.engines = kEngines;
  settings.deployment.engine.cacheBlocks = kCacheBlocks;
  settings.routers = 1;
  settings.index = replay::IndexPlacement::kLocal;
  return replay::Simulation(settings, trace, policy).run().prefixHitRate();
}

BOOST_AUTO_TEST_CASE(liveProcessesAndTheVirtualRunRankPoliciesAlike) {
  const replay::Trace trace = smallTrace();
  const double liveRoundRobin = liveHitRate(trace, "RoundRobin");
  const double liveBest = liveHitRate(trace, "NestedPrefixAffinity");
  const double virtualRoundRobin = virtualHitRate(trace, "RoundRobin");
  const double virtualBest = virtualHitRate(trace, "NestedPrefixAffinity");
  BOOST_TEST_MESSAGE("hit rates, live and virtual: RoundRobin "
                     << liveRoundRobin << " " << virtualRoundRobin << ", NestedPrefixAffinity "
                     << liveBest << " " << virtualBest);
  BOOST_TEST(virtualRoundRobin < virtualBest);
  BOOST_TEST(liveRoundRobin < liveBest);
}

}  // namespace
}  // namespace calicodrift::testing
