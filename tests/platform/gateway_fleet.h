#pragma once

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway_fixture.h"
#include "support/reserved_ports.h"

namespace calicodrift::testing {

/// Several gateways of one relay group before one store and the same servers, on one thread. A
/// model request whose body begins with kEndsServer, or whose prompt holds a part of
/// `crashingParts`, ends each server that begins it.
class GatewayFleet {
 public:
  static constexpr std::string_view kEndsServer = "ends its server";

  GatewayFleet(std::size_t nodes, std::size_t servers) : store(context) {
    if (std::getenv("CALICODRIFT_TEST_LOGS") == nullptr) {
      log::silence();
    }
    store.put("config", "main", GatewayFixture::configuration(1));
    store.put("versions", "m", boost::json::object{{"model", "m"}, {"version", 1}});
    for (std::size_t number = 0; number < servers; ++number) {
      addServer("llm-" + std::to_string(number), "llm", "m");
    }
    addServer("app", "app", "");
    for (std::size_t number = 0; number < nodes; ++number) {
      addNode("n" + std::to_string(number), "z1");
    }
  }

  /// Of all nodes that have not started yet.
  void changeSettings(const std::function<void(gateway::GatewaySettings&)>& change) {
    for (Node& node : nodes_) {
      change(node.settings);
    }
  }

