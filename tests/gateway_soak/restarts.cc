// Weights named in a row beside restarts of nodes in series. Each naming but the first comes soon
// after the term of the one before has run out, while servers take orders late or not at all, so
// that they hold several versions at once; near the last one nodes are killed and stopped.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// What a node's settings leave of the bound on weights for requests that are under way when the
/// term ends, as gateway::applyBounds derives it.
constexpr Milliseconds kTermMargin{2000};
/// Orders go wrong from so long before a naming, for the loader must not be quicker.
constexpr Milliseconds kTroubleBefore{500};
constexpr Milliseconds kPoll{20};
/// A planned stop must have ended by then.
constexpr Milliseconds kStopTime{8500};

}  // namespace

Milliseconds GatewaySoak::weightsBound() const {
  return plot_ == SoakPlot::kRestarts ? kLongWeightsBound : kWeightsBound;
}

awaitable<void> GatewaySoak::restartsBesideNamings() {
  // The store counts as undisturbed from then on.
  co_await pause(kSettle);
  const MonotonicTime end = monotonicNow() + length_;
  asio::co_spawn(context_, changesMeanwhile(end, schedule_.split()), asio::detached);
  // Neither, the one or the other, or both.
  const std::size_t beside = schedule_.pick(4);
  if ((beside & 1U) != 0) {
    asio::co_spawn(context_, restartServers(end, schedule_.split()), asio::detached);
  }
  if ((beside & 2U) != 0) {
    asio::co_spawn(context_, writeForeignEntries(end, schedule_.split()), asio::detached);
    // By a copy, as what follows keeps the course that kept seeds have.
    asio::co_spawn(context_, spoilNamings(end, Draws(schedule_)), asio::detached);
  }
  while (monotonicNow() < end) {
    co_await nameInARow(schedule_.split());
  }
}

awaitable<void> GatewaySoak::nameInARow(Draws draws) {
  const Milliseconds term = weightsBound() - kTermMargin;
  const std::size_t namings = 2 + draws.pick(2);
  std::vector<Milliseconds> gaps;
  Milliseconds length = kTroubleBefore + weightsBound();
  for (std::size_t number = 1; number < namings; ++number) {
    gaps.push_back(term + draws.between(200, 3000));
    length += gaps.back();
  }
  // Else one in five takes its orders well.
  const bool allTroubled = draws.pick(3) > 0;
  for (const std::unique_ptr<Server>& server : servers_) {
    if (server->hasModel && (allTroubled || draws.pick(5) > 0)) {
      asio::co_spawn(context_, troubleOrders(*server, length, draws.split()), asio::detached);
    }
    if (server->hasModel && draws.pick(3) == 0) {
      asio::co_spawn(context_, letWait(*server, length - weightsBound(), weightsBound()),
                     asio::detached);
    }
  }
  co_await pause(kTroubleBefore);
  nameWeights();
  for (std::size_t number = 0; number < gaps.size(); ++number) {
    const bool last = number + 1 == gaps.size();
    if (last || draws.pick(3) == 0) {
      asio::co_spawn(context_, restartNear(gaps[number], draws.split()), asio::detached);
    }
    co_await pause(gaps[number]);
    nameWeights();
  }
  co_await pause(weightsBound() + draws.between(500, 3000));
}

/// One or two series of restarts, from a second before the naming until five seconds after it.
awaitable<void> GatewaySoak::restartNear(Milliseconds naming, Draws draws) {
  const std::size_t series = 1 + draws.pick(2);
  co_await pause(naming - Milliseconds(1000));
  for (std::size_t number = 0; number < series; ++number) {
    co_await pause(draws.between(0, 6000 / static_cast<int>(series)));
    switch (draws.pick(4)) {
      case 0:
        asio::co_spawn(context_, killOneByOne(draws.split()), asio::detached);
        break;
      case 1:
        asio::co_spawn(context_, rollOverAll(draws.split()), asio::detached);
        break;
      default:
        asio::co_spawn(context_, killAllAtOnce(draws.split()), asio::detached);
        break;
    }
  }
}

awaitable<void> GatewaySoak::killOneByOne(Draws draws) {
  const std::size_t kills = 1 + draws.pick(3);
  for (std::size_t number = 0; number < kills; ++number) {
    Node& node = *nodes_[draws.pick(nodes_.size())];
    if (!node.stopping) {
      countFault("node killed", node.name);
      const FaultSpan span(node.faults);
      node.stopping = true;
      co_await killInSeries(node, draws.split());
    }
    co_await pause(draws.between(0, 1000));
  }
}

/// All nodes end within one moment, and start anew each at its own.
awaitable<void> GatewaySoak::killAllAtOnce(Draws draws) {
  countFault("all nodes killed");
  for (const std::unique_ptr<Node>& node : nodes_) {
    // One that stops is killed at that too, and started by who stopped it.
    killNode(*node);
    if (!node->stopping) {
      asio::co_spawn(context_, startAfter(*node, draws.between(50, 800)), asio::detached);
    }
  }
  co_return;
}

awaitable<void> GatewaySoak::startAfter(Node& node, Milliseconds time) {
  const FaultSpan span(node.faults);
  node.stopping = true;
  co_await pause(time);
  startNode(node);
}

/// Planned stops of all nodes, each begun before the one before has come back.
awaitable<void> GatewaySoak::rollOverAll(Draws draws) {
  countFault("all nodes stopped in turn");
  for (const std::unique_ptr<Node>& node : nodes_) {
    if (!node->stopping) {
      asio::co_spawn(context_, stopAndStart(*node), asio::detached);
    }
    co_await pause(draws.between(100, 1200));
  }
}

/// A planned stop; the node starts anew as soon as its process is gone.
awaitable<void> GatewaySoak::stopAndStart(Node& node) {
  const FaultSpan span(node.faults);
  node.stopping = true;
  node.told = true;
  node.process->signal(SIGTERM);
  const MonotonicTime latest = monotonicNow() + kStopTime;
  while (node.process->running() && monotonicNow() < latest) {
    co_await pause(kPoll);
  }
  if (node.process->running()) {
    violate(node.name + " did not stop in time");
    node.process->killAtOnce();
  }
  startNode(node);
}

/// Other changes at any moment, so that they overlap with the restarts.
awaitable<void> GatewaySoak::changesMeanwhile(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(500, 3000));
    if (draws.pick(2) == 0) {
      asio::co_spawn(context_, changeConfigurationInSeries(), asio::detached);
    } else {
      asio::co_spawn(context_, reloadInSeries(*nodes_[draws.pick(nodes_.size())]), asio::detached);
    }
  }
}

}  // namespace calicodrift::testing
