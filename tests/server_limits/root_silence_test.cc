#include "server_limits/root_silence.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::server_limits {
namespace {

const Endpoint kRoot{"10.0.0.1", 1};
constexpr MonotonicTime kBegin{std::chrono::hours(1)};

BOOST_AUTO_TEST_SUITE(root_silence)

BOOST_AUTO_TEST_CASE(failedRootIsSkippedForTheRetryDelay) {
  RootSilence silence;
  BOOST_TEST(!silence.isSilent(kRoot, kBegin));
  silence.noteFailure(kRoot, kBegin);
  BOOST_TEST(silence.isSilent(kRoot, kBegin + Milliseconds(200)));
  BOOST_TEST(!silence.isSilent(kRoot, kBegin + RootSilence::kRetryDelay));
  silence.noteAnswer(kRoot);
  BOOST_TEST(!silence.isSilent(kRoot, kBegin + Milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(rootIsPresumedDeadAfterTheTakeoverDelay) {
  RootSilence silence;
  for (Milliseconds passed{0}; passed < RootSilence::kTakeoverDelay; passed += Milliseconds(400)) {
    BOOST_TEST(!silence.isPresumedDead(kRoot, kBegin + passed));
    silence.noteFailure(kRoot, kBegin + passed);
  }
  BOOST_TEST(silence.isPresumedDead(kRoot, kBegin + RootSilence::kTakeoverDelay));
  silence.noteAnswer(kRoot);
  BOOST_TEST(!silence.isPresumedDead(kRoot, kBegin + RootSilence::kTakeoverDelay));
}

/// The root may have answered other nodes in between.
BOOST_AUTO_TEST_CASE(failuresFarApartAreSeparateOutages) {
  RootSilence silence;
  silence.noteFailure(kRoot, kBegin);
  const MonotonicTime later = kBegin + Milliseconds(60'000);
  BOOST_TEST(!silence.isPresumedDead(kRoot, later));
  silence.noteFailure(kRoot, later);
  BOOST_TEST(!silence.isPresumedDead(kRoot, later));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_limits
