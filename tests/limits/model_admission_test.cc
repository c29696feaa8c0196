#include "limits/model_admission.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "limits/retry_budget.h"
#include "limits/water_fill.h"

namespace calicodrift::limits {
namespace {

const MonotonicTime kStart = MonotonicTime{} + std::chrono::hours(1);

Work workOf(const std::string& tenant, Priority priority = Priority::kNormal) {
  Work work;
  work.tenant = TenantId(tenant);
  work.priority = priority;
  work.promptTokens = 644;
  work.outputTokens = 100;
  work.engines = 1;
  return work;
}

/// Fills the window with the tenant's work until one is refused.
Error fill(ModelAdmission& admission, const Work& work, MonotonicTime now) {
  for (;;) {
    const Result<void> admitted = admission.admit(work, now);
    if (!admitted) {
      return admitted.error();
    }
  }
}

BOOST_AUTO_TEST_CASE(fairLevelsGiveEveryoneTheWeightedPart) {
  BOOST_TEST(fairLevel({{10, 1}, {100, 1}, {100, 2}}, 100) == 30);
  BOOST_TEST(std::isinf(fairLevel({{10, 1}, {20, 1}}, 30)));
}

BOOST_AUTO_TEST_CASE(overloadIsRefusedAtOnceWithATimeToComeBack) {
  ModelAdmission admission;
  const Error refused = fill(admission, workOf("large"), kStart);
  BOOST_TEST((refused.kind == ErrorKind::kOverloaded));
  BOOST_TEST((errorRow(refused.kind).run == RunStatement::kNo));
  BOOST_REQUIRE(refused.retryAfter.has_value());
  BOOST_TEST(refused.retryAfter->count() > 0);
  BOOST_TEST(admission.outstanding() <= LoadWindow::kInitialTokensPerEngine);
}

BOOST_AUTO_TEST_CASE(aSmallTenantIsAdmittedWhenALargeOneFillsTheWindow) {
  ModelAdmission admission;
  fill(admission, workOf("large"), kStart);
  fill(admission, workOf("large"), kStart + Milliseconds(10));
  BOOST_TEST(!admission.admit(workOf("large"), kStart + Milliseconds(20)).has_value());
  BOOST_TEST(admission.admit(workOf("small"), kStart + Milliseconds(20)).has_value());
}

BOOST_AUTO_TEST_CASE(prioritiesGoInOrderAndNoneStarves) {
  ModelAdmission admission;
  MonotonicTime now = kStart;
  std::array<std::size_t, 3> admitted{};
  fill(admission, workOf("t", Priority::kHigh), now);
  constexpr std::size_t kRounds = 2000;
  for (std::size_t round = 0; round < kRounds; ++round) {
    now += Milliseconds(10);
    admission.onFinished(workOf("t"), {}, {100, Milliseconds(500)}, now);
    for (const Priority priority : {Priority::kLow, Priority::kNormal, Priority::kHigh}) {
      admitted[static_cast<std::size_t>(priority)] +=
          admission.admit(workOf("t", priority), now).has_value() ? 1 : 0;
    }
  }
  BOOST_TEST(admitted[0] > admitted[1]);
  BOOST_TEST(admitted[1] > admitted[2]);
  BOOST_TEST(admitted[2] >= kRounds / ModelAdmission::kLowTurn * 9 / 10);
}

BOOST_AUTO_TEST_CASE(aDeadlineThatCannotBeMetIsRefusedBeforeTheWork) {
  ModelAdmission admission;
  Work work = workOf("t");
  BOOST_REQUIRE(admission.admit(work, kStart).has_value());
  const MonotonicTime firstToken = kStart + Milliseconds(800);
  admission.onFirstToken(work, {}, kStart, firstToken);
  admission.onFinished(work, {}, {100, Milliseconds(2000)}, firstToken + Milliseconds(2000));
  const MonotonicTime now = firstToken + Milliseconds(2000);
  work.deadline = now + Milliseconds(1000);
  const Result<void> refused = admission.admit(work, now);
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error().kind == ErrorKind::kDeadlineUnreachable));
  work.deadline = now + Milliseconds(4000);
  BOOST_TEST(admission.admit(work, now).has_value());
  // An old estimate refuses nobody: the request goes and measures.
  const MonotonicTime later = now + Milliseconds(10'000);
  work.deadline = later + Milliseconds(1000);
  BOOST_TEST(admission.admit(work, later).has_value());
}

BOOST_AUTO_TEST_CASE(theWindowFollowsTheTimeToFirstToken) {
  LoadWindow window;
  MonotonicTime now = kStart;
  const double before = window.tokens(2);
  for (int sample = 0; sample < 200; ++sample) {
    now += Milliseconds(50);
    window.onSample(true, now, window.tokens(2), 2, now);
  }
  const double narrow = window.tokens(2);
  BOOST_TEST(narrow < before / 4);
  for (int sample = 0; sample < 400; ++sample) {
    now += Milliseconds(50);
    window.onPressed();
    window.onSample(false, now, window.tokens(2), 2, now);
  }
  BOOST_TEST(window.tokens(2) > narrow * 2);
}

BOOST_AUTO_TEST_CASE(anOverdueFirstTokenCountsBeforeItComes) {
  ModelAdmission admission;
  fill(admission, workOf("t"), kStart);
  const double wide = admission.windowTokens();
  for (std::uint64_t id = 1; id <= 20; ++id) {
    admission.onDispatched(workOf("t"), WorkId(id), {}, kStart);
  }
  const Error refused = fill(admission, workOf("t"), kStart + Milliseconds(2000));
  BOOST_TEST((refused.kind == ErrorKind::kOverloaded));
  BOOST_TEST(admission.windowTokens() < wide);
  BOOST_TEST(admission.windowCuts() >= 1U);
}

BOOST_AUTO_TEST_CASE(retriesStayAtAFractionOfTheRequests) {
  RetryBudget budget(0.1);
  MonotonicTime now = kStart;
  std::size_t retries = 0;
  constexpr std::size_t kRequests = 10'000;
  for (std::size_t request = 0; request < kRequests; ++request) {
    now += Milliseconds(10);
    budget.onRequest(now);
    for (int attempt = 0; attempt < 2; ++attempt) {
      retries += budget.tryTake(now) ? 1 : 0;
    }
  }
  // 100 s: a tenth of the requests, the floor of one a second, the first burst.
  BOOST_TEST(retries <= kRequests / 10 + 100 + 10);
  BOOST_TEST(retries >= kRequests / 10);
  BOOST_TEST(!RetryBudget::counts(ErrorKind::kConnectFailed, false));
  BOOST_TEST(!RetryBudget::counts(ErrorKind::kStreamBroken, true));
  BOOST_TEST(RetryBudget::counts(ErrorKind::kBackendRefused, false));
}

}  // namespace
}  // namespace calicodrift::limits
