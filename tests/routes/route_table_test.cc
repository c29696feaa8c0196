#include "routes/route_table.h"

#include <boost/test/unit_test.hpp>

namespace calicodrift::routes {
namespace {

Route routeAt(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.pathPrefix = prefix;
  route.services = {{"s", 1}};
  return route;
}

RouteTable makeTable() {
  RouteTableContent content;
  content.routes = {routeAt("h", "/a/"), routeAt("h", "/a/b/"), routeAt("g", "/")};
  Tenant tenant;
  tenant.id = TenantId("t");
  tenant.apiKeys = {"k1", "k2"};
  content.tenants = {tenant};
  return RouteTable(std::move(content));
}

BOOST_AUTO_TEST_CASE(longestPrefixOfTheHostWins) {
  const RouteTable table = makeTable();
  BOOST_TEST(table.findRoute("h", "/a/b/c")->name == "h/a/b/");
  BOOST_TEST(table.findRoute("h", "/a/b")->name == "h/a/");
  BOOST_TEST(table.findRoute("h", "/a/")->name == "h/a/");
  BOOST_TEST(table.findRoute("g", "/x/y")->name == "g/");
  BOOST_TEST((table.findRoute("h", "/b/") == nullptr));
  BOOST_TEST((table.findRoute("h", "/ab/") == nullptr));
  BOOST_TEST((table.findRoute("f", "/a/") == nullptr));
}

BOOST_AUTO_TEST_CASE(pauseBoundIsTheShortestOfTheServicesRoutes) {
  RouteTableContent content;
  for (const std::int64_t pause : {600, 0, 250}) {
    Route route = routeAt("h", "/" + std::to_string(pause) + "/");
    route.services = {{"s", 90}, {"r", 10}};
    route.maxEventPause = Milliseconds(pause);
    content.routes.push_back(route);
  }
  content.routes.push_back(routeAt("g", "/"));
  content.routes.back().services = {{"q", 1}};
  const RouteTable table(std::move(content));
  BOOST_TEST(table.maxStreamPauseOf("s") == Milliseconds(250));
  BOOST_TEST(table.maxStreamPauseOf("r") == Milliseconds(250));
  BOOST_TEST(table.maxStreamPauseOf("q") == Milliseconds(0));
}

BOOST_AUTO_TEST_CASE(tenantsAreFoundByAnyOfTheirKeys) {
  const RouteTable table = makeTable();
  BOOST_TEST(table.findTenant("k2")->id.value() == "t");
  BOOST_TEST((table.findTenant("k3") == nullptr));
  BOOST_TEST((table.findTenant("") == nullptr));
}

}  // namespace
}  // namespace calicodrift::routes
