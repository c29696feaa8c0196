// Guards against cached parts of prompts that are shared over a change of the tenants' isolation.

#include "forwarding_fixture.h"

namespace calicodrift::forward {
namespace {

using boost::asio::awaitable;

struct Fixture : ForwardingFixture {
  Fixture() {
    rule = {kOld, {}, service_rollout::CandidateUse::kNothing, {}};
    settings.retryFloorBurst = 1000;
    addServer("a", kOld);
    addServer("b", kOld);
    configuration = table(1, {});
  }

  static std::shared_ptr<const routes::RouteTable> table(std::uint64_t version,
                                                         const std::set<std::string>& isolated) {
    routes::RouteTableContent content;
    content.version = ConfigVersion(version);
    content.services.emplace_back().name = "llm";
    routes::Route open = route("model", routes::RouteKind::kSafe, "llm");
    open.name = "public";
    open.pathPrefix = "/model/public/";
    routes::Route keyed = route("model", routes::RouteKind::kSafe, "llm");
    keyed.isPublic = false;
    content.routes = {keyed, open};
    for (const std::string name : {"alpha", "beta"}) {
      routes::Tenant tenant;
      tenant.id = TenantId(name);
      tenant.apiKeys = {"key of " + name};
      tenant.isolated = isolated.contains(name);
      content.tenants.push_back(tenant);
    }
    return std::make_shared<const routes::RouteTable>(std::move(content));
  }

  unsigned call(const std::string& tenant, const std::string& target = "/model/x") {
    makeForwarder();
    StatusWriter writer;
    http::Request message;
    message.target = target;
    message.headers.set(TestCallerProtocol::kApiKey, "key of " + tenant);
    bool done = false;
    boost::asio::co_spawn(context, forwarder->handle(message, writer),
                          [&done](const std::exception_ptr&) { done = true; });
    context.restart();
    while (!done && context.run_one_for(std::chrono::seconds(10)) > 0) {
    }
    return writer.status;
  }
  /// The scopes of all dispatches so far, in order; the first server of a request refuses it.
  std::vector<std::string> scopes;
  void refuseFirst(const std::function<void()>& meanwhile) {
    refused = false;
    for (const auto& server : servers) {
      server->behaviour = [this, server = server.get(),
                           meanwhile](http::ResponseWriter& writer) -> awaitable<void> {
        scopes.push_back(server->requests.back().headers.get(TestServerProtocol::kScope));
        const unsigned status = std::exchange(refused, true) ? 200 : 503;
        if (status != 200) {
          meanwhile();
        }
        co_await http::respond(writer, VersionServer::sealed(status));
      };
    }
  }
  bool refused = false;
};

BOOST_FIXTURE_TEST_SUITE(isolation_changes, Fixture)

/// Guards against a request that has waited since before its tenant, or another one, became
/// isolated, and then reads what was shared until then.
BOOST_AUTO_TEST_CASE(aRequestThatHasWaitedUsesTheScopeOfTheNewestConfiguration) {
  for (const std::string tenant : {"alpha", "beta"}) {
    scopes.clear();
    configuration = table(1, {});
    refuseFirst([this] { configuration = table(2, {"beta"}); });
    BOOST_TEST(call(tenant) == 200U);
    BOOST_REQUIRE(scopes.size() == 2U);
    BOOST_TEST(scopes[0] == "w1");
    refuseFirst([] {});
    BOOST_TEST(call(tenant) == 200U);
    BOOST_REQUIRE(scopes.size() == 4U);
    BOOST_TEST(scopes[1] == scopes[3], "as a request that comes after the change");
    BOOST_TEST(scopes[1] != scopes[0]);
  }
}

/// Guards against prompts that an isolated tenant sends to a public route and that lie under the
/// scope which all share.
BOOST_AUTO_TEST_CASE(anIsolatedTenantIsIsolatedOnPublicRoutes) {
  configuration = table(1, {"beta"});
  refuseFirst([] {});
  BOOST_TEST(call("beta") == 200U);
  BOOST_TEST(call("beta", "/model/public/x") == 200U);
  BOOST_TEST(call("alpha") == 200U);
  BOOST_TEST(call("alpha", "/model/public/x") == 200U);
  BOOST_TEST(call("nobody", "/model/public/x") == 200U);
  BOOST_REQUIRE(scopes.size() == 6U);
  BOOST_TEST(scopes[2] == scopes[1], "by the key, whatever the route");
  BOOST_TEST(scopes[3] != scopes[1]);
  BOOST_TEST(scopes[4] == scopes[3]);
  BOOST_TEST(scopes[5] == scopes[3]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace calicodrift::forward
