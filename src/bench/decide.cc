#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <random>

#include "bench/programs.h"
#include "bench/report.h"
#include "routing/policy.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

namespace json = boost::json;
constexpr std::int64_t kMillion = 1'000'000;

struct DecideSettings {
  std::vector<std::string> policies;
  std::int64_t engines = 0;
  std::int64_t blocks = 0;
  std::int64_t decisions = 0;
  std::int64_t seed = 0;
  std::string json;
};

settings::SettingsTable<DecideSettings> decideTable() {
  return {
      {{"policy", "", 0, 0, "", "names of policies, separated by commas; all where absent"},
       &DecideSettings::policies},
      {{"engines", "10000", 1, 60'000, "count", "engines of the one model"},
       &DecideSettings::engines},
      {{"blocks", "1000000", 0, 100 * kMillion, "count",
        "blocks that the router has placed before"},
       &DecideSettings::blocks},
      {{"decisions", "100000", 1, 100 * kMillion, "count", "decisions to time"},
       &DecideSettings::decisions},
      {{"seed", "1", 0, kMillion * kMillion, "", "seed of the prompts"}, &DecideSettings::seed},
      {{"json", "", 0, 0, "", "file for the result"}, &DecideSettings::json},
  };
}

/// Prompts of many tenants: 4 blocks of the tenant, 20 of a document, up to 8 of a conversation.
class Prompts {
 public:
  explicit Prompts(std::uint64_t seed) : random_(seed) {}

  routing::RouteRequest next() {
    constexpr std::uint64_t kTenants = 340;
    constexpr std::uint64_t kDocuments = 200;
    constexpr std::uint64_t kConversations = 50;
    constexpr std::size_t kOutputTokens = 200;
    // The minimum of two draws prefers low numbers: some tenants and documents are hot.
    const std::uint64_t tenant = std::min(draw(kTenants), draw(kTenants));
    const std::uint64_t document = std::min(draw(kDocuments), draw(kDocuments));
    routing::RouteRequest request;
    std::uint64_t hash = hashPair(tenant, 0);
    hash = append(request, hash, kTenantBlocks);
    hash = append(request, hashPair(hash, document), kDocumentBlocks);
    append(request, hashPair(hash, draw(kConversations)), draw(kMostTailBlocks));
    request.tenant = TenantId("t" + std::to_string(tenant));
    request.model = ModelId("m");
    request.promptTokens = request.blocks.size() * request.blockTokens;
    request.outputTokens = kOutputTokens;
    return request;
  }

 private:
  static constexpr std::size_t kTenantBlocks = 4;
  static constexpr std::size_t kDocumentBlocks = 20;
  static constexpr std::uint64_t kMostTailBlocks = 9;

  std::uint64_t draw(std::uint64_t count) {
    return std::uniform_int_distribution<std::uint64_t>(0, count - 1)(random_);
  }
  static std::uint64_t append(routing::RouteRequest& request, std::uint64_t hash,
                              std::size_t count) {
    for (std::size_t block = 0; block < count; ++block) {
      hash = hashPair(hash, block);
      request.blocks.emplace_back(hash);
    }
    return hash;
  }

  std::mt19937_64 random_;
};

routing::CandidateSet makeCandidates(std::int64_t engines, std::mt19937_64& random) {
  constexpr std::size_t kMostRequests = 20;
  constexpr std::size_t kMostTokens = 8000;
  routing::CandidateSet candidates;
  for (std::int64_t engine = 0; engine < engines; ++engine) {
    routing::Candidate candidate;
    candidate.id = BackendId("engine-" + std::to_string(engine));
    candidate.incarnation = Incarnation(1);
    candidate.reportedRequests = random() % kMostRequests;
    candidate.reportedPrefillTokens = random() % kMostTokens;
    candidates.put(std::move(candidate));
  }
  return candidates;
}

/// Times decisions of one policy that knows `blocks` placed blocks.
json::object measure(const std::string& name, const DecideSettings& given) {
  using Clock = std::chrono::steady_clock;
  constexpr Microseconds kBetweenRequests{40'000};
  std::mt19937_64 random(static_cast<std::uint64_t>(given.seed));
  Prompts prompts(random());
  const routing::CandidateSet candidates = makeCandidates(given.engines, random);
  const std::unique_ptr<routing::Policy> policy = routing::makePolicy(name, random());
  MonotonicTime now{};
  std::int64_t placed = 0;
  while (placed < given.blocks) {
    const routing::RouteRequest request = prompts.next();
    const routing::Choice choice = policy->choose(request, candidates, now);
    policy->onDispatched(request, candidates[choice.index], now);
    placed += static_cast<std::int64_t>(request.blocks.size());
  }
  std::vector<double> micros;
  for (std::int64_t decision = 0; decision < given.decisions; ++decision) {
    const routing::RouteRequest request = prompts.next();
    now += kBetweenRequests;
    const Clock::time_point begin = Clock::now();
    const routing::Choice choice = policy->choose(request, candidates, now);
    const Clock::time_point end = Clock::now();
    policy->onDispatched(request, candidates[choice.index], now);
    micros.push_back(std::chrono::duration<double, std::micro>(end - begin).count());
  }
  return {{"p50_us", percentile(micros, 0.50)},
          {"p99_us", percentile(micros, 0.99)},
          {"p999_us", percentile(micros, 0.999)},
          {"decisions", given.decisions}};
}

}  // namespace

int runDecide(int argc, const char* const* argv) {
  const DecideSettings given =
      settings::loadOrExit(argc, argv, "Times routing decisions", decideTable()).settings;
  const auto& all = routing::policyNames();
  const std::vector<std::string> names =
      given.policies.empty() ? std::vector<std::string>(all.begin(), all.end()) : given.policies;
  json::object policies;
  for (const std::string& name : names) {
    if (!routing::makePolicy(name, 0)) {
      std::cerr << "decide: unknown policy '" << name << "'; see replay --list-policies\n";
      return settings::kExitUsage;
    }
    policies[name] = measure(name, given);
  }
  const json::object result{{"engines", given.engines},
                            {"blocks", given.blocks},
                            {"seed", given.seed},
                            {"policies", std::move(policies)}};
  return writeReport(result, given.json) ? settings::kExitSuccess : settings::kExitFailure;
}

}  // namespace calicodrift::bench
