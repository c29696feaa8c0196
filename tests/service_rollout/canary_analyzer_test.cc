#include "service_rollout/canary_analyzer.h"

#include <boost/test/unit_test.hpp>

#include "canary_analyzer_scenario.h"

namespace calicodrift::service_rollout {
namespace {

constexpr std::size_t kOrders = 100;
const MonotonicTime kNow = MonotonicTime() + Milliseconds(100'000);

struct Outcomes {
  std::size_t rejected = 0;
  std::size_t sound = 0;
  std::uint64_t medianBad = 0;
};

Outcomes outcomesOf(const Scenario& scenario, std::size_t orders = kOrders) {
  Outcomes outcomes;
  std::vector<std::uint64_t> bad;
  for (std::size_t seed = 0; seed < orders; ++seed) {
    const ScenarioResult result = runWithJudge(scenario, seed);
    outcomes.rejected += result.rejectedAt ? 1 : 0;
    outcomes.sound += result.verdict == Verdict::kSound ? 1 : 0;
    bad.push_back(result.bad);
  }
  std::sort(bad.begin(), bad.end());
  outcomes.medianBad = bad[bad.size() / 2];
  return outcomes;
}

Scenario scenarioWith(const Defect& defect, double seconds = 8) {
  Scenario scenario;
  scenario.candidate = defect;
  scenario.seconds = seconds;
  return scenario;
}

/// One route with 200 stable answers of ratio 1 and the given answers of the candidate.
OrderObservations seenWith(std::uint32_t candidateAnswers, std::uint32_t candidateFailures) {
  OrderObservations seen;
  auto& samples = seen.routes[RouteKey(0xab)];
  samples[0].answered = 200;
  samples[0].start[ratioBucket(1)] = 200;
  samples[1].answered = candidateAnswers;
  samples[1].failed = candidateFailures;
  return seen;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(judge)

BOOST_AUTO_TEST_CASE(failuresAreDetectedLongBeforeTheDeadline) {
  for (const double failing : {0.2, 0.3, 0.5, 1.0}) {
    const Outcomes outcomes = outcomesOf(scenarioWith({.failing = failing}));
    BOOST_TEST(outcomes.rejected == kOrders);
    BOOST_TEST(outcomes.medianBad < 25U);
  }
}

BOOST_AUTO_TEST_CASE(rareFailuresAreDetectedOnALongOrder) {
  Scenario scenario = scenarioWith({.failing = 0.05}, 30);
  scenario.requestsPerSecond = 843;
  BOOST_TEST(outcomesOf(scenario).rejected == kOrders);
}

BOOST_AUTO_TEST_CASE(slowVersionIsDetected) {
  for (const double slowBy : {3.0, 5.0}) {
    BOOST_TEST(outcomesOf(scenarioWith({.slow = 1.0, .slowBy = slowBy})).rejected == kOrders);
  }
  BOOST_TEST(outcomesOf(scenarioWith({.slow = 0.3, .slowBy = 5})).rejected >= 95U);
  BOOST_TEST(outcomesOf(scenarioWith({.slow = 0.3, .slowBy = 3}, 30)).rejected >= 95U);
}

BOOST_AUTO_TEST_CASE(defectOnASingleRouteIsDetected) {
  BOOST_TEST(outcomesOf(scenarioWith({.failing = 0.3, .route = 1})).rejected == kOrders);
  BOOST_TEST(outcomesOf(scenarioWith({.slow = 1.0, .slowBy = 5, .route = 1})).rejected == kOrders);
}

BOOST_AUTO_TEST_CASE(laterDefectIsDetected) {
  const Defect later{.failing = 0.3, .fromSecond = 20};
  const Outcomes outcomes = outcomesOf(scenarioWith(later, 30));
  BOOST_TEST(outcomes.rejected == kOrders);
  BOOST_TEST(outcomes.medianBad < 25U);
}

BOOST_AUTO_TEST_CASE(soundVersionIsAccepted) {
  Scenario scenario;
  scenario.seconds = 12;
  const Outcomes outcomes = outcomesOf(scenario, 300);
  BOOST_TEST(outcomes.rejected == 0U);
  BOOST_TEST(outcomes.sound >= 297U);
}

BOOST_AUTO_TEST_CASE(soundVersionIsRejectedInUnderOneOf200Orders) {
  constexpr std::size_t kSoundOrders = 2000;
  std::size_t rejected = 0;
  std::mt19937_64 random(20261202);
  for (std::size_t seed = 0; seed < kSoundOrders; ++seed) {
    Scenario scenario;
    scenario.seconds = std::array{8.0, 12.0, 30.0}[seed % 3];
    scenario.requestsPerSecond = std::array{228.0, 843.0}[seed % 2];
    scenario.baseFailureRate = std::uniform_real_distribution<double>(0.005, 0.02)(random);
    rejected += runWithJudge(scenario, seed).rejectedAt ? 1 : 0;
  }
  BOOST_TEST_MESSAGE("sound versions rejected: " << rejected << " of " << kSoundOrders);
  BOOST_TEST(rejected * 200 < kSoundOrders);
}

BOOST_AUTO_TEST_CASE(faultInBothVersionsDoesNotRejectTheCandidate) {
  for (const double requestsPerSecond : {228.0, 843.0}) {
    for (const Defect& fault :
         {Defect{.failing = 0.3, .fromSecond = 4}, Defect{.failing = 1.0, .fromSecond = 4},
          Defect{.slow = 1.0, .slowBy = 5, .fromSecond = 4},
          Defect{.failing = 0.3, .fromSecond = 4, .route = 1}}) {
      Scenario scenario = scenarioWith(fault, 12);
      scenario.stable = fault;
      scenario.requestsPerSecond = requestsPerSecond;
      BOOST_TEST_CONTEXT("failing " << fault.failing << ", slow " << fault.slow << ", "
                                    << requestsPerSecond << " requests/s") {
        BOOST_TEST(outcomesOf(scenario).rejected == 0U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(candidateWhoseServersCrashStaysUndecided) {
  CanaryAnalyzer analyzer{CanaryAnalyzerSettings()};
  for (int tick = 1; tick < 300; ++tick) {
    OrderObservations seen = seenWith(0, 0);
    seen.routes[RouteKey(0xab)][0].answered *= static_cast<std::uint32_t>(tick);
    BOOST_TEST((analyzer.update(seen, kNow + Milliseconds(100 * tick)) == Verdict::kUndecided));
  }
}

BOOST_AUTO_TEST_CASE(candidateIsNotRejectedWithoutAStableVersion) {
  Scenario scenario;
  scenario.stableEndsAt = 4;
  BOOST_TEST(outcomesOf(scenario).rejected == 0U);
}

BOOST_AUTO_TEST_CASE(candidateIsNotJudgedWithoutABaseline) {
  CanaryAnalyzer analyzer{CanaryAnalyzerSettings()};
  OrderObservations seen = seenWith(30, 30);
  seen.routes[RouteKey(0xab)][0] = {};
  BOOST_TEST((analyzer.update(seen, kNow) == Verdict::kUndecided));
  BOOST_TEST(analyzer.evidence() == 0.0);
}

BOOST_AUTO_TEST_CASE(answersWithoutTimesAreNotJudgedForSpeed) {
  Scenario scenario = scenarioWith({.slow = 1.0, .slowBy = 5}, 12);
  scenario.hasTimes = false;
  const Outcomes outcomes = outcomesOf(scenario);
  BOOST_TEST(outcomes.rejected == 0U);
  BOOST_TEST(outcomes.sound == kOrders);
}

BOOST_AUTO_TEST_CASE(lostNodesDoNotRejectASoundVersion) {
  Scenario scenario;
  scenario.nodes = 10;
  scenario.restartsPerSecond = 0.1;
  scenario.seconds = 12;
  BOOST_TEST(outcomesOf(scenario, 300).rejected == 0U);
  scenario.candidate.failing = 0.3;
  BOOST_TEST(outcomesOf(scenario).rejected == kOrders);
}

BOOST_AUTO_TEST_CASE(intermittentSumsDoNotRejectASoundVersion) {
  for (std::size_t seed = 0; seed < 300; ++seed) {
    CanaryAnalyzer analyzer{CanaryAnalyzerSettings()};
    Scenario scenario;
    scenario.nodes = 2;
    scenario.seconds = 12;
    // A part of the relay tree is unreachable at times, and returns with all its counts.
    std::mt19937_64 random(seed);
    OrderObservations kept;
    const ScenarioResult result =
        ScenarioRunner(scenario, seed).run([&](const OrderObservations& sum, MonotonicTime now) {
          const bool heard = random() % 10 != 0;
          return analyzer.update(heard ? sum : kept, now) == Verdict::kBad;
        });
    BOOST_TEST(!result.rejectedAt);
  }
}

BOOST_AUTO_TEST_CASE(answersCountedTwiceDoNotRejectASoundVersion) {
  constexpr int kTicks = 30;
  constexpr int kDuplicateTicks = 10;  // 1 s at one update every 100 ms
  for (std::size_t seed = 0; seed < 300; ++seed) {
    CanaryAnalyzer analyzer{CanaryAnalyzerSettings()};
    Scenario scenario;
    scenario.seconds = 12;
    // The old parent's sums keep the last report of a subtree that has left it.
    OrderObservations lastReport;
    int tick = static_cast<int>(seed);
    const ScenarioResult result =
        ScenarioRunner(scenario, seed).run([&](OrderObservations sum, MonotonicTime now) {
          if (++tick % kTicks == 0) {
            lastReport = sum;
          }
          if (tick % kTicks < kDuplicateTicks) {
            sum += lastReport;
          }
          return analyzer.update(sum, now) == Verdict::kBad;
        });
    BOOST_TEST(!result.rejectedAt);
  }
}

BOOST_AUTO_TEST_CASE(rejectionIsFinal) {
  CanaryAnalyzer analyzer{CanaryAnalyzerSettings()};
  BOOST_TEST((analyzer.update(seenWith(0, 0), kNow) == Verdict::kUndecided));
  BOOST_TEST((analyzer.update(seenWith(50, 25), kNow + Milliseconds(100)) == Verdict::kBad));
  const std::string text = analyzer.explain();
  const double evidence = analyzer.evidence();
  BOOST_TEST((analyzer.update(seenWith(5000, 25), kNow + Milliseconds(200)) == Verdict::kBad));
  BOOST_TEST(analyzer.explain() == text);
  BOOST_TEST(analyzer.evidence() == evidence);
}

BOOST_AUTO_TEST_CASE(rejectionByAnotherNodeIsAdopted) {
  CanaryAnalyzer analyzer{CanaryAnalyzerSettings()};
  OrderObservations seen = seenWith(1, 0);
  seen.rejected = true;
  BOOST_TEST((analyzer.update(seen, kNow) == Verdict::kBad));
  BOOST_TEST(analyzer.explain().find("another node") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(explanationNamesRouteTestAndCounts) {
  CanaryAnalyzer analyzer{CanaryAnalyzerSettings()};
  analyzer.update(seenWith(0, 0), kNow);
  analyzer.update(seenWith(20, 10), kNow + Milliseconds(100));
  BOOST_TEST(analyzer.explain() ==
             "many failures on all routes: 10 of 20 answers, 1.0% expected, ratio 22.9 of 12.0; "
             "candidate 10 of 20 failed, stable 0 of 200");
  BOOST_TEST(analyzer.evidence() > 22.8);
  BOOST_TEST(CanaryAnalyzer{CanaryAnalyzerSettings()}.explain().find(
                 "no evidence against the candidate") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
