#include "service_rollout/plan.h"

#include <vector>

#include "plan_fixture.h"

namespace calicodrift::service_rollout {
namespace {

using testing::kNew;
using testing::kOld;
using testing::kService;
using testing::kThird;
using testing::PlanFixture;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(plan, PlanFixture)

// New orders.

BOOST_AUTO_TEST_CASE(aNewOrderIsAcceptedByARecordAndThenRuns) {
  expectRecord(Phase::kBaking, kOld, kNew);
  const store::Revision placed = input.order->revision;
  BOOST_REQUIRE(apply(next()));
  BOOST_TEST((input.record->order == placed));
  BOOST_TEST(input.record->service == kService);
  expectState(OrderState::kRunning);
  BOOST_REQUIRE(apply(next()));
  expectNothing("too few answers");
}

BOOST_AUTO_TEST_CASE(withoutAnOrderNothingIsWritten) {
  input.order.reset();
  expectNothing();
  BOOST_TEST(next().reason.empty());
}

BOOST_AUTO_TEST_CASE(anOrderForAServiceWithoutServersWaits) {
  input.firstSeen = SoftwareVersion();
  expectNothing("no server of the service");
}

BOOST_AUTO_TEST_CASE(anOrderForTheStableVersionIsCompletedAtOnce) {
  placeOrder(kOld);
  expectState(OrderState::kCompleted);
  BOOST_REQUIRE(apply(next()));
  expectNothing();
  BOOST_TEST(!input.record.has_value());
}

BOOST_AUTO_TEST_CASE(anOrderForTheStableVersionWaitsForRecordsAsNewAsItself) {
  placeOrder(kOld);
  input.records.revision = store::Revision(input.order->revision.value() - 1);
  expectNothing("view of the records is older");
}

BOOST_AUTO_TEST_CASE(anInvalidOrderChangesNothingAndSaysWhy) {
  input.order->duration = Milliseconds(0);
  expectNothing("no duration");
  placeOrder(SoftwareVersion());
  expectNothing("no target");
}

BOOST_AUTO_TEST_CASE(anOrderThatBecomesInvalidMidwayEndsWithoutAState) {
  startBaking();
  input.order->duration = Milliseconds(0);
  touchOrder();
  expectRecord(Phase::kSteady, kOld);
  settle();
  BOOST_TEST(toString(input.order->state) == "running");
  // Once corrected, the order starts again.
  input.order->duration = Milliseconds(8000);
  touchOrder();
  expectRecord(Phase::kBaking, kOld, kNew);
}

BOOST_AUTO_TEST_CASE(aRecordThatCantBeReadAnyMoreIsWrittenAgainAsItWas) {
  startBaking();
  const ServiceRecord before = *input.record;
  input.recordUnreadable = true;
  input.record->revision = store::Revision(before.revision.value() + 5);
  const PlanAction action = next();
  BOOST_REQUIRE((action.step == PlanStep::kWriteRecord));
  BOOST_TEST((action.record == *input.record));
  // The same applies without an order.
  input.order.reset();
  BOOST_TEST((next().step == PlanStep::kWriteRecord));
  BOOST_TEST((next().record.phase == Phase::kBaking));
}

// Recreated orders, changed targets, and withdrawn orders.

BOOST_AUTO_TEST_CASE(anOrderMadeAnewAfterItsEndIsANewOne) {
  startBaking();
  observe(Verdict::kBad, Milliseconds(2000));
  expectSettledAs(OrderState::kRolledBack, kOld);
  const OrderKey before = input.observations.order;
  placeOrder(kNew);
  expectRecord(Phase::kBaking, kOld, kNew);
  settle();
  BOOST_TEST((keyOf(*input.record) != before));
  // Observations of the earlier order don't apply to this one.
  expectNothing("too few answers");
}

BOOST_AUTO_TEST_CASE(anOrderMadeAnewMidwayIsANewOne) {
  startBaking();
  const OrderKey before = keyOf(*input.record);
  placeOrder(kNew);
  expectRecord(Phase::kBaking, kOld, kNew);
  settle();
  BOOST_TEST((keyOf(*input.record) != before));
}

BOOST_AUTO_TEST_CASE(anOutcomeWhoseStateWasNotWrittenIsWritten) {
  BOOST_REQUIRE(apply(next()));
  observe(Verdict::kBad, Milliseconds(100));
  const PlanAction rollback = next();
  BOOST_REQUIRE((rollback.step == PlanStep::kWriteRecord));
  BOOST_REQUIRE(apply(rollback));
  // No state was ever written, and the order is the one that the record accepted.
  BOOST_TEST(!input.order->hasState());
  expectState(OrderState::kRolledBack);
}

BOOST_AUTO_TEST_CASE(anOutcomeIsNotWrittenToAnOrderThatIsNewerThanTheRecordsAsRead) {
  startBaking();
  observe(Verdict::kBad, Milliseconds(2000));
  BOOST_REQUIRE(apply(next()));
  const ServiceRecord ended = *input.record;
  const store::Revision recordsThen = input.records.revision;
  settle();
  placeOrder(kNew);
  settle();
  BOOST_TEST(toString(input.order->state) == "running");
  // A holder that has read the newest order, but not yet the record of its acceptance.
  input.record = ended;
  input.records.revision = recordsThen;
  expectNothing("view of the records is older");
}

BOOST_AUTO_TEST_CASE(anEndedOrderThatIsTouchedStaysEnded) {
  startBaking();
  observe(Verdict::kBad, Milliseconds(2000));
  settle();
  touchOrder();
  expectNothing();
}

BOOST_AUTO_TEST_CASE(anotherTargetWhileBakingIsTakenUpAnew) {
  startBaking();
  changeTarget(kThird);
  expectRecord(Phase::kBaking, kOld, kThird);
  BOOST_REQUIRE(apply(next()));
  expectState(OrderState::kRunning);
  BOOST_REQUIRE(apply(next()));
  BOOST_TEST((input.order->stateTarget == kThird));
}

BOOST_AUTO_TEST_CASE(anotherTargetWhileShiftingIsTakenUpAnewFromTheStableVersion) {
  startShifting();
  changeTarget(kThird);
  expectRecord(Phase::kBaking, kOld, kThird);
}

BOOST_AUTO_TEST_CASE(anotherTargetAfterARollbackIsTakenUp) {
  startBaking();
  observe(Verdict::kBad, Milliseconds(2000));
  settle();
  changeTarget(kThird);
  expectRecord(Phase::kBaking, kOld, kThird);
}

BOOST_AUTO_TEST_CASE(targetChangedToTheStableVersionEndsTheOrderAndDrains) {
  startShifting();
  changeTarget(kOld);
  expectRecord(Phase::kSteady, kOld);
  BOOST_REQUIRE(apply(next()));
  input.phaseAge = Milliseconds(300);
  input.drainedFor = Milliseconds(0);
  expectNothing("requests on the candidate version");
  input.drainedFor = Milliseconds(500);
  expectState(OrderState::kCompleted);
  // A hanging request does not block it forever.
  input.drainedFor = Milliseconds(0);
  input.phaseAge = Milliseconds(5000);
  expectState(OrderState::kCompleted);
}

BOOST_AUTO_TEST_CASE(backToARolledBackTargetMidwayEndsWithoutTryingItAgain) {
  startBaking();
  observe(Verdict::kBad, Milliseconds(2000));
  settle();
  // The state for the third version is not written before the target changes back.
  changeTarget(kThird);
  BOOST_REQUIRE(apply(next()));
  changeTarget(kNew);
  expectRecord(Phase::kSteady, kOld);
  settle();
  BOOST_TEST(toString(input.order->state) == "rolled_back");
}

BOOST_AUTO_TEST_CASE(aWithdrawnOrderEndsInEachPhase) {
  BOOST_REQUIRE(apply(next()));
  PlanFixture baking;
  baking.startBaking();
  PlanFixture shifting;
  shifting.startShifting();
  for (PlanFixture* each : std::vector<PlanFixture*>{this, &baking, &shifting}) {
    each->input.order->withdrawn = true;
    each->touchOrder();
    each->expectRecord(Phase::kSteady, kOld);
    each->settle();
    BOOST_TEST((each->input.record->outcome == OrderState::kNew));
    each->expectNothing();
  }
}

BOOST_AUTO_TEST_CASE(anOrderThatIsGoneEndsAsAWithdrawnOne) {
  startShifting();
  input.order.reset();
  expectRecord(Phase::kSteady, kOld);
  settle();
  BOOST_TEST((input.record->stable == kOld));
}

BOOST_AUTO_TEST_CASE(aWithdrawnOrderIsNotTakenUpAgainByAHolderWithAnOlderView) {
  startBaking();
  const PlanInput before = input;
  input.order->withdrawn = true;
  touchOrder();
  settle();
  const PlanInput after = input;
  input = before;
  input.record = after.record;
  input.records = after.records;
  expectNothing("view of the orders is older");
}

BOOST_AUTO_TEST_CASE(anOrderOfWhichTheHolderHasNotReadYetIsNotEnded) {
  startBaking();
  input.order.reset();
  input.orders.revision = store::Revision(input.record->order.value() - 1);
  expectNothing("view of the orders is older");
}

// Verdicts.

BOOST_AUTO_TEST_CASE(aBadVerdictWhileBakingRollsBack) {
  startBaking();
  observe(Verdict::kBad, Milliseconds(2000));
  expectRecord(Phase::kSteady, kOld);
  BOOST_REQUIRE(apply(next()));
  BOOST_TEST((input.record->outcome == OrderState::kRolledBack));
  BOOST_TEST((input.record->outcomeTarget == kNew));
  expectState(OrderState::kRolledBack);
  BOOST_REQUIRE(apply(next()));
  expectNothing();
}

BOOST_AUTO_TEST_CASE(aBadVerdictWhileShiftingRollsBack) {
  startShifting();
  drain();
  observe(Verdict::kBad, Milliseconds(7950));
  expectRecord(Phase::kSteady, kOld);
  expectSettledAs(OrderState::kRolledBack, kOld);
}

BOOST_AUTO_TEST_CASE(aRejectionByAnotherNodeRollsBackInEachPhase) {
  startBaking();
  observe(Verdict::kSound, Milliseconds(2000));
  input.observations.rejected = true;
  expectRecord(Phase::kSteady, kOld);
  expectSettledAs(OrderState::kRolledBack, kOld);

  PlanFixture shifting;
  shifting.startShifting();
  shifting.drain();
  shifting.input.observations.rejected = true;
  shifting.expectRecord(Phase::kSteady, kOld);
  shifting.expectSettledAs(OrderState::kRolledBack, kOld);
}

BOOST_AUTO_TEST_CASE(aVerdictOnAnotherOrderCountsForNothing) {
  startBaking();
  observe(Verdict::kBad, Milliseconds(9000));
  input.observations.order = OrderKey(1);
  input.observations.rejected = true;
  expectNothing("too few answers");
  input.verdict = Verdict::kSound;
  input.observations.rejected = false;
  expectNothing("too few answers");
}

BOOST_AUTO_TEST_CASE(aSoundVersionWaitsUntilItsBudgetReachesTheDeadline) {
  startBaking();
  // 0.1 x 1600 + 0.6 x 50 - 80 = 110 requests are left, and 180 a second are used: 611 ms.
  observe(Verdict::kSound, Milliseconds(8000 - 612));
  BOOST_TEST(shiftBudget(input, settings).count() == 611);
  expectNothing("near the deadline");
  observe(Verdict::kSound, Milliseconds(8000 - 611));
  expectRecord(Phase::kShifting, kOld, kNew);
}

BOOST_AUTO_TEST_CASE(aShiftBeginsThreeSecondsBeforeTheDeadlineAtMost) {
  startBaking();
  input.requestsPerSecond = 10;
  observe(Verdict::kSound, Milliseconds(4999));
  expectNothing("near the deadline");
  observe(Verdict::kSound, Milliseconds(5000));
  expectRecord(Phase::kShifting, kOld, kNew);
}

BOOST_AUTO_TEST_CASE(aSoundVersionWithoutExposureLeftIsShiftedAtTheDeadline) {
  startBaking();
  observe(Verdict::kSound, Milliseconds(7999));
  input.observations.exposed = 190;
  BOOST_TEST(shiftBudget(input, settings).count() == 0);
  expectNothing("near the deadline");
  input.observations.age = Milliseconds(8000);
  expectRecord(Phase::kShifting, kOld, kNew);
}

BOOST_AUTO_TEST_CASE(aVersionThatIsFoundSoundPastTheDeadlineIsStillShifted) {
  startBaking();
  observe(Verdict::kSound, Milliseconds(30'000));
  input.observations.exposed = 1000;
  expectRecord(Phase::kShifting, kOld, kNew);
}

BOOST_AUTO_TEST_CASE(anUndecidedVersionKeepsBakingPastTheDeadline) {
  startBaking();
  observe(Verdict::kUndecided, Milliseconds(30'000));
  expectNothing("undecided past the deadline");
}

// Servers.

BOOST_AUTO_TEST_CASE(anOrderWhoseServersNeverComeKeepsRunningAndSaysSo) {
  input.candidateServers = 0;
  settle();
  BOOST_TEST(toString(input.order->state) == "running");
  observe(Verdict::kUndecided, Milliseconds(30'000));
  expectNothing("no server of the target version");
}

BOOST_AUTO_TEST_CASE(aShiftWaitsForHalfTheServersAndNotForEver) {
  startBaking();
  input.candidateServers = 3;
  observe(Verdict::kSound, Milliseconds(8000));
  expectNothing("too few servers");
  input.candidateServers = 4;
  expectRecord(Phase::kShifting, kOld, kNew);
  input.candidateServers = 3;
  observe(Verdict::kSound, Milliseconds(13'000));
  expectRecord(Phase::kShifting, kOld, kNew);
}

BOOST_AUTO_TEST_CASE(nothingCompletesWhileNoServerOfTheTargetIsUsable) {
  startShifting();
  drain();
  input.candidateServers = 0;
  input.phaseAge = Milliseconds(60'000);
  expectNothing("no server of the target version");
}

BOOST_AUTO_TEST_CASE(withoutStableServersTheShareIsKeptUntilTheVersionIsSound) {
  startBaking();
  input.stableServers = 0;
  input.stableInFlight = 0;
  observe(Verdict::kUndecided, Milliseconds(9000));
  expectNothing("undecided");
  observe(Verdict::kSound, Milliseconds(9000));
  expectRecord(Phase::kShifting, kOld, kNew);
}

// Inconsistent views.

BOOST_AUTO_TEST_CASE(aRecordThatLacksTheEndOfItsOrderFollowsTheState) {
  startBaking();
  input.order->state = OrderState::kRolledBack;
  input.order->stateTarget = kNew;
  touchOrder();
  expectRecord(Phase::kSteady, kOld);
  BOOST_TEST((next().record.outcome == OrderState::kRolledBack));

  PlanFixture shifting;
  shifting.startShifting();
  shifting.input.order->state = OrderState::kCompleted;
  shifting.touchOrder();
  shifting.expectRecord(Phase::kSteady, kNew);
}

BOOST_AUTO_TEST_CASE(aCompletedOrderIsNotTakenUpAgain) {
  startShifting();
  drain();
  expectSettledAs(OrderState::kCompleted, kNew);
  touchOrder();
  expectNothing();
}

// Loss of the holder between any two writes.

BOOST_AUTO_TEST_CASE(outcomeIsIndependentOfLostAndDelayedWrites) {
  constexpr unsigned kSteps = 8;
  for (unsigned lost = 0; lost < (1U << kSteps); ++lost) {
    for (const Verdict verdict : {Verdict::kSound, Verdict::kBad}) {
      PlanFixture service;
      std::vector<std::pair<PlanAction, PlanInput>> earlier;
      for (unsigned step = 0; step < 2 * kSteps; ++step) {
        if (service.input.record) {
          service.observe(verdict, Milliseconds(8000));
          service.drain();
          service.input.phaseAge = Milliseconds(1000);
        }
        const PlanInput decidedOn = service.input;
        const PlanAction action = service.next();
        const bool isLost = step < kSteps && (lost >> step) % 2 == 1;
        if (action.step == PlanStep::kNothing) {
          continue;
        }
        earlier.emplace_back(action, decidedOn);
        if (isLost) {
          continue;
        }
        BOOST_REQUIRE(service.apply(action, decidedOn));
        for (const auto& [lateAction, lateInput] : earlier) {
          BOOST_REQUIRE(!service.apply(lateAction, lateInput));
        }
      }
      const bool good = verdict == Verdict::kSound;
      service.expectSettledAs(good ? OrderState::kCompleted : OrderState::kRolledBack,
                              good ? kNew : kOld);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
