// The store is back from an older copy: what was written since is gone, revisions are given out
// again.
#include "fleet_callers.h"

namespace calicodrift::testing {
namespace {

using boost::asio::awaitable;

constexpr std::size_t kNodes = 5;
/// Half of the default bounds of configuration and of leaving servers.
constexpr Milliseconds kHalfOfBound{2000};

/// Brings the store to a state whose revisions a return makes lower.
awaitable<void> writeMuch(GatewayFleet& fleet) {
  for (std::uint64_t version = 2; version <= 40; ++version) {
    fleet.store.put("config", "main", GatewayFixture::configuration(version));
  }
  co_await fleet.pause(Milliseconds(1000));
}

http::Request keyed(const std::string& key) {
  return GatewayFixture::request("/safe/a", key);
}

BOOST_AUTO_TEST_SUITE(platform_returned_store)

// Revisions of two histories were compared as one: after a return nodes refused whatever the store
// said until its counter had passed the known number, and missed what had been written below it.
BOOST_AUTO_TEST_CASE(changesAfterAReturnAreInForceInTime) {
  GatewayFleet fleet(kNodes, 1);
  ServerStandIn& leaving = fleet.addServer("app-2", "app", "");
  fleet.run([&]() -> awaitable<void> {
    fleet.store.copy();
    co_await writeMuch(fleet);
    fleet.store.restoreCopy();
    co_await fleet.pause(Milliseconds(100));
    fleet.store.put("config", "main", GatewayFixture::configuration(41, "k2"));
    fleet.store.put("servers", "app-2", leaving.entry("draining"));
    co_await fleet.pause(kHalfOfBound);
    const std::size_t before = leaving.arrivals().size();
    for (std::size_t node = 0; node < kNodes; ++node) {
      BOOST_TEST(co_await fleet.call(node, keyed("k2")) == 200U);
      BOOST_TEST(co_await fleet.call(node, keyed("k1")) == 401U);
      for (int request = 0; request < 6; ++request) {
        BOOST_TEST(co_await fleet.call(node, keyed("k2")) == 200U);
      }
    }
    BOOST_TEST(leaving.arrivals().size() == before);
  });
}

// Changes below the known number that no later one follows were never seen.
BOOST_AUTO_TEST_CASE(aSingleChangeAfterAReturnIsSeen) {
  GatewayFleet fleet(kNodes, 1);
  fleet.run([&]() -> awaitable<void> {
    fleet.store.copy();
    co_await writeMuch(fleet);
    fleet.store.restoreCopy();
    fleet.store.put("config", "main", GatewayFixture::configuration(41, "k2"));
    co_await fleet.pause(Milliseconds(6000));
    for (std::size_t node = 0; node < kNodes; ++node) {
      BOOST_TEST(co_await fleet.call(node, keyed("k2")) == 200U);
    }
  });
}

// The copy is older than what a server has said of itself, and than the configuration in force.
BOOST_AUTO_TEST_CASE(whatWasKnownDoesNotGoBackWithTheStore) {
  GatewayFleet fleet(kNodes, 1);
  ServerStandIn& leaving = fleet.addServer("app-2", "app", "");
  ServerStandIn& removed = fleet.addServer("app-3", "app", "");
  fleet.run([&]() -> awaitable<void> {
    fleet.store.copy();
    fleet.store.put("servers", "app-2", leaving.entry("draining"));
    fleet.store.remove("servers", "app-3");
    fleet.store.put("config", "main", GatewayFixture::configuration(2, "k2"));
    co_await fleet.pause(Milliseconds(1500));
    fleet.store.restoreCopy();
    const std::size_t before = leaving.arrivals().size() + removed.arrivals().size();
    for (int round = 0; round < 10; ++round) {
      co_await fleet.pause(Milliseconds(150));
      for (std::size_t node = 0; node < kNodes; ++node) {
        BOOST_TEST(co_await fleet.call(node, keyed("k2")) == 200U);
        BOOST_TEST(co_await fleet.call(node, keyed("k1")) != 200U);
      }
    }
    BOOST_TEST(leaving.arrivals().size() + removed.arrivals().size() == before);
    // Written again as it was: the server is ready after all.
    fleet.store.put("servers", "app-3", removed.entry());
    co_await fleet.pause(Milliseconds(1000));
    for (int request = 0; request < 20; ++request) {
      BOOST_TEST(co_await fleet.call(0, keyed("k2")) == 200U);
    }
    BOOST_TEST(removed.arrivals().size() > 0U);
  });
}

// A server that started after the copy was made is not on the list until it writes itself again.
BOOST_AUTO_TEST_CASE(aServerThatTheCopyLacksStaysInUseUntilItIsBack) {
  GatewayFleet fleet(kNodes, 1);
  fleet.run([&]() -> awaitable<void> {
    fleet.store.copy();
    ServerStandIn& added = fleet.addServer("app-2", "app", "");
    fleet.store.remove("servers", "app");
    co_await fleet.pause(Milliseconds(1500));
    fleet.store.restoreCopy();
    fleet.store.remove("servers", "app");
    for (int round = 0; round < 8; ++round) {
      co_await fleet.pause(Milliseconds(100));
      for (std::size_t node = 0; node < kNodes; ++node) {
        BOOST_TEST(co_await fleet.call(node, keyed("k1")) == 200U);
      }
    }
    fleet.store.put("servers", "app-2", added.entry());
    co_await fleet.pause(Milliseconds(3000));
    BOOST_TEST(co_await fleet.call(0, keyed("k1")) == 200U);
  });
}

// A lost record of a request that ends its servers let it end servers again after a restart of all.
BOOST_AUTO_TEST_CASE(recordsOfRequestsThatEndServersAreWrittenAgain) {
  const std::string create = "POST calicodrift-quarantine";
  GatewayFleet fleet(3, 8);
  fleet.run([&]() -> awaitable<void> {
    fleet.store.copy();
    for (std::size_t attempt = 0; attempt < 4; ++attempt) {
      co_await fleet.call(attempt % 3, GatewayFleet::modelRequest(
                                           "/stream/a", std::string(GatewayFleet::kEndsServer)));
    }
    co_await fleet.waitUntil([&] { return fleet.store.callsOf(create) > 0; });
    co_await fleet.pause(Milliseconds(1000));
    const std::size_t before = fleet.store.callsOf(create);
    fleet.store.restoreCopy();
    co_await fleet.waitUntil([&] { return fleet.store.callsOf(create) > before; });
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
