#include "limits/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace calicodrift::limits {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr Milliseconds kWindow{10'000};

BOOST_AUTO_TEST_SUITE(retry_budget)

/// The users' bound: in each window, second dispatches within a fifth of its requests and a slack
/// of two for each node.
BOOST_AUTO_TEST_CASE(holdsInEachWindowAfterACalmTime) {
  constexpr double kRatio = 0.2;
  constexpr double kSlackOfNode = 2;
  RetryBudget budget(0.16, 0.1, 1);
  std::deque<MonotonicTime> requests;
  std::deque<MonotonicTime> retries;
  const auto forget = [](std::deque<MonotonicTime>& times, MonotonicTime now) {
    while (!times.empty() && now - times.front() >= kWindow) {
      times.pop_front();
    }
  };
  // 40 requests a second; calm for half a minute, then each of them would be retried.
  for (int step = 0; step < 4000; ++step) {
    const MonotonicTime now = kStart + Milliseconds(25) * step;
    budget.onRequest(now);
    requests.push_back(now);
    const bool failing = now - kStart > std::chrono::seconds(30);
    if (failing && budget.tryTake(now)) {
      retries.push_back(now);
    }
    forget(requests, now);
    forget(retries, now);
    const double bound = kRatio * static_cast<double>(requests.size()) + kSlackOfNode;
    BOOST_REQUIRE(static_cast<double>(retries.size()) <= bound);
  }
  BOOST_TEST(retries.size() > 50U);
}

BOOST_AUTO_TEST_CASE(quietNodeMayRetryNowAndThen) {
  RetryBudget budget(0.16, 0.1, 1);
  BOOST_TEST(budget.tryTake(kStart));
  BOOST_TEST(!budget.tryTake(kStart + std::chrono::seconds(5)));
  BOOST_TEST(budget.tryTake(kStart + std::chrono::seconds(11)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::limits
