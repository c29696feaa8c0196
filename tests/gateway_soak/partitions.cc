// Nodes that lose the paths to servers, some or all, while callers, the store and the other nodes
// still reach them, beside all other faults.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

/// A node serves as well as the others so long after the cut.
constexpr Milliseconds kUntilServed{1500};
constexpr std::size_t kJudgedRequests = 100;

/// How the proxy in front of a server treats cut nodes.
std::vector<json::object> cutKinds() {
  return {{{"refuse", true}},
          {{"freeze", true}},
          {{"swallow_requests", true}},
          {{"swallow_answers", true}}};
}

}  // namespace

awaitable<void> GatewaySoak::setCut(std::vector<const Node*> cutNodes, std::vector<Server*> servers,
                                    json::object kind) {
  json::array sources;
  sources.reserve(cutNodes.size());
  for (const Node* node : cutNodes) {
    sources.push_back(json::value(node->source));
  }
  if (!kind.empty()) {
    kind["only_from"] = sources;
  }
  for (Server* server : servers) {
    co_await setFaults(server->proxy.control, kind);
  }
}

/// Some of the nodes, and often all servers or all but one.
awaitable<void> GatewaySoak::cutSome(Draws draws) {
  std::vector<const Node*> cutNodes;
  cutNodes.reserve(nodes_.size());
  for (const std::unique_ptr<Node>& node : nodes_) {
    if (draws.pick(2) == 0) {
      cutNodes.push_back(node.get());
    }
  }
  std::vector<Server*> servers;
  servers.reserve(servers_.size());
  const bool leavesOne = draws.pick(2) == 0;
  for (const std::unique_ptr<Server>& server : servers_) {
    if (!leavesOne || !servers.empty() || server->service != "llm") {
      servers.push_back(server.get());
    }
  }
  const std::vector<json::object> kinds = cutKinds();
  const json::object& kind = kinds[draws.pick(kinds.size())];
  std::string names;
  for (const Node* node : cutNodes) {
    names += " " + node->name;
  }
  countFault("nodes cut off servers: " + std::string(kind.begin()->key()),
             std::to_string(servers.size()) + " servers," + names);
  std::vector<std::unique_ptr<FaultSpan>> spans;
  spans.reserve(servers.size());
  for (Server* server : servers) {
    spans.push_back(std::make_unique<FaultSpan>(server->pathFaults));
  }
  co_await setCut(cutNodes, servers, kind);
  co_await pause(draws.between(500, 4000));
  co_await setCut({}, servers, {});
  record_.note("end of the cut of" + names);
}

awaitable<void> GatewaySoak::partitionsInSeries(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(200, 2000));
    co_await cutSome(draws.split());
  }
}

/// Sends requests to the node; returns how many were not served.
awaitable<std::size_t> GatewaySoak::countUnserved(const Node& node) {
  std::size_t unserved = 0;
  for (std::size_t number = 0; number < kJudgedRequests; ++number) {
    http::Request request = GatewayFixture::request("/open/a");
    request.headers.set(platform::kRequestId, "judged" + std::to_string(++nextRequest_));
    request.headers.set(platform::kDeadline, "2500");
    http::ExchangeOptions options;
    options.connection = http::ConnectionUse::kFresh;
    options.headerTimeout = Milliseconds(3000);
    const std::string id = request.headers.get(platform::kRequestId);
    const MonotonicTime sent = monotonicNow();
    const Result<http::Response> answer =
        co_await client_.exchange(node.listen, std::move(request), options);
    if (!answer || answer.value().status != 200) {
      ++unserved;
      const auto took = std::chrono::floor<Milliseconds>(monotonicNow() - sent);
      record_.note(id + " at " + node.name + " was not served after " +
                   std::to_string(took.count()) + " ms: " +
                   (answer ? std::to_string(answer.value().status) + " " + answer.value().body
                           : answer.error().detail));
    }
  }
  co_return unserved;
}

awaitable<void> GatewaySoak::judgePartition(json::object kind) {
  std::vector<Server*> servers;
  servers.reserve(servers_.size());
  for (const std::unique_ptr<Server>& server : servers_) {
    servers.push_back(server.get());
  }
  const std::vector<const Node*> cutNodes{nodes_.front().get()};
  const std::string name(kind.begin()->key());
  record_.note("judged cut of " + nodes_.front()->name + ": " + name);
  co_await setCut(cutNodes, servers, std::move(kind));
  co_await pause(kUntilServed);
  const std::size_t unserved = co_await countUnserved(*nodes_.front());
  co_await setCut({}, servers, {});
  // 1 in 100 may fail.
  if (unserved > kJudgedRequests / 100) {
    violate(nodes_.front()->name + ", cut off all servers (" + name + "), did not serve " +
            std::to_string(unserved) + " of " + std::to_string(kJudgedRequests));
  }
  co_await pause(Milliseconds(1000));
}

awaitable<void> GatewaySoak::stormWithPartitions() {
  const MonotonicTime end = monotonicNow() + length_;
  asio::co_spawn(context_, partitionsInSeries(end, schedule_.split()), asio::detached);
  co_await stormAndCalm();
  // Beside other faults a partition cannot be judged: these come when all have ended.
  co_await pause(kLongestFault);
  co_await recover();
  co_await pause(kSettle);
  for (const json::object& kind : cutKinds()) {
    co_await judgePartition(kind);
  }
}

}  // namespace calicodrift::testing
