#include "weights/load_schedule.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::weights {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr Milliseconds kLead{500};
const BackendId kA("a");
const BackendId kB("b");
const BackendId kC("c");
const BackendId kD("d");

MonotonicTime after(int milliseconds) {
  return kStart + Milliseconds(milliseconds);
}

std::vector<DueServer> busy(const std::vector<BackendId>& servers) {
  std::vector<DueServer> due;
  due.reserve(servers.size());
  for (const BackendId& server : servers) {
    due.push_back({server, false});
  }
  return due;
}

struct ScheduleFixture {
  LoadSchedule schedule{LoadScheduleSettings{kLead, Milliseconds(800)}};
};

BOOST_FIXTURE_TEST_SUITE(load_schedule, ScheduleFixture)

BOOST_AUTO_TEST_CASE(serverIsOrderedOnlyAfterTheLead) {
  schedule.update(busy({kA, kB, kC}), 2, kStart);
  BOOST_TEST((schedule.reserved() == std::set{kA, kB}));
  BOOST_TEST(!schedule.mayOrder(kA, after(499)));
  BOOST_TEST(schedule.mayOrder(kA, after(500)));
  // It was never announced, so it may never be ordered.
  BOOST_TEST(!schedule.mayOrder(kC, after(5000)));
}

/// For example after a restart: other nodes were informed about the earlier run.
BOOST_AUTO_TEST_CASE(withdrawnAnnouncementRestartsItsLead) {
  schedule.update(busy({kA}), 2, kStart);
  schedule.onGone(kA);
  schedule.update(busy({kA}), 2, after(400));
  BOOST_TEST(!schedule.mayOrder(kA, after(899)));
  BOOST_TEST(schedule.mayOrder(kA, after(900)));
}

BOOST_AUTO_TEST_CASE(nextServersAreAnnouncedDuringLoadsSoThatNoSlotStaysIdle) {
  schedule.update(busy({kA, kB, kC, kD}), 2, kStart);
  schedule.onOrdered(kA, after(500));
  schedule.onOrdered(kB, after(500));
  // A load takes 800 ms and the lead is 500 ms, so a slot becomes free after 300 ms.
  schedule.update(busy({kC, kD}), 2, after(799));
  BOOST_TEST((schedule.reserved() == std::set{kA, kB}));
  schedule.update(busy({kC, kD}), 2, after(800));
  BOOST_TEST((schedule.reserved() == std::set{kA, kB, kC, kD}));
  BOOST_TEST(schedule.mayOrder(kC, after(1300)));
}

BOOST_AUTO_TEST_CASE(announcementsNeverExceedTheLimit) {
  schedule.update(busy({kA, kB, kC, kD}), 2, kStart);
  schedule.update(busy({kA, kB, kC, kD}), 2, after(100));
  BOOST_TEST(schedule.reserved().size() == 2U);
  schedule.onOrdered(kA, after(500));
  schedule.update(busy({kB, kC, kD}), 2, after(600));
  BOOST_TEST((schedule.reserved() == std::set{kA, kB}));
}

BOOST_AUTO_TEST_CASE(loadTimeIsEstimatedFromPastLoads) {
  for (int turn = 0; turn < 20; ++turn) {
    const MonotonicTime begin = after(turn * 10'000);
    schedule.onOrdered(kA, begin);
    schedule.onLoaded(kA, begin + Milliseconds(2000));
  }
  BOOST_TEST(schedule.loadTime() > Milliseconds(1900));
  BOOST_TEST(schedule.loadTime() <= Milliseconds(2000));
  // The next server is announced correspondingly later.
  const MonotonicTime begin = after(300'000);
  schedule.onOrdered(kA, begin);
  schedule.update(busy({kB}), 1, begin + Milliseconds(1300));
  BOOST_TEST((schedule.reserved() == std::set{kA}));
  schedule.update(busy({kB}), 1, begin + Milliseconds(1500));
  BOOST_TEST((schedule.reserved() == std::set{kA, kB}));
}

BOOST_AUTO_TEST_CASE(serverNoLongerDueIsNoLongerAnnounced) {
  schedule.update(busy({kA, kB}), 2, kStart);
  schedule.update(busy({kB, kC}), 2, after(100));
  BOOST_TEST((schedule.reserved() == std::set{kB, kC}));
}

BOOST_AUTO_TEST_CASE(removedServerReleasesItsSlotAndLeavesTheEstimateUnchanged) {
  schedule.onOrdered(kA, kStart);
  schedule.onGone(kA);
  schedule.update(busy({kB}), 1, after(1));
  BOOST_TEST((schedule.reserved() == std::set{kB}));
  BOOST_TEST(schedule.loadTime() == Milliseconds(800));
}

BOOST_AUTO_TEST_CASE(observedLoadHoldsASlotAndLeavesTheEstimateUnchanged) {
  schedule.onLoadObserved(kA, kStart);
  schedule.update(busy({kB}), 1, after(1));
  BOOST_TEST((schedule.reserved() == std::set{kA}));
  schedule.onLoaded(kA, after(100));
  BOOST_TEST(schedule.loadTime() == Milliseconds(800));
  schedule.update(busy({kB}), 1, after(101));
  BOOST_TEST((schedule.reserved() == std::set{kB}));
}

BOOST_AUTO_TEST_CASE(clearRemovesAnnouncementsAndOrders) {
  schedule.update(busy({kA}), 2, kStart);
  schedule.onOrdered(kB, kStart);
  schedule.clear();
  BOOST_TEST(schedule.reserved().empty());
  BOOST_TEST(schedule.ordered().empty());
}

BOOST_AUTO_TEST_CASE(serverWithoutWorkIsOrderedImmediately) {
  schedule.update({{kA, true}, {kB, false}}, 2, kStart);
  BOOST_TEST(schedule.mayOrder(kA, kStart));
  BOOST_TEST(!schedule.mayOrder(kB, kStart));
  // Its weights expire during the lead.
  schedule.update({{kB, true}}, 2, after(100));
  BOOST_TEST(schedule.mayOrder(kB, after(100)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::weights
