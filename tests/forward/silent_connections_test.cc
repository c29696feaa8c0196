// Guards against servers that lose traffic for being slow to accept: a request that leaves while it
// still connects has learnt nothing about its server.

#include "forwarding_fixture.h"
#include "support/hanging_listener.h"

namespace calicodrift::forward {
namespace {

struct Fixture : ForwardingFixture {
  Fixture() {
    rule = {};
    // The request leaves long before the connection's own limit.
    settings.connectTimeout = Milliseconds(3000);
    settings.failoverTargets = 0.25;
    settings.retryFloorBurst = 10;
    addServer("b", kOld);
    fleet::Server server;
    server.id = BackendId("a");
    server.endpoint = hanging.endpoint();
    server.version = kOld;
    server.service = "app";
    pool.apply(server, monotonicNow());
  }
  std::size_t usable() { return pool.candidates("app", ModelId(), monotonicNow()).size(); }

  testing::HangingListener hanging{context};
};

BOOST_FIXTURE_TEST_SUITE(silent_connections, Fixture)

BOOST_AUTO_TEST_CASE(serverThatWasLeftWhileConnectingStaysInUse) {
  constexpr std::size_t kRequests = 6;
  constexpr Milliseconds kPatience{100};
  std::size_t moved = 0;
  for (std::size_t number = 0; number < kRequests; ++number) {
    const MonotonicTime begin = monotonicNow();
    BOOST_TEST(call() == 200U);
    moved += monotonicNow() - begin >= kPatience ? 1 : 0;
  }
  BOOST_TEST(moved > 0U, "no request began to connect to the hanging server");
  BOOST_TEST(servers.front()->requests.size() == kRequests);
  BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
