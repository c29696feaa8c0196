#include "quota/tenant_account.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>

#include "quota/quota_core.h"

namespace calicodrift::quota {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr QuotaBounds kBounds{Milliseconds(8000), 0.1, 8000};
constexpr TenantLimit kLimit{1000, 1000};

TenantAccount makeRoot(double part) {
  TenantAccount account(kBounds, kLimit);
  account.setPlace(Place::kRoot, part, kStart);
  return account;
}

BOOST_AUTO_TEST_CASE(thePartsOfTheExcessStayBelowTheWhole) {
  for (const QuotaBounds& bounds : {kBounds, QuotaBounds{Milliseconds(4000), 0.1, 0},
                                    QuotaBounds{Milliseconds(60'000), 0.5, 100}}) {
    const Allowance allowance(bounds, kLimit);
    const double seconds = toMilliseconds(bounds.window) / 1000;
    const double excess =
        (kLimit.unitsPerSecond * seconds + kLimit.burst) * bounds.overshoot + bounds.slack;
    const double ahead = kLimit.unitsPerSecond * toMilliseconds(allowance.aheadTerm) / 1000;
    const double island = kLimit.unitsPerSecond * toMilliseconds(allowance.islandTerm) / 1000;
    constexpr double kChangesOfRoots = 4;
    BOOST_TEST(ahead + island + allowance.debt + kChangesOfRoots * allowance.start <= excess);
  }
}

BOOST_AUTO_TEST_CASE(aNewRootBeginsAlmostEmptyAndFillsAtItsPart) {
  TenantAccount root = makeRoot(0.5);
  const double start = Allowance(kBounds, kLimit).start / 2;
  BOOST_TEST(root.heldAt(kStart) == start);
  BOOST_TEST(root.heldAt(kStart + Milliseconds(200)) == start + 100);
  BOOST_TEST(root.heldAt(kStart + Milliseconds(60'000)) == 500);
}

BOOST_AUTO_TEST_CASE(aRequestLargerThanTheBurstPassesWhenAllIsThere) {
  TenantAccount root = makeRoot(1);
  const MonotonicTime full = kStart + Milliseconds(5000);
  BOOST_TEST((root.claim(50'000, full).verdict == Verdict::kGranted));
  // Its debt is paid before anything else passes.
  BOOST_TEST((root.claim(1, full + Milliseconds(40'000)).verdict == Verdict::kAsk));
  BOOST_TEST((root.claim(1, full + Milliseconds(50'000)).verdict == Verdict::kGranted));
}

BOOST_AUTO_TEST_CASE(aFollowerGrantsNothingByItself) {
  TenantAccount follower(kBounds, kLimit);
  follower.setPlace(Place::kFollower, 0, kStart);
  BOOST_TEST((follower.claim(1, kStart).verdict == Verdict::kAsk));
  follower.addAhead(10, kStart + Milliseconds(300));
  BOOST_TEST((follower.claim(4, kStart).verdict == Verdict::kGranted));
  BOOST_TEST((follower.claim(7, kStart).verdict == Verdict::kAsk));
  BOOST_TEST((follower.claim(6, kStart).verdict == Verdict::kGranted));
}

BOOST_AUTO_TEST_CASE(whatWasGrantedAheadEndsWithItsTerm) {
  TenantAccount follower(kBounds, kLimit);
  follower.setPlace(Place::kFollower, 0, kStart);
  follower.addAhead(10, kStart + Milliseconds(300));
  BOOST_TEST((follower.claim(4, kStart + Milliseconds(300)).verdict == Verdict::kAsk));
}

BOOST_AUTO_TEST_CASE(aRefusalHoldsForAMoment) {
  TenantAccount follower(kBounds, kLimit);
  follower.setPlace(Place::kFollower, 0, kStart);
  follower.onRefused(Milliseconds(40), kStart);
  BOOST_TEST((follower.claim(1, kStart + Milliseconds(39)).verdict == Verdict::kRefused));
  BOOST_TEST((follower.claim(1, kStart + Milliseconds(40)).verdict == Verdict::kAsk));
  // A long one is asked about again, as room may come back sooner.
  follower.onRefused(Milliseconds(9000), kStart);
  BOOST_TEST((follower.claim(1, kStart + Milliseconds(500)).verdict == Verdict::kAsk));
}

BOOST_AUTO_TEST_CASE(anIslandGoesOnForAMomentAtTheRateItHad) {
  TenantAccount follower(kBounds, kLimit);
  follower.setPlace(Place::kFollower, 0, kStart);
  for (int count = 0; count < 40; ++count) {
    follower.onGranted(10, kStart);
  }
  const Milliseconds term = Allowance(kBounds, kLimit).islandTerm;
  double passed = 0;
  for (Milliseconds passedTime{0}; passedTime < Milliseconds(5000);
       passedTime += Milliseconds(10)) {
    passed += follower.claimAsIsland(10, kStart, kStart + passedTime) ? 10 : 0;
  }
  BOOST_TEST(passed > 0);
  // At most its rate of late, over the term, and one request.
  BOOST_TEST(passed <= 200 * toMilliseconds(term) / 1000 + 10);
  BOOST_TEST(!follower.claimAsIsland(10, kStart, kStart + term + Milliseconds(1)));
  BOOST_TEST(!follower.claimAsIsland(10, MonotonicTime{}, kStart));
}

BOOST_AUTO_TEST_CASE(aProcessThatStoodStillTrustsNothingItHeld) {
  QuotaCore root(kBounds);
  root.applyLimits({{TenantId("t"), kLimit}}, kStart);
  root.setPlace({Place::kRoot, 1}, kStart);
  const TenantKey key = keyOf(TenantId("t"));
  for (Milliseconds passed{0}; passed < Milliseconds(5000); passed += QuotaCore::kPulse) {
    root.setPlace({Place::kRoot, 1}, kStart + passed);
  }
  BOOST_TEST(root.accountOf(key)->heldAt(kStart + Milliseconds(5000)) == 1000);
  root.setPlace({Place::kRoot, 1}, kStart + Milliseconds(9000));
  BOOST_TEST(root.accountOf(key)->heldAt(kStart + Milliseconds(9000)) ==
             Allowance(kBounds, kLimit).start);
}

BOOST_AUTO_TEST_CASE(aTenantWithoutALimitPasses) {
  QuotaCore core(kBounds);
  BOOST_TEST((core.claim(keyOf(TenantId("free")), 1e9, kStart).verdict == Verdict::kGranted));
}

/// A core of that place with the limit in force since kStart.
QuotaCore makeCore(Place place) {
  QuotaCore core(kBounds);
  core.applyLimits({{TenantId("t"), kLimit}}, kStart);
  core.setPlace({place, 0.5}, kStart);
  return core;
}

constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
constexpr ClaimAnswer kBoundlessAnswer{0, kMost, kMost};

BOOST_AUTO_TEST_CASE(anAnswerBringsNoMoreThanWasClaimedForNoLongerThanTheOwnTerm) {
  const Milliseconds term = Allowance(kBounds, kLimit).aheadTerm;
  const Claim claim{keyOf(TenantId("t")), 1, 50};
  QuotaCore follower = makeCore(Place::kFollower);
  static_cast<void>(follower.onAnswer(claim, kBoundlessAnswer, kStart, kStart));
  TenantAccount& asked = *follower.accountOf(claim.tenant);
  BOOST_TEST(asked.heldAt(kStart) == 50);
  BOOST_TEST(asked.heldAt(kStart + term - Milliseconds(1)) == 50);
  BOOST_TEST(asked.heldAt(kStart + term) == 0);
  QuotaCore root = makeCore(Place::kRoot);
  TenantAccount& borrower = *root.accountOf(claim.tenant);
  const double own = borrower.heldAt(kStart);
  BOOST_TEST(root.onBorrowed(claim, kBoundlessAnswer, kStart) == 50);
  BOOST_TEST(borrower.heldAt(kStart) == own + 50);
  static_cast<void>(borrower.heldAt(kStart + term));
  BOOST_TEST(borrower.heldAt(kStart) == own);
}

BOOST_AUTO_TEST_CASE(anAnswerUnderWayAcrossAChangeOfTheLimitBringsNothingAhead) {
  const Claim claim{keyOf(TenantId("t")), 1, 50};
  const ClaimAnswer answer{0, 50, 300};
  const MonotonicTime changed = kStart + Milliseconds(10);
  const MonotonicTime arrived = kStart + Milliseconds(20);
  for (const bool removedBetween : {false, true}) {
    QuotaCore core = makeCore(Place::kFollower);
    if (removedBetween) {
      core.applyLimits({}, changed);
    }
    core.applyLimits({{TenantId("t"), {100, 100}}}, changed);
    core.setPlace({Place::kFollower, 0}, changed);
    static_cast<void>(core.onAnswer(claim, answer, kStart, arrived));
    BOOST_TEST(core.onBorrowed(claim, answer, kStart) == 0);
    BOOST_TEST(core.accountOf(claim.tenant)->heldAt(arrived) == 0);
    BOOST_TEST(core.onBorrowed(claim, answer, changed) == 50);
  }
}

}  // namespace
}  // namespace calicodrift::quota
