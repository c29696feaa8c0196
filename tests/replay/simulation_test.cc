#include "replay/simulation.h"

#include <boost/test/unit_test.hpp>

#include "replay/result_json.h"
#include "replay/trace_generator.h"

namespace calicodrift::replay {
namespace {

const std::string kBest = "NestedPrefixAffinity";

Trace makeTrace(const std::string& site, std::uint64_t seed, std::size_t requests) {
  TraceOrder order;
  order.deployment = *findDeployment(site);
  order.shape = *findShape(defaultShapeOf(order.deployment));
  order.seed = seed;
  order.requests = requests;
  return generateTrace(order);
}

ReplaySettings settingsFor(const std::string& site) {
  ReplaySettings settings;
  settings.deployment = *findDeployment(site);
  return settings;
}

ReplaySettings withFaults(ReplaySettings settings) {
  settings.eventDelay = Milliseconds(2000);
  settings.eventLoss = 0.05;
  settings.crashes = 5;
  return settings;
}

BOOST_AUTO_TEST_CASE(theSameSeedGivesTheSameBytesWithAllFaults) {
  const Trace trace = makeTrace("tatra", 21, 800);
  const ReplaySettings settings = withFaults(settingsFor("tatra"));
  const auto resultOf = [&](const ReplaySettings& used) {
    PolicyResults results;
    for (const std::string_view name : routing::policyNames()) {
      results.emplace_back(name, Simulation(used, trace, name).run());
    }
    return resultJson(used, results);
  };
  const std::string first = resultOf(settings);
  BOOST_TEST((first == resultOf(settings)));
  ReplaySettings otherSeed = settings;
  otherSeed.seed = 2;
  BOOST_TEST((first != resultOf(otherSeed)));
}

BOOST_AUTO_TEST_CASE(everyRequestIsCompletedOrRefusedInSpiteOfCrashes) {
  const Trace trace = makeTrace("trinacria", 22, 1'000);
  for (const std::string_view name : routing::policyNames()) {
    const Measures measures = Simulation(withFaults(settingsFor("trinacria")), trace, name).run();
    BOOST_TEST(measures.completed + measures.refused == trace.size());
    BOOST_TEST(measures.refused * 100 < trace.size());
    BOOST_TEST(measures.retries > 0U);
    BOOST_TEST(measures.firstToken.count() >= measures.completed);
  }
}

BOOST_AUTO_TEST_CASE(theBestPolicyMeetsTheTargetsOnNewTraces) {
  for (const std::string site : {"tatra", "trinacria"}) {
    const Trace trace = makeTrace(site, 23, 3'000);
    const ReplaySettings settings = settingsFor(site);
    const Measures roundRobin = Simulation(settings, trace, "RoundRobin").run();
    const Measures leastOutstanding = Simulation(settings, trace, "LeastOutstanding").run();
    const Measures best = Simulation(settings, trace, kBest).run();
    BOOST_TEST(best.prefixHitRate() >= 0.9 * best.oracleHitRate);
    BOOST_TEST(best.wastedTokens * 5 <= roundRobin.wastedTokens);
    const double bestTail = best.firstToken.percentile(99);
    BOOST_TEST(bestTail * 2 <= roundRobin.firstToken.percentile(99));
    BOOST_TEST(bestTail < leastOutstanding.firstToken.percentile(99));

    ReplaySettings late = settings;
    late.eventDelay = Milliseconds(2000);
    late.eventLoss = 0.05;
    const Measures delayed = Simulation(late, trace, kBest).run();
    BOOST_TEST(best.prefixHitRate() - delayed.prefixHitRate() < 0.05);
  }
}

BOOST_AUTO_TEST_CASE(decisionsAtThePrefixOwnerNeedNoCacheEvents) {
  const Trace trace = makeTrace("tatra", 24, 2'000);
  ReplaySettings settings = settingsFor("tatra");
  settings.index = IndexPlacement::kSharded;
  settings.eventLoss = 1;
  const Measures sharded = Simulation(settings, trace, kBest).run();
  BOOST_TEST(sharded.eventsReceived == 0U);
  BOOST_TEST(sharded.prefixHitRate() >= 0.9 * sharded.oracleHitRate);
}

}  // namespace
}  // namespace calicodrift::replay
