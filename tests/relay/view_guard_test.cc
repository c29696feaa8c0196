#include "relay/view_guard.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace calicodrift::relay {
namespace {

constexpr Milliseconds kReadAge{1200};
constexpr Milliseconds kBound{2000};
constexpr MonotonicTime kStart{Milliseconds(1'000'000)};

BOOST_AUTO_TEST_SUITE(view_guard)

BOOST_AUTO_TEST_CASE(viewIsReadAtItsAgeAndLaterTheDeeperTheNode) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const ViewGuard guard(viewGuardSettings(kReadAge), seed);
    const Milliseconds stagger = guard.settings().stagger;
    BOOST_TEST((guard.due(kStart, kReadAge, 0) >= kStart + kReadAge));
    BOOST_TEST((guard.due(kStart, kReadAge, 1) <= kStart + kReadAge + stagger));
    BOOST_TEST((guard.due(kStart, kReadAge, 2) >= kStart + kReadAge + stagger));
    BOOST_TEST((guard.due(kStart, kReadAge, 3) <= kStart + kReadAge + 3 * stagger));
    BOOST_TEST((guard.due(kStart, kReadAge, 12) <= kStart + kReadAge + 3 * stagger));
  }
}

BOOST_AUTO_TEST_CASE(nodesOfOneDepthDoNotReadTogether) {
  std::set<MonotonicTime> dues;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    dues.insert(ViewGuard(viewGuardSettings(kReadAge), seed).due(kStart, kReadAge, 1));
  }
  BOOST_TEST(dues.size() >= 50U);
}

BOOST_AUTO_TEST_CASE(twoSilentCallsLeaveTheTimeForAThirdBeforeTheBound) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    ViewGuard guard(viewGuardSettings(kReadAge), seed);
    MonotonicTime due = guard.due(kStart, kReadAge, 3);
    for (int call = 0; call < 2; ++call) {
      guard.onRead(false, due + guard.settings().callTimeout);
      due = guard.due(kStart, kReadAge, 3);
    }
    BOOST_TEST((due < kStart + kBound));
  }
}

BOOST_AUTO_TEST_CASE(nodeThatGetsItsPathBackReadsWithinTheBound) {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    ViewGuard guard(viewGuardSettings(kReadAge), seed);
    MonotonicTime now = guard.due(kStart, kReadAge, 2);
    for (int call = 0; call < 20; ++call) {
      guard.onRead(false, now);
      const MonotonicTime due = guard.due(kStart, kReadAge, 2);
      BOOST_TEST((due - now <= kBound));
      now = due;
    }
  }
}

BOOST_AUTO_TEST_CASE(failuresAreForgottenWhenTheStoreAnswers) {
  ViewGuard guard(viewGuardSettings(kReadAge), 7);
  for (int call = 0; call < 10; ++call) {
    guard.onRead(false, kStart);
  }
  guard.onRead(true, kStart);
  BOOST_TEST((guard.due(kStart - kReadAge, kReadAge, 1) <= kStart + guard.settings().stagger));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::relay
