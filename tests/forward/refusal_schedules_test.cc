// Drawn schedules of once-only requests: what becomes of each dispatch is drawn together with
// whether the server runs it, and the answer's promise is checked against that.
#include <array>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "forward/retry_rules.h"

namespace calicodrift::forward {
namespace {

/// Whether a server runs a request whose dispatch ended so; drawn where the end does not tell.
enum class Fate { kNeverRuns, kMayRun };

/// How a dispatch may end, from the server's and the network's side.
struct DispatchCase {
  ErrorKind kind;
  Fate fate;
};

/// Every end of a dispatch that the forwarder distinguishes. Where a request has left this node, it
/// may run later than its dispatch ends: it may lie in a queue, in a tunnel, or on a slow link.
constexpr std::array<DispatchCase, 12> kCases{{
    // No byte was sent, on the direct path or through another node.
    {ErrorKind::kConnectFailed, Fate::kNeverRuns},
    // Withdrawn before it was sent.
    {ErrorKind::kServerWithdrawn, Fate::kNeverRuns},
    // The server's own word.
    {ErrorKind::kBackendRefused, Fate::kNeverRuns},
    {ErrorKind::kFenced, Fate::kNeverRuns},
    {ErrorKind::kOtherWeights, Fate::kNeverRuns},
    // Sent, and the answer was lost, late, broken off, or of another request.
    {ErrorKind::kOutcomeUnknown, Fate::kMayRun},
    {ErrorKind::kStreamBroken, Fate::kMayRun},
    {ErrorKind::kProtocolViolation, Fate::kMayRun},
    {ErrorKind::kDeadlineExceeded, Fate::kMayRun},
    {ErrorKind::kWeightsOutdated, Fate::kMayRun},
    {ErrorKind::kCallerGone, Fate::kMayRun},
    {ErrorKind::kInternal, Fate::kMayRun},
}};

/// Reasons for which no dispatch is made, or no further one.
constexpr std::array<ErrorKind, 7> kNotDispatched{
    ErrorKind::kOverloaded,      ErrorKind::kNoBackend,     ErrorKind::kRateLimited,
    ErrorKind::kNoConfiguration, ErrorKind::kTrialUnderWay, ErrorKind::kDeadlineExceeded,
    ErrorKind::kRequestBarred};

bool promisesNotRun(ErrorKind kind) {
  const unsigned status = errorRow(kind).httpStatus;
  return status == 408 || status == 421 || status == 429 || status == 503;
}

routes::Route onceOnlyRoute(std::mt19937_64& random) {
  constexpr std::size_t kMostAttempts = 3;
  routes::Route route;
  route.kind = random() % 2 == 0 ? routes::RouteKind::kUnsafe : routes::RouteKind::kStreaming;
  route.maxAttempts = 1 + random() % kMostAttempts;
  return route;
}

struct ScheduleResult {
  std::size_t runs = 0;
  ErrorKind answer = ErrorKind::kInternal;
};

/// Dispatches a request until it is not sent again, as the forwarder does.
ScheduleResult runSchedule(std::mt19937_64& random) {
  constexpr std::uint64_t kNoDispatchOneIn = 5;
  const routes::Route route = onceOnlyRoute(random);
  ScheduleResult result;
  AttemptCount attempts;
  ErrorKind last = ErrorKind::kNoBackend;
  for (;;) {
    if (random() % kNoDispatchOneIn == 0) {
      const ErrorKind reason = kNotDispatched[random() % kNotDispatched.size()];
      // A failed dispatch is reported rather than why no other follows it.
      last = attempts.sent == 0 ? reason : last;
      break;
    }
    const DispatchCase& drawn = kCases[random() % kCases.size()];
    ++attempts.sent;
    attempts.weightsMismatches += drawn.kind == ErrorKind::kOtherWeights ? 1 : 0;
    attempts.mayHaveRun += provesNotRun(drawn.kind) ? 0 : 1;
    result.runs += drawn.fate == Fate::kMayRun && random() % 2 == 0 ? 1 : 0;
    last = drawn.kind;
    if (mayRetry(route, drawn.kind, attempts) == RetryDecision::kNo) {
      break;
    }
  }
  result.answer = finalKind(last, attempts);
  return result;
}

BOOST_AUTO_TEST_SUITE(refusal_schedules)

BOOST_AUTO_TEST_CASE(aRefusalIsNeverGivenToARequestThatRan) {
  constexpr std::size_t kSchedules = 10'000;
  std::mt19937_64 random(20'261'204);
  std::size_t refusals = 0;
  std::size_t runs = 0;
  for (std::size_t schedule = 0; schedule < kSchedules; ++schedule) {
    const ScheduleResult result = runSchedule(random);
    BOOST_REQUIRE(result.runs <= 1U);
    const bool refused = promisesNotRun(result.answer);
    BOOST_REQUIRE_MESSAGE(!refused || result.runs == 0, "schedule "
                                                            << schedule << " ran and was answered "
                                                            << errorRow(result.answer).name);
    refusals += refused ? 1 : 0;
    runs += result.runs;
  }
  // Both kinds of end are well represented.
  BOOST_TEST(refusals > kSchedules / 4);
  BOOST_TEST(runs > kSchedules / 8);
}

// The promise rests on the table from kind to answer: a kind that says "maybe run" must not have a
// status that callers take for "not run".
BOOST_AUTO_TEST_CASE(noKindThatMayHaveRunHasAStatusThatPromisesOtherwise) {
  for (unsigned number = 0; number < static_cast<unsigned>(ErrorKind::kCount); ++number) {
    const auto kind = static_cast<ErrorKind>(number);
    // Given only to a later attempt with an idempotency key, which did not run itself.
    const bool ofAnotherAttempt = kind == ErrorKind::kClaimUnavailable;
    if (promisesNotRun(kind) && !ofAnotherAttempt) {
      BOOST_TEST((errorRow(kind).run == RunStatement::kNo), errorRow(kind).name);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
