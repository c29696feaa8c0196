#include "server_limits/unit_issuer.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "support/arrival_windows.h"

namespace calicodrift::server_limits {
namespace {

constexpr MonotonicTime kBegin{std::chrono::hours(1)};

LimitRecord limitOf(double perSecond) {
  return {fleet::ServerKey(1), LimitVersion(1), true, perSecond};
}

BOOST_AUTO_TEST_SUITE(unit_issuer)

/// The limit is enforced in every window and fully used, at any request rate above it.
BOOST_AUTO_TEST_CASE(limitsAreEnforcedAndUsed) {
  constexpr double kSeconds = 60;
  constexpr double kMicrosecondsPerSecond = 1e6;
  for (const double limit : {0.25, 0.5, 1.0, 3.0, 10.0, 20.0}) {
    for (const double loadFactor : {2.0, 4.0, 40.0}) {
      UnitIssuer issuer;
      std::mt19937_64 random(11);
      std::exponential_distribution<double> pause(limit * loadFactor / kMicrosecondsPerSecond);
      std::vector<MonotonicTime> grants;
      for (MonotonicTime now = kBegin; now < kBegin + Milliseconds(60'000);
           now += Microseconds(static_cast<std::int64_t>(pause(random)))) {
        if (issuer.take(limitOf(limit), now, now).granted) {
          grants.push_back(now);
        }
      }
      BOOST_TEST(static_cast<double>(testing::mostInAnyWindow(grants)) <=
                     testing::kAimedArrivals.at(limit),
                 "limit " << limit << ", " << loadFactor << " times asked");
      BOOST_TEST(static_cast<double>(grants.size()) >= 0.9 * limit * kSeconds - 1,
                 "limit " << limit << ", " << loadFactor << " times asked: " << grants.size());
    }
  }
}

BOOST_AUTO_TEST_CASE(newIssuerStartsEmptyAndWaitsForItsPredecessor) {
  UnitIssuer issuer;
  const MonotonicTime notBefore = kBegin + Milliseconds(2500);
  const UnitDecision early = issuer.take(limitOf(10), notBefore, kBegin + Milliseconds(1000));
  BOOST_TEST(!early.granted);
  BOOST_TEST(early.wait.count() == 1500);
  BOOST_TEST(issuer.take(limitOf(10), notBefore, notBefore - Milliseconds(1)).wait.count() == 1);
  BOOST_TEST(!issuer.take(limitOf(10), notBefore, notBefore).granted);
  BOOST_TEST(issuer.take(limitOf(10), notBefore, notBefore + Milliseconds(100)).granted);
}

BOOST_AUTO_TEST_CASE(returnedUnitCanBeTakenAgain) {
  UnitIssuer issuer;
  static_cast<void>(issuer.take(limitOf(1), kBegin, kBegin));
  const MonotonicTime later = kBegin + Milliseconds(1000);
  BOOST_TEST(issuer.take(limitOf(1), later, later).granted);
  BOOST_TEST(!issuer.take(limitOf(1), later, later).granted);
  issuer.giveBack(fleet::ServerKey(1), later);
  BOOST_TEST(issuer.take(limitOf(1), later, later).granted);
}

BOOST_AUTO_TEST_CASE(zeroLimitGrantsNothing) {
  UnitIssuer issuer;
  for (int step = 0; step < 100; ++step) {
    const MonotonicTime now = kBegin + step * Milliseconds(100);
    const UnitDecision decision = issuer.take(limitOf(0), now, now);
    BOOST_TEST(!decision.granted);
    BOOST_TEST((decision.wait == UnitIssuer::kMaxWait));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
