#include "server_paths/calls_in_flight.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::server_paths {
namespace {

constexpr Milliseconds kSilence{100};
constexpr std::string_view kReason = "reason";

struct Fixture {
  std::shared_ptr<CallInFlight> begin(MovePermission mayMove) {
    return calls.begin(http::ConnectionPath(Endpoint{"127.0.0.1", 1}), std::move(mayMove),
                       &canceller, begun);
  }
  std::size_t endSilentAt(MonotonicTime now) {
    return calls.endSilent([](const http::ConnectionPath&) { return true; }, kSilence, kReason,
                           now);
  }

  MonotonicTime begun = monotonicNow();
  http::ExchangeCanceller canceller;
  CallsInFlight calls;
};

BOOST_FIXTURE_TEST_SUITE(calls_in_flight, Fixture)

/// Guards against silent calls that are ended although no other server may take their requests
/// over: their answers would be lost.
BOOST_AUTO_TEST_CASE(silentCallStaysUntilItMayMove) {
  bool mayMove = false;
  const auto call = begin([&mayMove] { return mayMove; });
  BOOST_TEST(endSilentAt(begun + kSilence) == 0U);
  BOOST_TEST(!canceller.cancelled());
  BOOST_TEST(call->endedFor.empty());
  mayMove = true;
  BOOST_TEST(endSilentAt(begun + kSilence) == 1U);
  BOOST_TEST(canceller.cancelled());
  BOOST_TEST(call->endedFor == kReason);
}

BOOST_AUTO_TEST_CASE(callWithoutPermissionStays) {
  const auto call = begin(nullptr);
  BOOST_TEST(endSilentAt(begun + kSilence) == 0U);
  BOOST_TEST(!canceller.cancelled());
}

BOOST_AUTO_TEST_CASE(callThatWasHeardIsNotSilent) {
  const auto call = begin([] { return true; });
  calls.recordBytes(*call, begun + kSilence);
  BOOST_TEST(endSilentAt(begun + kSilence) == 0U);
  BOOST_TEST(endSilentAt(begun + 2 * kSilence) == 1U);
}

BOOST_AUTO_TEST_CASE(callIsEndedOnce) {
  const auto call = begin([] { return true; });
  BOOST_TEST(endSilentAt(begun + kSilence) == 1U);
  BOOST_TEST(endSilentAt(begun + kSilence) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::server_paths
