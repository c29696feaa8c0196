#include "gateway_fixture.h"

namespace calicodrift::testing {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;

/// A node in zone z1 of region r1, with servers of one service in several zones.
struct RegionsFixture : GatewayFixture {
  RegionsFixture() {
    store.put("config", "main", configuration(1));
    settings.zone = "z1";
    settings.zoneRegions = {"z1=r1", "z2=r2"};
  }
  ServerStandIn& addIn(const std::string& zone, const std::string& id) {
    ServerStandIn& server = addServer(id, "app");
    json::value entry = server.entry();
    entry.as_object()["zone"] = zone;
    store.put("servers", id, entry);
    return server;
  }
  awaitable<void> callTimes(int count) {
    for (int number = 0; number < count; ++number) {
      const Result<http::Response> answer = co_await call(request("/safe/x"));
      BOOST_TEST(answer.value().status == 200U);
    }
  }
};

BOOST_FIXTURE_TEST_SUITE(regions, RegionsFixture)

BOOST_AUTO_TEST_CASE(servicesStayInTheRegionAndLeaveItWithItsLastServer) {
  ServerStandIn& nearby = addIn("z1", "i-1");
  ServerStandIn& distant = addIn("z2", "i-2");
  run([&]() -> awaitable<void> {
    co_await callTimes(20);
    BOOST_TEST(nearby.arrivals().size() == 20U);
    BOOST_TEST(distant.arrivals().empty());
    store.remove("servers", "i-1");
    co_await waitUntil([this] { return store.calls() > 0; });
    boost::asio::steady_timer timer(context, Milliseconds(400));
    co_await timer.async_wait(boost::asio::use_awaitable);
    co_await callTimes(5);
    BOOST_TEST(distant.arrivals().size() == 5U);
  });
}

BOOST_AUTO_TEST_CASE(aZoneWithoutARegionIsServedAsTheFarthest) {
  ServerStandIn& nearby = addIn("z1", "i-1");
  ServerStandIn& unknown = addIn("nowhere", "i-2");
  run([&]() -> awaitable<void> {
    co_await callTimes(20);
    BOOST_TEST(nearby.arrivals().size() == 20U);
    BOOST_TEST(unknown.arrivals().empty());
    nearby.setBehaviour(
        [](const http::Request& asked, http::ResponseWriter& writer) -> awaitable<void> {
          co_await http::respond(writer, ServerStandIn::notExecuted(asked));
        });
    // The only server nearby refuses: a second try goes to the other.
    co_await callTimes(1);
    BOOST_TEST(unknown.arrivals().size() == 1U);
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::testing
