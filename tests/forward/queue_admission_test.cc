#include "forward/queue_admission.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::forward {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr Milliseconds kTarget{600};

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

BOOST_AUTO_TEST_CASE(lowerPriorityIsRefusedFirst) {
  BOOST_TEST(!refused(1000, 0, 0));
  BOOST_TEST(!refused(400, 0, 2000));
  BOOST_TEST(refused(400, 1, 2000));
  BOOST_TEST(!refused(300, 1, 2000));
}

BOOST_AUTO_TEST_CASE(retryTimeIsTheWaitUpToTheMaximum) {
  BOOST_TEST((admission.refuse(Milliseconds(1900), kTarget, 0, kStart) == Milliseconds(1900)));
  BOOST_TEST((admission.refuse(Milliseconds(60'000), kTarget, 0, kStart) == Milliseconds(2000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
