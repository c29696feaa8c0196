#include "service_rollout/phase_watch.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::service_rollout {
namespace {

const MonotonicTime kStart = MonotonicTime() + Milliseconds(100'000);

struct PhaseFixture {
  PhaseFixture() {
    ServiceRecord record;
    record.service = "quotes";
    record.stable = SoftwareVersion("1");
    record.candidate = SoftwareVersion("2");
    record.phase = Phase::kShifting;
    record.order = store::Revision(10);
    input.record = record;
  }
  void observeAfter(Milliseconds time) { watch.observe(input, kStart + time); }

  PhaseWatch watch;
  PlanInput input;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(phase_watch, PhaseFixture)

BOOST_AUTO_TEST_CASE(theAgeOfAPhaseCountsFromTheFirstLookAtIt) {
  observeAfter(Milliseconds(0));
  BOOST_TEST(input.phaseAge.count() == 0);
  observeAfter(Milliseconds(700));
  BOOST_TEST(input.phaseAge.count() == 700);
}

BOOST_AUTO_TEST_CASE(anotherPhaseOrOrderBeginsAnew) {
  input.record->phase = Phase::kBaking;
  observeAfter(Milliseconds(0));
  input.record->phase = Phase::kShifting;
  observeAfter(Milliseconds(700));
  BOOST_TEST(input.phaseAge.count() == 0);
  BOOST_TEST(input.drainedFor.count() == 0);
  observeAfter(Milliseconds(800));
  input.record->order = store::Revision(20);
  observeAfter(Milliseconds(900));
  BOOST_TEST(input.phaseAge.count() == 0);
  BOOST_TEST(input.drainedFor.count() == 0);
}

BOOST_AUTO_TEST_CASE(aWriteOfTheRecordInTheSamePhaseDoesNotBeginAnew) {
  observeAfter(Milliseconds(0));
  input.record->revision = store::Revision(30);
  observeAfter(Milliseconds(700));
  BOOST_TEST(input.phaseAge.count() == 700);
}

BOOST_AUTO_TEST_CASE(whileShiftingTheStableVersionHasToDrainWithoutABreak) {
  input.otherInFlight = 9;
  input.stableInFlight = 1;
  observeAfter(Milliseconds(0));
  BOOST_TEST(input.drainedFor.count() == 0);
  input.stableInFlight = 0;
  observeAfter(Milliseconds(100));
  observeAfter(Milliseconds(400));
  BOOST_TEST(input.drainedFor.count() == 300);
  input.stableInFlight = 1;
  observeAfter(Milliseconds(500));
  BOOST_TEST(input.drainedFor.count() == 0);
  input.stableInFlight = 0;
  observeAfter(Milliseconds(600));
  BOOST_TEST(input.drainedFor.count() == 0);
  BOOST_TEST(input.phaseAge.count() == 600);
}

BOOST_AUTO_TEST_CASE(otherwiseTheOtherVersionsHaveToDrain) {
  input.record->phase = Phase::kSteady;
  input.record->candidate = SoftwareVersion();
  input.stableInFlight = 9;
  input.otherInFlight = 1;
  observeAfter(Milliseconds(0));
  observeAfter(Milliseconds(100));
  BOOST_TEST(input.drainedFor.count() == 0);
  input.otherInFlight = 0;
  observeAfter(Milliseconds(200));
  observeAfter(Milliseconds(700));
  BOOST_TEST(input.drainedFor.count() == 500);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
