#include "forward/queue_admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>

namespace calicodrift::forward {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr Milliseconds kTarget{600};
constexpr Milliseconds kShortTarget{100};
constexpr Milliseconds kLongTarget{3000};

MonotonicTime after(int milliseconds) {
  return kStart + Milliseconds(milliseconds);
}

struct AdmissionFixture {
  QueueAdmission admission{QueueAdmissionSettings{}};
  bool refused(int waitMs, unsigned rank, int atMs) {
    return admission.refuse(Milliseconds(waitMs), kTarget, rank, after(atMs)).has_value();
  }
};

BOOST_FIXTURE_TEST_SUITE(queue_admission, AdmissionFixture)

BOOST_AUTO_TEST_CASE(shortWaitIsAdmitted) {
  for (int at = 0; at < 60'000; at += 100) {
    BOOST_TEST(!refused(300, 1, at));
  }
}

BOOST_AUTO_TEST_CASE(aBurstIsServedLateRatherThanRefused) {
  BOOST_TEST(!refused(1500, 0, 0));
  BOOST_TEST(!refused(1500, 0, 1500));
  // Waits above the burst limit are refused even during a burst.
  BOOST_TEST(refused(1900, 0, 1500));
}

BOOST_AUTO_TEST_CASE(lastingOverloadIsRefusedUntilTheQueuesAreShort) {
  BOOST_TEST(!refused(1000, 0, 0));
  BOOST_TEST(refused(1000, 0, 1501));
  BOOST_TEST(!refused(400, 0, 1600));
  // The wait is below the limit but not short enough to end the congestion.
  BOOST_TEST(refused(500, 0, 1700));
  BOOST_TEST(!refused(200, 0, 1800));
  // A new congestion, which is allowed a burst of its own.
  BOOST_TEST(!refused(1000, 0, 1900));
  BOOST_TEST(!refused(1000, 0, 3300));
  BOOST_TEST(refused(1000, 0, 3500));
}

/// Guards against refusals by the target of a route that a later configuration has removed or given
/// more time.
BOOST_AUTO_TEST_CASE(targetsOfAnEarlierConfigurationDoNotCount) {
  const auto refusedAt = [this](int at) {
    return admission.refuse(Milliseconds(500), kLongTarget, 1, after(at)).has_value();
  };
  admission.applyConfiguration(ConfigVersion(3));
  BOOST_TEST(!admission.refuse(Milliseconds(10), kShortTarget, 0, after(0)));
  BOOST_TEST(refusedAt(0), "the urgent requests would wait behind it");
  admission.applyConfiguration(ConfigVersion(5));
  BOOST_TEST(!refusedAt(10));
  // A request that was let in under the earlier one brings nothing back.
  admission.applyConfiguration(ConfigVersion(3));
  BOOST_TEST(!refusedAt(20));
}

BOOST_AUTO_TEST_CASE(lowerPriorityIsRefusedFirst) {
  BOOST_TEST(!refused(1000, 0, 0));
  BOOST_TEST(!refused(400, 0, 2000));
  BOOST_TEST(refused(400, 1, 2000));
  BOOST_TEST(!refused(300, 1, 2000));
}

// A quarter of the servers is silent while the long requests of a lower rank, whose target is three
// times as long, come two and a half times as often. They filled the queues beyond what is admitted
// of the urgent ones, of which half were refused.
BOOST_AUTO_TEST_CASE(longRequestsOfALowerRankDoNotShutTheUrgentOut) {
  constexpr Milliseconds kUrgent{400};
  constexpr Milliseconds kLong{1200};
  constexpr unsigned kLowerRank = 2;
  constexpr double kStepMs = 10;
  // Work that arrives, in milliseconds of the servers' time for each that passes.
  constexpr double kUrgentWork = 0.7;
  constexpr double kLongWork = 1.2;
  double queueMs = 0;
  std::size_t refusedUrgent = 0;
  std::size_t steps = 0;
  for (MonotonicTime now = kStart; now < after(20'000); now += Milliseconds(10), ++steps) {
    const Milliseconds wait(static_cast<std::int64_t>(queueMs));
    if (admission.refuse(wait, kUrgent, 0, now)) {
      ++refusedUrgent;
    } else {
      queueMs += kUrgentWork * kStepMs;
    }
    if (!admission.refuse(wait, kLong, kLowerRank, now)) {
      queueMs += kLongWork * kStepMs;
    }
    queueMs = std::max(0.0, queueMs - kStepMs);
  }
  BOOST_TEST(refusedUrgent <= steps / 20, refusedUrgent << " of " << steps);
}

BOOST_AUTO_TEST_CASE(requestsOfOneRankKeepTheirOwnTargets) {
  static_cast<void>(admission.refuse(Milliseconds(0), Milliseconds(100), 0, kStart));
  BOOST_TEST(!admission.refuse(Milliseconds(900), kTarget, 0, kStart));
}

BOOST_AUTO_TEST_CASE(retryTimeIsTheWaitUpToTheMaximum) {
  BOOST_TEST((admission.refuse(Milliseconds(1900), kTarget, 0, kStart) == Milliseconds(1900)));
  BOOST_TEST((admission.refuse(Milliseconds(60'000), kTarget, 0, kStart) == Milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
