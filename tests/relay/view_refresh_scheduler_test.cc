#include "relay/view_refresh_scheduler.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace calicodrift::relay {
namespace {

constexpr Milliseconds kReadAge{1200};
constexpr Milliseconds kBound{2000};
constexpr MonotonicTime kStart{Milliseconds(1'000'000)};

BOOST_AUTO_TEST_SUITE(view_refresh_scheduler)

BOOST_AUTO_TEST_CASE(viewIsReadAtItsReadAgeAndLaterInDeeperNodes) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const ViewRefreshScheduler scheduler(viewRefreshSettings(kReadAge), seed);
    const Milliseconds stagger = scheduler.settings().stagger;
    BOOST_TEST((scheduler.due(kStart, kReadAge, 0) >= kStart + kReadAge));
    BOOST_TEST((scheduler.due(kStart, kReadAge, 1) <= kStart + kReadAge + stagger));
    BOOST_TEST((scheduler.due(kStart, kReadAge, 2) >= kStart + kReadAge + stagger));
    BOOST_TEST((scheduler.due(kStart, kReadAge, 3) <= kStart + kReadAge + 3 * stagger));
    BOOST_TEST((scheduler.due(kStart, kReadAge, 12) <= kStart + kReadAge + 3 * stagger));
  }
}

BOOST_AUTO_TEST_CASE(nodesOfOneDepthDoNotReadTogether) {
  std::set<MonotonicTime> dues;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    dues.insert(ViewRefreshScheduler(viewRefreshSettings(kReadAge), seed).due(kStart, kReadAge, 1));
  }
  BOOST_TEST(dues.size() >= 50U);
}

BOOST_AUTO_TEST_CASE(twoTimedOutCallsLeaveTimeForAThirdBeforeTheBound) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    ViewRefreshScheduler scheduler(viewRefreshSettings(kReadAge), seed);
    MonotonicTime due = scheduler.due(kStart, kReadAge, 3);
    for (int call = 0; call < 2; ++call) {
      scheduler.onRead(false, due, due + scheduler.settings().callTimeout);
      due = scheduler.due(kStart, kReadAge, 3);
    }
    BOOST_TEST((due < kStart + kBound));
  }
}

/// Guards against a store that is flooded in an outage, as calls that it rejects at once are
/// repeated sooner than calls that time out.
BOOST_AUTO_TEST_CASE(rejectedCallsAreRepeatedNoSoonerThanTimedOutOnes) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    ViewRefreshScheduler rejected(viewRefreshSettings(kReadAge), seed);
    ViewRefreshScheduler timedOut(viewRefreshSettings(kReadAge), seed);
    const Milliseconds timeout = rejected.settings().callTimeout;
    MonotonicTime asked = kStart;
    for (int call = 0; call < 5; ++call) {
      rejected.onRead(false, asked, asked + Milliseconds(1));
      timedOut.onRead(false, asked, asked + timeout);
      BOOST_TEST((rejected.notBefore() == timedOut.notBefore()));
      asked = rejected.notBefore();
    }
  }
}

BOOST_AUTO_TEST_CASE(nodeThatRegainsItsPathReadsWithinTheBound) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    ViewRefreshScheduler scheduler(viewRefreshSettings(kReadAge), seed);
    MonotonicTime now = scheduler.due(kStart, kReadAge, 2);
    for (int call = 0; call < 20; ++call) {
      scheduler.onRead(false, now, now);
      const MonotonicTime due = scheduler.due(kStart, kReadAge, 2);
      BOOST_TEST((due - now <= kBound));
      now = due;
    }
  }
}

BOOST_AUTO_TEST_CASE(backoffIsResetWhenTheStoreAnswers) {
  ViewRefreshScheduler scheduler(viewRefreshSettings(kReadAge), 7);
  for (int call = 0; call < 10; ++call) {
    scheduler.onRead(false, kStart, kStart);
  }
  scheduler.onRead(true, kStart, kStart);
  BOOST_TEST(
      (scheduler.due(kStart - kReadAge, kReadAge, 1) <= kStart + scheduler.settings().stagger));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
