#include "quarantine/trial_table.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::quarantine {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr Milliseconds kTerm{1000};
const std::vector<ServerRun> kChoices{ServerRun(7), ServerRun(8)};
constexpr RequestFingerprint kFirst{1, 0, 1};
constexpr RequestFingerprint kSecond{1, 0, 2};

BOOST_AUTO_TEST_SUITE(trial_table)

BOOST_AUTO_TEST_CASE(oneAttemptPerRequestAtATime) {
  TrialTable trials;
  BOOST_TEST((trials.begin(kFirst, TrialToken(1), kChoices, kTerm, kStart) == ServerRun(7)));
  BOOST_TEST(!trials.begin(kFirst, TrialToken(2), kChoices, kTerm, kStart).has_value());
  BOOST_TEST((trials.remaining(kFirst, kStart + Milliseconds(400)) == Milliseconds(600)));
  // Another token does not end the attempt.
  trials.end(kFirst, TrialToken(2));
  BOOST_TEST(!trials.begin(kFirst, TrialToken(2), kChoices, kTerm, kStart).has_value());
  trials.end(kFirst, TrialToken(1));
  BOOST_TEST((trials.begin(kFirst, TrialToken(2), kChoices, kTerm, kStart) == ServerRun(7)));
}

BOOST_AUTO_TEST_CASE(concurrentAttemptsGoToDifferentServers) {
  TrialTable trials;
  BOOST_TEST((trials.begin(kFirst, TrialToken(1), kChoices, kTerm, kStart) == ServerRun(7)));
  BOOST_TEST((trials.begin(kSecond, TrialToken(2), kChoices, kTerm, kStart) == ServerRun(8)));
  trials.end(kFirst, TrialToken(1));
  BOOST_TEST((trials.begin(kFirst, TrialToken(3), kChoices, kTerm, kStart) == ServerRun(7)));
}

BOOST_AUTO_TEST_CASE(attemptOfADeadNodeExpiresWithItsTerm) {
  TrialTable trials;
  BOOST_TEST((trials.begin(kFirst, TrialToken(1), kChoices, kTerm, kStart) == ServerRun(7)));
  BOOST_TEST(
      (trials.begin(kFirst, TrialToken(2), kChoices, kTerm, kStart + kTerm) == ServerRun(7)));
  // A term beyond the maximum is shortened.
  const MonotonicTime later = kStart + kTerm;
  trials.end(kFirst, TrialToken(2));
  trials.begin(kFirst, TrialToken(3), kChoices, Milliseconds(60'000), later);
  BOOST_TEST((trials.remaining(kFirst, later) == TrialTable::kMaxTerm));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::quarantine