  /// Starts all nodes, waits until they are ready and know each other, and runs the body.
  void run(std::function<boost::asio::awaitable<void>()> body) {
    for (std::size_t number = 0; number < nodes_.size(); ++number) {
      startNode(number);
    }
    bool finished = false;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
          co_await waitUntil([this] {
            return std::all_of(nodes_.begin(), nodes_.end(),
                               [](const Node& node) { return node.gateway->ready(); });
          });
          // The second root is taken in when the first has lived for a while.
          co_await pause(Milliseconds(1500));
          co_await body();
        },
        [&](const std::exception_ptr& failure) {
          finished = failure == nullptr;
          context.stop();
        });
    context.run_for(std::chrono::seconds(60));
    BOOST_TEST(finished, "the body did not end in time");
  }

  /// Nodes that know nothing of before; of another group, so that they learn nothing from those
  /// that are there either, unless it is the same one.
  boost::asio::awaitable<void> startMore(std::size_t count, std::string group) {
    const std::size_t first = nodes_.size();
    for (std::size_t number = 0; number < count; ++number) {
      addNode("n" + std::to_string(nodes_.size()), group);
      startNode(nodes_.size() - 1);
    }
    co_await waitUntil([this, first] {
      return std::all_of(nodes_.begin() + static_cast<std::ptrdiff_t>(first), nodes_.end(),
                         [](const Node& node) { return node.gateway->ready(); });
    });
  }

  /// Streams of model "m": resumable at /stream/, not so at /stream-once/.
  static http::Request modelRequest(const std::string& path, const std::string& body) {
    http::Request made = GatewayFixture::modelRequest(path);
    made.body = body;
    return made;
  }

  boost::asio::awaitable<Result<http::Response>> exchange(std::size_t node, http::Request message) {
    http::ExchangeOptions options;
    options.connection = http::ConnectionUse::kFresh;
    co_return co_await caller_.exchange(nodes_[node].gateway->endpoint(), std::move(message),
                                        options);
  }
  /// The status of the answer; 0 if there is none.
  boost::asio::awaitable<unsigned> call(std::size_t node, http::Request message) {
    const Result<http::Response> answer = co_await exchange(node, std::move(message));
    co_return answer ? answer.value().status : 0;
  }

  /// What an operator gets from a node.
  boost::asio::awaitable<std::string> askNode(std::size_t node, std::string method,
                                              std::string target) {
    http::Request message;
    message.method = std::move(method);
    message.target = std::move(target);
    const http::ExchangeOptions options;
    const Endpoint endpoint = nodes_[node].settings.metricsListen;
    const Result<http::Response> answer =
        co_await caller_.exchange(endpoint, std::move(message), options);
    co_return answer ? answer.value().body : std::string();
  }

  /// Model servers that have ended.
  std::size_t ended() const {
    return static_cast<std::size_t>(std::count_if(
        servers.begin(), servers.end(), [](const auto& server) { return server->crashed(); }));
  }

  boost::asio::awaitable<void> pause(Milliseconds time) {
    boost::asio::steady_timer timer(context, time);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

  boost::asio::awaitable<void> waitUntil(std::function<bool()> condition) {
    const MonotonicTime end = monotonicNow() + std::chrono::seconds(10);
    while (!condition() && monotonicNow() < end) {
      co_await pause(Milliseconds(5));
    }
    BOOST_TEST(condition(), "the condition did not come");
  }

  /// Adds a server to the list, too.
  ServerStandIn& addServer(const std::string& id, const std::string& service,
                           const std::string& model, const std::string& version = "v1") {
    servers.push_back(std::make_unique<ServerStandIn>(context, id, service, model, version));
    ServerStandIn& server = *servers.back();
    server.setBehaviour(
        [this, &server](const http::Request& request, http::ResponseWriter& writer) {
          return runRequest(server, request, writer);
        });
    store.put("servers", id, server.entry());
    return server;
  }

  std::size_t size() const { return nodes_.size(); }
  gateway::GatewayNode& node(std::size_t number) { return *nodes_[number].gateway; }
  /// Requests that hold one of these parts of a prompt end each server that begins them.
  std::set<std::string> crashingParts;
  /// Whether a server sends the first event of such an answer before it ends.
  bool beginsBeforeCrash = false;
  /// How long servers work on a request.
  Milliseconds workTime{20};
  /// Where a node's connections to an endpoint lead; empty: to the endpoint itself.
  std::function<Endpoint(std::size_t node, const Endpoint&)> addressOf;

  boost::asio::io_context context;
  StoreStandIn store;
  std::vector<std::unique_ptr<ServerStandIn>> servers;

 private:
  struct Node {
    gateway::GatewaySettings settings;
    std::unique_ptr<http::Client> client;
    std::unique_ptr<platform::OperatorStore> store;
    std::unique_ptr<gateway::GatewayNode> gateway;
  };

  bool holdsCrashingPart(const http::Request& request) const {
    // Framed by separators, so that an id isn't found within another one.
    const std::string prompt = "," + request.headers.get(platform::kPromptPrefix);
    return std::any_of(crashingParts.begin(), crashingParts.end(), [&prompt](const auto& part) {
      return prompt.find("," + part + ":") != std::string::npos;
    });
  }

  boost::asio::awaitable<void> runRequest(ServerStandIn& server, const http::Request& request,
                                          http::ResponseWriter& writer) {
    const unsigned start = server.starts();
    co_await pause(workTime);
    const bool crashes = request.body.starts_with(kEndsServer) || holdsCrashingPart(request);
    if (crashes && beginsBeforeCrash && server.starts() == start) {
      co_await ServerStandIn::streamEvents(request, writer, 1, 1);
      co_await pause(Milliseconds(10));
    }
    if (crashes && server.starts() == start) {
      boost::asio::post(context, [&server] { server.crash(); });
      co_await pause(Milliseconds(1));
    }
    if (server.starts() != start) {
      writer.abort();
      co_return;
    }
    if (!request.path().starts_with("/stream")) {
      co_await http::respond(writer, ServerStandIn::sealed(request, 200, "done"));
      co_return;
    }
    co_await ServerStandIn::streamEvents(request, writer, 1, 1);
    const Result<void> finished = co_await writer.endStream();
    static_cast<void>(finished);
  }

  void addNode(const std::string& name, const std::string& group) {
    Node node;
    node.settings = settings::defaultSettings(gateway::gatewaySettingsTable());
    BOOST_REQUIRE(gateway::applyBounds(node.settings));
    node.settings.nodeId = name;
    node.settings.zone = "z1";
    node.settings.relayGroup = group;
    node.settings.metricsListen = ports_.reserve();
    node.settings.listen = {"127.0.0.1", 0};
    node.settings.readyListen = {"127.0.0.1", 0};
    node.settings.relayListen = ports_.reserve();
    node.settings.store = store.endpoint();
    const std::size_t number = nodes_.size();
    http::ClientSettings client;
    client.addressOf = [this, number](const Endpoint& endpoint) {
      return addressOf ? addressOf(number, endpoint) : endpoint;
    };
    node.client = std::make_unique<http::Client>(context.get_executor(), client);
    node.store = std::make_unique<platform::OperatorStore>(*node.client, store.endpoint());
    nodes_.push_back(std::move(node));
  }

  void startNode(std::size_t number) {
    Node& node = nodes_[number];
    node.gateway = std::make_unique<gateway::GatewayNode>(
        context, *node.client, gateway::GatewayPorts{*node.store, schema_, callers_, protocol_},
        node.settings);
    BOOST_REQUIRE(node.gateway->start());
  }

  ReservedPorts ports_{context.get_executor(), kFleetPorts};
  std::vector<Node> nodes_;
  http::Client caller_{context.get_executor()};
  platform::OperatorSchema schema_;
  platform::OperatorCallers callers_;
  platform::OperatorServers protocol_;
};

}  // namespace calicodrift::testing
