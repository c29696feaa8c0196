// The gateway processes: their start, the signals that strike them, and their recovery.

#include <cstdlib>
#include <fstream>

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;
/// After the last fault, until every node is ready.
constexpr Milliseconds kRecovery{12'000};

/// Nodes with odd numbers run the gateway of the folder SOAK_OTHER_BIN, if it is given, so that the
/// fleet is one of two builds.
std::string programOf(const std::string& node) {
  const std::string program = "calicodrift-gateway";
  const char* other = std::getenv("SOAK_OTHER_BIN");
  const bool odd = (node.back() - '0') % 2 == 1;
  return other != nullptr && odd ? std::string(other) + "/" + program : program;
}

}  // namespace

void GatewaySoak::addNode(const std::string& name) {
  auto node = std::make_unique<Node>();
  node->name = name;
  node->listen = ports_.reserve();
  node->ready = ports_.reserve();
  constexpr std::size_t kFirstSource = 11;
  node->source = "127.0.0." + std::to_string(kFirstSource + nodes_.size());
  node->store = makeProxy(store_.endpoint());
  node->settings = (record_.folder() / (name + ".json")).string();
  std::ofstream(node->settings) << json::serialize(
      json::object{{"node-id", name},
                   {"zone", "z1"},
                   {"listen", node->listen.toString()},
                   {"ready-listen", node->ready.toString()},
                   {"relay-listen", ports_.reserve().toString()},
                   {"source-address", node->source},
                   {"limit-window-s", "4"},
                   {"limit-overshoot", "0.1"},
                   {"limit-slack", "30000"},
                   {"stream-life-ms", std::to_string(streamLife().count())},
                   {"weights-bound-ms", std::to_string(weightsBound().count())},
                   {"rollout-exposure-share", exposureShare()},
                   {"rollout-exposure-slack", std::to_string(rolloutBounds_.exposureSlack)},
                   {"store", node->store.endpoint.toString()}});
  startNode(*node);
  nodes_.push_back(std::move(node));
}

/// Short where spells with one version alternate with releases.
Milliseconds GatewaySoak::streamLife() const {
  return plot_ == SoakPlot::kOutOfStep ? Milliseconds(4500) : Milliseconds(30'000);
}

/// 0 where the run holds no orders, as versions are then not told apart.
std::string GatewaySoak::exposureShare() const {
  return plot_ == SoakPlot::kRollouts ? std::to_string(rolloutBounds_.exposureShare) : "0";
}

void GatewaySoak::startNode(Node& node) {
  record_.note("starts " + node.name);
  node.process = std::make_unique<Process>(programOf(node.name),
                                           std::vector<std::string>{"--settings", node.settings},
                                           record_.logOf(node.name));
  node.stopping = false;
  node.told = false;
  node.startedAt = monotonicNow();
}

awaitable<void> GatewaySoak::strikeNode(Node& node) {
  if (node.stopping) {
    co_return;
  }
  node.stopping = true;
  const FaultSpan span(node.faults);
  switch (pick(3)) {
    case 0:
      countFault("node killed", node.name);
      co_await killInSeries(node, random_.split());
      break;
    case 1:
      countFault("node paused", node.name);
      node.process->signal(SIGSTOP);
      co_await pause(between(200, 2500));
      node.process->signal(SIGCONT);
      node.stopping = false;
      break;
    default:
      countFault("node stopped", node.name);
      co_await stopInTime(node);
      break;
  }
}

/// A process that has ended before is told, as it would else be taken for killed.
void GatewaySoak::killNode(Node& node) {
  if (node.process->running()) {
    silences_.nodeKilled(node.name, monotonicNow());
    node.process->killAtOnce();
  } else if (!node.told) {
    violate(node.name + " ended by itself with code " + std::to_string(node.process->wait()));
  }
  node.told = true;
}

/// Each time while the node may still be starting.
awaitable<void> GatewaySoak::killInSeries(Node& node, Draws draws) {
  constexpr std::size_t kMostKills = 3;
  const std::size_t kills = 1 + draws.pick(kMostKills);
  for (std::size_t number = 0; number < kills; ++number) {
    const Milliseconds next = draws.between(0, 600);
    if (number > 0) {
      node.stopping = true;
      co_await pause(next);
    }
    killNode(node);
    co_await pause(draws.between(50, 400));
    startNode(node);
  }
}

/// A planned stop, with a second signal while it goes on.
awaitable<void> GatewaySoak::stopInTime(Node& node) {
  constexpr int kTimeMs = 8500;
  const Milliseconds second = between(0, 3000);
  node.told = true;
  node.process->signal(SIGTERM);
  co_await pause(second);
  if (node.process->running()) {
    node.process->signal(pick(2) == 0 ? SIGTERM : SIGHUP);
  }
  co_await pause(Milliseconds(kTimeMs) - second);
  if (node.process->running()) {
    violate(node.name + " did not stop in time");
    node.process->killAtOnce();
  }
  startNode(node);
}

/// Signals to read the settings anew. To nodes that run only: one that starts has no handler yet.
awaitable<void> GatewaySoak::reloadInSeries(Node& node) {
  constexpr std::size_t kMostReloads = 4;
  const std::size_t reloads = 1 + pick(kMostReloads);
  countFault("node told to reload", node.name);
  for (std::size_t number = 0; number < reloads; ++number) {
    const std::optional<MonotonicTime> calmSince = node.faults.calmSince();
    if (calmSince && *calmSince <= monotonicNow()) {
      node.process->signal(SIGHUP);
    }
    co_await pause(between(0, 200));
  }
}

/// After the last fault every node serves again in time.
awaitable<void> GatewaySoak::recover() {
  const MonotonicTime begin = monotonicNow();
  for (const std::unique_ptr<Node>& node : nodes_) {
    bool ready = false;
    // Asked once even where another node has used up the time.
    do {
      http::Request request;
      request.target = "/ready";
      http::ExchangeOptions options;
      options.connection = http::ConnectionUse::kFresh;
      options.headerTimeout = Milliseconds(1000);
      const Result<http::Response> answer =
          co_await client_.exchange(node->ready, std::move(request), options);
      ready = answer && answer.value().status == 200;
      co_await pause(Milliseconds(50));
    } while (!ready && monotonicNow() - begin < kRecovery);
    if (!node->process->running()) {
      violate(node->name + " ended by itself with code " + std::to_string(node->process->wait()));
    } else if (!ready) {
      violate(node->name + " is not ready after the last fault");
    }
  }
}

}  // namespace calicodrift::testing
