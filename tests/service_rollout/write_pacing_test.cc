#include "service_rollout/write_pacing.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::service_rollout {
namespace {

const MonotonicTime kStart = MonotonicTime() + Milliseconds(100'000);

struct PacingFixture {
  PacingFixture() { prove(kStart); }

  void prove(MonotonicTime at) {
    input.orders.provenAt = at;
    input.records.provenAt = at;
  }
  bool mayWriteAfter(Milliseconds time) const { return pacing.mayWrite(input, kStart + time); }

  WritePacing pacing{WritePacingSettings{}};
  PlanInput input;
  std::mt19937_64 random;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(write_pacing, PacingFixture)

BOOST_AUTO_TEST_CASE(theFirstWriteNeedNotWait) {
  BOOST_TEST(mayWriteAfter(Milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(afterARecordTheViewOfRecordsHasToShowIt) {
  pacing.onWritten(PlanStep::kWriteRecord, store::Revision(20), kStart);
  input.orders.revision = store::Revision(30);
  input.records.revision = store::Revision(19);
  BOOST_TEST(!mayWriteAfter(Milliseconds(999)));
  input.records.revision = store::Revision(20);
  BOOST_TEST(mayWriteAfter(Milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(afterAStateTheViewOfOrdersHasToShowIt) {
  pacing.onWritten(PlanStep::kWriteState, store::Revision(20), kStart);
  input.records.revision = store::Revision(30);
  input.orders.revision = store::Revision(19);
  BOOST_TEST(!mayWriteAfter(Milliseconds(999)));
  input.orders.revision = store::Revision(20);
  BOOST_TEST(mayWriteAfter(Milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(aViewThatDoesNotShowTheWriteIsWaitedForASecond) {
  pacing.onWritten(PlanStep::kWriteRecord, store::Revision(20), kStart);
  BOOST_TEST(!mayWriteAfter(Milliseconds(999)));
  BOOST_TEST(mayWriteAfter(Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(aWriteThatMayHaveBeenDoneIsNotRepeatedBeforeBothViewsAreProvenAnew) {
  for (const ErrorKind kind :
       {ErrorKind::kOutcomeUnknown, ErrorKind::kVersionConflict, ErrorKind::kNotFound}) {
    pacing = WritePacing(WritePacingSettings{});
    prove(kStart);
    pacing.onFailed(kind, kStart, random);
    BOOST_TEST(!mayWriteAfter(Milliseconds(60'000)));
    input.orders.provenAt = kStart + Milliseconds(1);
    BOOST_TEST(!mayWriteAfter(Milliseconds(60'000)));
    input.records.provenAt = kStart + Milliseconds(1);
    BOOST_TEST(mayWriteAfter(Milliseconds(60'000)));
  }
}

BOOST_AUTO_TEST_CASE(aFailureAfterALostAnswerStillNeedsTheProof) {
  pacing.onFailed(ErrorKind::kOutcomeUnknown, kStart, random);
  pacing.onFailed(ErrorKind::kStoreUnavailable, kStart, random);
  BOOST_TEST(!mayWriteAfter(Milliseconds(60'000)));
}

BOOST_AUTO_TEST_CASE(pausesGrowWhileTheStoreFailsAndEndWithAWrite) {
  pacing.onFailed(ErrorKind::kStoreUnavailable, kStart, random);
  BOOST_TEST(!mayWriteAfter(Milliseconds(49)));
  BOOST_TEST(mayWriteAfter(Milliseconds(100)));
  for (int failure = 0; failure < 20; ++failure) {
    pacing.onFailed(ErrorKind::kStoreUnavailable, kStart, random);
  }
  BOOST_TEST(!mayWriteAfter(Milliseconds(799)));
  BOOST_TEST(mayWriteAfter(Milliseconds(1600)));
  pacing.onWritten(PlanStep::kWriteRecord, store::Revision(0), kStart);
  pacing.onFailed(ErrorKind::kStoreUnavailable, kStart, random);
  BOOST_TEST(mayWriteAfter(Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(pausesOfNodesDiffer) {
  std::mt19937_64 otherRandom(1);
  WritePacing other{WritePacingSettings{}};
  pacing.onFailed(ErrorKind::kStoreUnavailable, kStart, random);
  other.onFailed(ErrorKind::kStoreUnavailable, kStart, otherRandom);
  Milliseconds first{0};
  while (!mayWriteAfter(first)) {
    ++first;
  }
  Milliseconds second{0};
  while (!other.mayWrite(input, kStart + second)) {
    ++second;
  }
  BOOST_TEST((first != second));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::service_rollout
