// Orders in series to move services to other versions, good and bad, beside the soak's other
// faults: the operator's side of them, and what bad versions do.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

constexpr std::size_t kServersAVersion = 3;
/// After the deadline until an order that has not ended is withdrawn.
constexpr Milliseconds kPatience{15'000};
constexpr Milliseconds kPoll{10};
/// Servers that leave go on for so long after they have said so.
constexpr Milliseconds kLeaving{1500};

}  // namespace

/// Draws how the next version behaves. Half of them are good.
GatewaySoak::Behaviour GatewaySoak::drawBehaviour() {
  Behaviour drawn;
  if (pick(2) == 0) {
    return drawn;
  }
  constexpr double kShares[] = {0.3, 0.6, 1.0};
  drawn.badShare = kShares[pick(3)];
  drawn.slow = pick(2) == 0;
  drawn.badAfter = pick(3) == 0 ? between(1500, 5000) : Milliseconds(0);
  drawn.onlyUnderLoad = pick(6) == 0;
  drawn.onOneRoute = pick(4) == 0;
  return drawn;
}

/// Whether this run is one of the version's bad ones.
bool GatewaySoak::runsBadly(const Server& server, const http::Request& request) {
  const Behaviour& behaviour = server.behaviour;
  if (behaviour.badShare == 0 || monotonicNow() < server.startedAt + behaviour.badAfter) {
    return false;
  }
  if (behaviour.onlyUnderLoad && server.running.size() < 2) {
    return false;
  }
  const bool firstRoute =
      request.path().starts_with("/safe") || request.path().starts_with("/stream/");
  if (behaviour.onOneRoute && !firstRoute) {
    return false;
  }
  constexpr std::size_t kPercent = 100;
  return static_cast<double>(pick(kPercent)) < behaviour.badShare * kPercent;
}

bool GatewaySoak::sentCalmly(const std::string& request) const {
  const auto sending = sendings_.find(request);
  const std::optional<MonotonicTime> storeCalm = storeFaults_.calmSince();
  if (sending == sendings_.end() || !storeCalm) {
    return false;
  }
  const std::optional<MonotonicTime> nodeCalm = sending->second.node->faults.calmSince();
  const MonotonicTime now = monotonicNow();
  return nodeCalm && *nodeCalm <= now && *storeCalm <= now;
}

std::vector<GatewaySoak::Server*> GatewaySoak::serversOf(const std::string& service,
                                                         const std::string& version) {
  std::vector<Server*> found;
  for (const std::unique_ptr<Server>& server : servers_) {
    if (server->service == service && server->version == version && !server->stopped) {
      found.push_back(server.get());
    }
  }
  return found;
}

/// The server's process ends at once, without draining.
awaitable<void> GatewaySoak::stopServer(Server& server) {
  server.stopped = true;
  json::object refuse;
  refuse["refuse"] = true;
  co_await setFaults(server.proxy.control, refuse);
  store_.remove("servers", server.server->id());
}

awaitable<void> GatewaySoak::stopAll(std::string service, std::string version, bool drains) {
  const std::vector<Server*> leaving = serversOf(service, version);
  for (Server* server : leaving) {
    server->state = "draining";
    if (drains) {
      publish(*server);
    }
  }
  if (drains) {
    co_await pause(kLeaving);
  }
  for (Server* server : leaving) {
    if (!drains) {
      const auto cut = std::count_if(server->running.begin(), server->running.end(),
                                     [this](const std::string& id) { return sentCalmly(id); });
      rolloutCheck_.onCut(version, static_cast<std::size_t>(cut));
    }
    co_await stopServer(*server);
  }
}

/// Orders one version after the other for the service until the end.
awaitable<void> GatewaySoak::rollOutInSeries(std::string service, MonotonicTime end) {
  std::string stable = "v1";
  for (std::size_t number = 2; monotonicNow() < end; ++number) {
    co_await pause(between(300, 2500));
    const std::string target = "v" + std::to_string(number) + "-" + service;
    const std::string state = co_await rollOut(service, target);
    if (state == "completed") {
      co_await stopAll(service, stable, false);
      stable = target;
    } else {
      co_await stopAll(service, target, true);
    }
  }
}

/// One order, until it has ended or was withdrawn. Gives its last state.
awaitable<std::string> GatewaySoak::rollOut(std::string service, std::string target) {
  constexpr int kDurationsS[] = {8, 12, 20};
  const int seconds = kDurationsS[pick(3)];
  const Behaviour behaviour = drawBehaviour();
  const bool withdrawn = pick(8) == 0;
  const MonotonicTime begin = monotonicNow();
  const MonotonicTime deadline = begin + std::chrono::seconds(seconds);
  const bool badAtOnce =
      behaviour.badShare > 0 && behaviour.badAfter == Milliseconds(0) && !behaviour.onlyUnderLoad;
  countFault("version ordered");
  rolloutCheck_.onOrder(service, target, begin, std::chrono::seconds(seconds),
                        behaviour.badShare > 0, badAtOnce);
  store_.put(
      "rollouts", service,
      json::object{{"service", service}, {"target_version", target}, {"duration_s", seconds}});
  co_await pause(between(0, 1500));
  for (std::size_t number = 0; number < kServersAVersion; ++number) {
    addServer(target + "-" + std::to_string(number), service, service == "llm" ? "m" : "", target,
              behaviour);
  }
  const MonotonicTime withdrawal = withdrawn ? begin + between(1000, 6000) : deadline + kPatience;
  std::string state;
  while (state != "completed" && state != "rolled_back" && monotonicNow() < withdrawal) {
    co_await pause(kPoll);
    const json::value status = store_.statusOf("rollouts", service);
    const bool ours = status.is_object() && status.at("target_version").as_string() == target;
    state = ours ? std::string(status.at("state").as_string()) : "";
  }
  rolloutCheck_.onOutcome(target, state, monotonicNow());
  if (state != "completed" && state != "rolled_back") {
    store_.remove("rollouts", service);
  }
  co_return state;
}

awaitable<void> GatewaySoak::stormWithRollouts() {
  const MonotonicTime end = monotonicNow() + length_;
  asio::co_spawn(context_, rollOutInSeries("app", end), asio::detached);
  asio::co_spawn(context_, rollOutInSeries("llm", end), asio::detached);
  if (schedule_.pick(2) == 0) {
    asio::co_spawn(context_, restartServers(end, schedule_.split()), asio::detached);
  }
  while (monotonicNow() < end) {
    co_await pause(between(400, 1500));
    // The store fails seldom, so that most orders are decided.
    constexpr std::size_t kKinds = 8;
    switch (pick(kKinds)) {
      case 0:
      case 1:
        asio::co_spawn(context_, strikeNode(*nodes_[pick(nodes_.size())]), asio::detached);
        break;
      case 2: {
        Node& node = *nodes_[pick(nodes_.size())];
        asio::co_spawn(
            context_, strikeProxy("path to the store", node.name, node.store.control, storeFaults_),
            asio::detached);
        break;
      }
      case 3:
        asio::co_spawn(context_, strikeStore(), asio::detached);
        break;
      case 4:
        nameWeights();
        break;
      default:
        asio::co_spawn(context_, reloadInSeries(*nodes_[pick(nodes_.size())]), asio::detached);
        break;
    }
  }
  // Orders under way end by themselves, or are withdrawn.
  co_await pause(kPatience + std::chrono::seconds(22));
}

}  // namespace calicodrift::testing
