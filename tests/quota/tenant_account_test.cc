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

TenantAccount makeRoot(double share) {
  TenantAccount account(kBounds, kLimit);
  account.setRole(QuotaRole::kRoot, share, kStart);
  return account;
}

BOOST_AUTO_TEST_CASE(theFractionsOfTheExcessStayBelowTheWhole) {
  for (const QuotaBounds& bounds : {kBounds, QuotaBounds{Milliseconds(4000), 0.1, 0},
                                    QuotaBounds{Milliseconds(60'000), 0.5, 100}}) {
    const Allowance allowance(bounds, kLimit);
    const double seconds = toMilliseconds(bounds.window) / 1000;
    const double excess =
        (kLimit.unitsPerSecond * seconds + kLimit.burst) * bounds.overshoot + bounds.slack;
    const double prefetch = kLimit.unitsPerSecond * toMilliseconds(allowance.prefetchTerm) / 1000;
    const double disconnected =
        kLimit.unitsPerSecond * toMilliseconds(allowance.disconnectedTerm) / 1000;
    constexpr double kChangesOfRoots = 4;
    BOOST_TEST(prefetch + disconnected + allowance.maxDebt +
                   kChangesOfRoots * allowance.initialContent <=
               excess);
  }
}

BOOST_AUTO_TEST_CASE(aNewRootStartsAlmostEmptyAndFillsAtItsShare) {
  TenantAccount root = makeRoot(0.5);
  const double start = Allowance(kBounds, kLimit).initialContent / 2;
  BOOST_TEST(root.heldAt(kStart) == start);
  BOOST_TEST(root.heldAt(kStart + Milliseconds(200)) == start + 100);
  BOOST_TEST(root.heldAt(kStart + Milliseconds(60'000)) == 500);
}

BOOST_AUTO_TEST_CASE(aRequestLargerThanTheBurstIsGrantedFromAFullBucket) {
  TenantAccount root = makeRoot(1);
  const MonotonicTime full = kStart + Milliseconds(5000);
  BOOST_TEST((root.claim(50'000, full).verdict == Verdict::kGranted));
  // Nothing else is granted before the debt is repaid.
  BOOST_TEST((root.claim(1, full + Milliseconds(40'000)).verdict == Verdict::kAskSource));
  BOOST_TEST((root.claim(1, full + Milliseconds(50'000)).verdict == Verdict::kGranted));
}

BOOST_AUTO_TEST_CASE(aFollowerGrantsNothingByItself) {
  TenantAccount follower(kBounds, kLimit);
  follower.setRole(QuotaRole::kFollower, 0, kStart);
  BOOST_TEST((follower.claim(1, kStart).verdict == Verdict::kAskSource));
  follower.addPrefetched(10, kStart + Milliseconds(300));
  BOOST_TEST((follower.claim(4, kStart).verdict == Verdict::kGranted));
  BOOST_TEST((follower.claim(7, kStart).verdict == Verdict::kAskSource));
  BOOST_TEST((follower.claim(6, kStart).verdict == Verdict::kGranted));
}

BOOST_AUTO_TEST_CASE(prefetchedUnitsExpireAfterTheirTerm) {
  TenantAccount follower(kBounds, kLimit);
  follower.setRole(QuotaRole::kFollower, 0, kStart);
  follower.addPrefetched(10, kStart + Milliseconds(300));
  BOOST_TEST((follower.claim(4, kStart + Milliseconds(300)).verdict == Verdict::kAskSource));
}

BOOST_AUTO_TEST_CASE(aRefusalHoldsBriefly) {
  TenantAccount follower(kBounds, kLimit);
  follower.setRole(QuotaRole::kFollower, 0, kStart);
  follower.onRefused(Milliseconds(40), kStart);
  BOOST_TEST((follower.claim(1, kStart + Milliseconds(39)).verdict == Verdict::kRefused));
  BOOST_TEST((follower.claim(1, kStart + Milliseconds(40)).verdict == Verdict::kAskSource));
  // A long refusal is rechecked earlier, because capacity may become available sooner.
  follower.onRefused(Milliseconds(9000), kStart);
  BOOST_TEST((follower.claim(1, kStart + Milliseconds(500)).verdict == Verdict::kAskSource));
}

BOOST_AUTO_TEST_CASE(aDisconnectedNodeContinuesBrieflyAtItsRecentRate) {
  TenantAccount follower(kBounds, kLimit);
  follower.setRole(QuotaRole::kFollower, 0, kStart);
  for (int count = 0; count < 40; ++count) {
    follower.onGranted(10, kStart);
  }
  const Milliseconds term = Allowance(kBounds, kLimit).disconnectedTerm;
  double passed = 0;
  for (Milliseconds passedTime{0}; passedTime < Milliseconds(5000);
       passedTime += Milliseconds(10)) {
    passed += follower.claimWhileDisconnected(10, kStart, kStart + passedTime) ? 10 : 0;
  }
  BOOST_TEST(passed > 0);
  // At most its recent rate over the term, plus one request.
  BOOST_TEST(passed <= 200 * toMilliseconds(term) / 1000 + 10);
  BOOST_TEST(!follower.claimWhileDisconnected(10, kStart, kStart + term + Milliseconds(1)));
  BOOST_TEST(!follower.claimWhileDisconnected(10, MonotonicTime{}, kStart));
}

BOOST_AUTO_TEST_CASE(aStalledProcessDiscardsHeldUnits) {
  QuotaCore root(kBounds);
  root.applyLimits({{TenantId("t"), kLimit}}, kStart);
  root.setRole({QuotaRole::kRoot, 1}, kStart);
  const TenantKey key = keyOf(TenantId("t"));
  for (Milliseconds passed{0}; passed < Milliseconds(5000);
       passed += QuotaCore::kRoleRefreshInterval) {
    root.setRole({QuotaRole::kRoot, 1}, kStart + passed);
  }
  BOOST_TEST(root.findAccount(key)->heldAt(kStart + Milliseconds(5000)) == 1000);
  root.setRole({QuotaRole::kRoot, 1}, kStart + Milliseconds(9000));
  BOOST_TEST(root.findAccount(key)->heldAt(kStart + Milliseconds(9000)) ==
             Allowance(kBounds, kLimit).initialContent);
}

BOOST_AUTO_TEST_CASE(aTenantWithoutALimitPasses) {
  QuotaCore core(kBounds);
  BOOST_TEST((core.claim(keyOf(TenantId("free")), 1e9, kStart).verdict == Verdict::kGranted));
}

/// A core in the given role, with the limit in force since kStart.
QuotaCore makeCore(QuotaRole role) {
  QuotaCore core(kBounds);
  core.applyLimits({{TenantId("t"), kLimit}}, kStart);
  core.setRole({role, 0.5}, kStart);
  return core;
}

constexpr std::uint32_t kMax = std::numeric_limits<std::uint32_t>::max();
constexpr ClaimAnswer kUnboundedAnswer{0, kMax, kMax};

BOOST_AUTO_TEST_CASE(anAnswerAddsAtMostTheClaimedUnitsForAtMostTheOwnTerm) {
  const Milliseconds term = Allowance(kBounds, kLimit).prefetchTerm;
  const Claim claim{keyOf(TenantId("t")), 1, 50};
  QuotaCore follower = makeCore(QuotaRole::kFollower);
  static_cast<void>(follower.onAnswer(claim, kUnboundedAnswer, kStart, kStart));
  TenantAccount& account = *follower.findAccount(claim.tenant);
  BOOST_TEST(account.heldAt(kStart) == 50);
  BOOST_TEST(account.heldAt(kStart + term - Milliseconds(1)) == 50);
  BOOST_TEST(account.heldAt(kStart + term) == 0);
  QuotaCore root = makeCore(QuotaRole::kRoot);
  TenantAccount& borrower = *root.findAccount(claim.tenant);
  const double own = borrower.heldAt(kStart);
  BOOST_TEST(root.onBorrowed(claim, kUnboundedAnswer, kStart) == 50);
  BOOST_TEST(borrower.heldAt(kStart) == own + 50);
  static_cast<void>(borrower.heldAt(kStart + term));
  BOOST_TEST(borrower.heldAt(kStart) == own);
}

BOOST_AUTO_TEST_CASE(anAnswerInFlightDuringALimitChangeAddsNoPrefetchedUnits) {
  const Claim claim{keyOf(TenantId("t")), 1, 50};
  const ClaimAnswer answer{0, 50, 300};
  const MonotonicTime changed = kStart + Milliseconds(10);
  const MonotonicTime arrived = kStart + Milliseconds(20);
  for (const bool removedBetween : {false, true}) {
    QuotaCore core = makeCore(QuotaRole::kFollower);
    if (removedBetween) {
      core.applyLimits({}, changed);
    }
    core.applyLimits({{TenantId("t"), {100, 100}}}, changed);
    core.setRole({QuotaRole::kFollower, 0}, changed);
    static_cast<void>(core.onAnswer(claim, answer, kStart, arrived));
    BOOST_TEST(core.onBorrowed(claim, answer, kStart) == 0);
    BOOST_TEST(core.findAccount(claim.tenant)->heldAt(arrived) == 0);
    BOOST_TEST(core.onBorrowed(claim, answer, changed) == 50);
  }
}

}  // namespace
}  // namespace calicodrift::quota
