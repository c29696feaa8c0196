// Nodes that stand still, or lose the store, while servers of a new software version join. Callers
// whose streams break come back at any node, those that are out of step included.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

/// Until streams of a version that has left no longer count, by the nodes' settings.
constexpr int kOneVersionMs = 11'000;
constexpr Milliseconds kDrains{1500};

}  // namespace

awaitable<void> GatewaySoak::stormOutOfStep() {
  const MonotonicTime end = monotonicNow() + length_;
  asio::co_spawn(context_, streamsWithReturns(), asio::detached);
  asio::co_spawn(context_, killSomeBesideReleases(end, schedule_.split()), asio::detached);
  co_await releaseBesideNodesOutOfStep(end, schedule_.split());
}

/// Spells with one version, and releases at the beginning of which some nodes are out of step.
awaitable<void> GatewaySoak::releaseBesideNodesOutOfStep(MonotonicTime end, Draws draws) {
  unsigned minor = 0;
  while (monotonicNow() < end) {
    co_await pause(draws.between(kOneVersionMs, kOneVersionMs + 1500));
    const std::size_t struck = 1 + draws.pick(2);
    for (std::size_t number = 0; number < struck; ++number) {
      Node& node = *nodes_[draws.pick(nodes_.size())];
      asio::co_spawn(context_, putOutOfStep(node, draws.split()), asio::detached);
    }
    co_await pause(draws.between(200, 2000));
    countFault("version joins");
    const std::string former = minor == 0 ? "v1" : "v1." + std::to_string(minor);
    const std::string joining = "v1." + std::to_string(++minor);
    addVersion(joining);
    co_await pause(draws.between(500, 5000));
    // Either the new version stays, or the former one does.
    const bool withdrawn = draws.pick(3) == 0;
    co_await leaveAll(serversOf("llm", withdrawn ? joining : former), draws.pick(2) == 0);
    minor -= withdrawn ? 1 : 0;
  }
}

awaitable<void> GatewaySoak::leaveAll(std::vector<Server*> leaving, bool drains) {
  for (Server* server : leaving) {
    server->state = "draining";
    if (drains) {
      publish(*server);
    }
  }
  co_await pause(drains ? kDrains : Milliseconds(0));
  for (Server* server : leaving) {
    co_await stopServer(*server);
  }
}

/// The node stands still, or no answer of the store reaches it.
awaitable<void> GatewaySoak::putOutOfStep(Node& node, Draws draws) {
  if (node.stopping) {
    co_return;
  }
  const FaultSpan span(node.faults);
  const Milliseconds time = draws.between(500, 6000);
  if (draws.pick(2) == 0) {
    countFault("node paused", node.name);
    node.stopping = true;
    node.process->signal(SIGSTOP);
    co_await pause(time);
    node.process->signal(SIGCONT);
    node.stopping = false;
    co_return;
  }
  countFault("node cut off the store", node.name);
  const json::object none;
  json::object frozen;
  frozen["freeze"] = true;
  co_await setFaults(node.store.control, frozen);
  co_await pause(time);
  co_await setFaults(node.store.control, none);
}

/// Callers of the streams that break come back at other nodes.
awaitable<void> GatewaySoak::killSomeBesideReleases(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(1500, 4000));
    Node& node = *nodes_[draws.pick(nodes_.size())];
    if (!node.stopping) {
      countFault("node killed", node.name);
      node.stopping = true;
      co_await killOne(node, draws.between(100, 600));
    }
  }
}

}  // namespace calicodrift::testing
