#include "forward/silence_watch.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

namespace calicodrift::forward {
namespace {

constexpr Milliseconds kPatience{30};

struct Fixture {
  /// Lets the time pass.
  void pass(Milliseconds time) {
    context.restart();
    context.run_for(time);
  }

  boost::asio::io_context context;
  bool allowed = true;
  int asked = 0;
  int moved = 0;
  SilenceWatch watch{context.get_executor(),
                     [this] {
                       ++asked;
                       return allowed;
                     },
                     [this] { ++moved; }};
};

BOOST_FIXTURE_TEST_SUITE(silence_watch, Fixture)

BOOST_AUTO_TEST_CASE(silentServerIsLeftOnce) {
  watch.begin(kPatience);
  pass(4 * kPatience);
  BOOST_TEST(moved == 1);
  BOOST_TEST(asked == 1);
  BOOST_TEST(watch.moved());
}

/// Guards against answers that are given up although no other server may take them over.
BOOST_AUTO_TEST_CASE(withoutPermissionTheWaitGoesOnUntilItIsGiven) {
  allowed = false;
  watch.begin(kPatience);
  pass(kPatience + 3 * SilenceWatch::kAskInterval);
  BOOST_TEST(moved == 0);
  BOOST_TEST(asked > 1);
  allowed = true;
  pass(2 * SilenceWatch::kAskInterval);
  BOOST_TEST(moved == 1);
}

/// Guards against servers that are left while nothing is expected of them.
BOOST_AUTO_TEST_CASE(serverThatWasHeardIsNotLeft) {
  watch.begin(kPatience);
  pass(kPatience / 2);
  watch.end();
  pass(4 * kPatience);
  BOOST_TEST(asked == 0);
}

BOOST_AUTO_TEST_CASE(eachWaitHasItsOwnPatience) {
  watch.begin(10 * kPatience);
  watch.begin(kPatience);
  pass(4 * kPatience);
  BOOST_TEST(moved == 1);
}

/// Guards against answers that are given up though their server keeps sending: the timer of an
/// earlier wait is still set while a later one has just begun.
BOOST_AUTO_TEST_CASE(timerOfAnEarlierWaitEndsNoLaterOne) {
  watch.begin(kPatience);
  pass(kPatience / 2);
  watch.end();
  watch.begin(10 * kPatience);
  pass(3 * kPatience);
  BOOST_TEST(asked == 0);
  BOOST_TEST(moved == 0);
}

BOOST_AUTO_TEST_CASE(watchMayEndBeforeItsTimer) {
  {
    SilenceWatch shorter(
        context.get_executor(), [] { return true; }, [this] { ++moved; });
    shorter.begin(Milliseconds(0));
  }
  pass(kPatience);
  BOOST_TEST(moved == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
