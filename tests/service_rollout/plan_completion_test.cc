#include "plan_fixture.h"
#include "service_rollout/plan.h"

namespace calicodrift::service_rollout {
namespace {

using testing::kNew;
using testing::kOld;
using testing::PlanFixture;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(plan_completion, PlanFixture)

// Completion.

BOOST_AUTO_TEST_CASE(aShiftCompletesWhenNothingRunsOnTheStableVersion) {
  startShifting();
  expectNothing("requests on the stable version");
  drain();
  expectRecord(Phase::kSteady, kNew);
  BOOST_REQUIRE(apply(next()));
  BOOST_TEST((input.record->outcome == OrderState::kCompleted));
  BOOST_TEST((input.record->outcomeTarget == kNew));
  expectState(OrderState::kCompleted);
  BOOST_REQUIRE(apply(next()));
  expectNothing();
}

BOOST_AUTO_TEST_CASE(oneReportWithoutRequestsDoesNotCompleteAShift) {
  startShifting();
  drain();
  input.drainedFor = Milliseconds(499);
  expectNothing("requests on the stable version");
}

BOOST_AUTO_TEST_CASE(hangingRequestDoesNotBlockAShiftForever) {
  startShifting();
  input.phaseAge = Milliseconds(4999);
  expectNothing("requests on the stable version");
  input.phaseAge = Milliseconds(5000);
  expectRecord(Phase::kSteady, kNew);
}

BOOST_AUTO_TEST_CASE(aShiftGoesOnBeingJudgedUntilTheDeadlineIsNear) {
  startShifting();
  drain();
  input.observations.age = Milliseconds(6999);
  expectNothing("still evaluating");
  input.observations.age = Milliseconds(7000);
  expectRecord(Phase::kSteady, kNew);
}

BOOST_AUTO_TEST_CASE(aShiftIsJudgedUnderAllOfTheTrafficAlsoPastTheDeadline) {
  startShifting();
  drain();
  input.observations.age = Milliseconds(8500);
  input.phaseAge = Milliseconds(999);
  expectNothing("still evaluating");
  input.phaseAge = Milliseconds(1000);
  expectRecord(Phase::kSteady, kNew);
}

BOOST_AUTO_TEST_CASE(shiftWithEvidenceAgainstItContinuesUntilDecided) {
  startShifting();
  drain();
  observe(Verdict::kUndecided, Milliseconds(8500));
  input.phaseAge = Milliseconds(9999);
  expectNothing("evidence against");
  observe(Verdict::kBad, Milliseconds(8500));
  expectRecord(Phase::kSteady, kOld);
  observe(Verdict::kUndecided, Milliseconds(8500));
  input.phaseAge = Milliseconds(10'000);
  expectRecord(Phase::kSteady, kNew);
}

BOOST_AUTO_TEST_CASE(aShiftDoesNotCompleteOnFewServers) {
  startShifting();
  drain();
  input.candidateServers = 1;
  expectNothing("too few servers");
  input.candidateServers = input.stableServers;
  expectRecord(Phase::kSteady, kNew);
}

BOOST_AUTO_TEST_CASE(anUnknownRateLeavesNoTimeForAShiftBeforeTheDeadline) {
  startBaking();
  observe(Verdict::kSound, Milliseconds(7500));
  input.requestsPerSecond = 0;
  BOOST_TEST(shiftBudget(input, settings) == Milliseconds(0));
  expectNothing("sound so far");
}

BOOST_AUTO_TEST_CASE(aHolderThatKnowsNoAgeCompletesAShiftAfterTheLongestBudget) {
  startShifting();
  drain();
  input.observations = {};
  input.verdict = Verdict::kUndecided;
  input.phaseAge = Milliseconds(2999);
  expectNothing("still evaluating");
  input.phaseAge = Milliseconds(3000);
  expectRecord(Phase::kSteady, kNew);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
