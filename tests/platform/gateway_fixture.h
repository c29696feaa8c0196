#pragma once

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/bounds.h"
#include "gateway/gateway_node.h"
#include "log/log.h"
#include "names.h"
#include "operator_callers.h"
#include "operator_schema.h"
#include "operator_servers.h"
#include "operator_store.h"
#include "server_stand_in.h"
#include "store_stand_in.h"

namespace calicodrift::testing {

/// A gateway before stand-ins of the platform's store and servers, all on one thread.
class GatewayFixture {
 public:
  using Body = std::function<boost::asio::awaitable<void>()>;

  GatewayFixture() : store(context), client_(context.get_executor()) {
    if (std::getenv("CALICODRIFT_TEST_LOGS") == nullptr) {
      log::silence();
    }
    settings = settings::defaultSettings(gateway::gatewaySettingsTable());
    BOOST_REQUIRE(gateway::applyBounds(settings));
    settings.listen = {"127.0.0.1", 0};
    settings.readyListen = {"127.0.0.1", 0};
    settings.store = store.endpoint();
    settings.configWatch = Milliseconds(100);
    settings.serverWatch = Milliseconds(100);
    settings.weightsWatch = Milliseconds(100);
    settings.drainAccept = Milliseconds(200);
  }

  /// Routes /safe/, /once/ (unsafe), /stream/ (resumable) and /stream-once/ of host "h", all of
  /// tenant "t1" with key "k1" and the given limit; /open/ needs no key.
  static boost::json::value configuration(std::uint64_t version, const std::string& key = "k1",
                                          const boost::json::object& limit = {}) {
    namespace json = boost::json;
    const auto route = [](const std::string& name, const std::string& kind,
                          const std::string& service) {
      return json::object{
          {"name", name},    {"host", "h"},        {"path_prefix", "/" + name + "/"},
          {"kind", kind},    {"timeout_ms", 5000}, {"target_latency_ms", 400},
          {"priority", 0},   {"service", service}, {"max_attempts", 2},
          {"public", false}, {"resumable", false}};
    };
    json::object resumable = route("stream", "streaming", "llm");
    resumable["resumable"] = true;
    json::object open = route("open", "safe", "app");
    open["public"] = true;
    json::object tenant{{"name", "t1"}, {"api_keys", json::array{key}}, {"isolated", false}};
    for (const auto& field : limit) {
      tenant[field.key()] = field.value();
    }
    const json::array services{
        json::object{{"name", "app"}, {"health_path", "/health"}, {"max_connections", 100}},
        json::object{
            {"name", "llm"},
            {"health_path", "/health"},
            {"max_connections", 100},
            {"engine",
             json::object{{"slots", 8}, {"models", json::array{json::object{{"name", "m"}}}}}}}};
    return json::object{
        {"version", version},
        {"routes", json::array{route("safe", "safe", "app"), route("once", "unsafe", "app"),
                               resumable, route("stream-once", "streaming", "llm"), open}},
        {"services", services},
        {"limits", json::object{}},
        {"tenants", json::array{tenant}}};
  }

  ServerStandIn& addServer(const std::string& id, const std::string& service,
                           const std::string& model = "", const std::string& version = "v1") {
    servers.push_back(std::make_unique<ServerStandIn>(context, id, service, model, version));
    ServerStandIn& server = *servers.back();
    store.put("servers", id, server.entry());
    server.onLoaded([this, &server] { store.put("servers", server.id(), server.entry()); });
    return server;
  }

  /// Starts the gateway, waits until it is ready, and runs the body to its end.
  void run(Body body) {
    start();
    bool finished = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          co_await waitUntil([this] { return node->ready(); });
          co_await body();
        },
        [&](const std::exception_ptr& failure) {
          finished = failure == nullptr;
          context.stop();
        });
    context.run_for(std::chrono::seconds(30));
    BOOST_TEST(finished, "the body did not end in time");
  }

  void start() {
    ports_ = std::make_unique<platform::OperatorStore>(client_, settings.store);
    node = std::make_unique<gateway::GatewayNode>(
        context, client_, gateway::GatewayPorts{*ports_, schema_, callers_, servers_}, settings);
    BOOST_REQUIRE(node->start());
  }

  /// Waits for the condition, 10 s at most.
  boost::asio::awaitable<void> waitUntil(std::function<bool()> condition) {
    boost::asio::steady_timer timer(context);
    const MonotonicTime end = monotonicNow() + std::chrono::seconds(10);
    while (!condition() && monotonicNow() < end) {
      timer.expires_after(Milliseconds(5));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    BOOST_TEST(condition(), "the condition did not come");
  }

  static http::Request request(const std::string& path, const std::string& key = "k1") {
    static unsigned number = 0;
    http::Request request;
    request.target = path;
    request.headers.set("Host", "h");
    request.headers.set(platform::kRequestId, "r" + std::to_string(++number));
    request.headers.set(platform::kDeadline, "4000");
    request.headers.set(platform::kKey, key);
    return request;
  }
  static http::Request modelRequest(const std::string& path) {
    http::Request made = request(path);
    made.method = "POST";
    made.body = "prompt";
    made.headers.set(platform::kModel, "m");
    made.headers.set(platform::kTokenUsage, "900,20");
    made.headers.set(platform::kPromptPrefix, "aa:600,bb:300");
    return made;
  }

  boost::asio::awaitable<Result<http::Response>> call(http::Request message) {
    const http::ExchangeOptions options;
    co_return co_await caller_.exchange(node->endpoint(), std::move(message), options);
  }

  boost::asio::io_context context;
  StoreStandIn store;
  std::vector<std::unique_ptr<ServerStandIn>> servers;
  gateway::GatewaySettings settings;
  std::unique_ptr<gateway::GatewayNode> node;

 private:
  http::Client client_;
  http::Client caller_{context.get_executor()};
  std::unique_ptr<platform::OperatorStore> ports_;
  platform::OperatorSchema schema_;
  platform::OperatorCallers callers_;
  platform::OperatorServers servers_;
};

}  // namespace calicodrift::testing
