// Spells in which the store and all paths to it are left alone, so that the bound on the weights
// with which requests begin holds: weights are named in series, while the servers of the model let
// requests wait and take orders late or not at all.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

/// Storms come so long after each other; the calm spells between them hold several namings with
/// their bounds.
constexpr Milliseconds kStorm{12'000};
constexpr Milliseconds kCalm{20'000};
/// The last faults of a storm end within this time, and then count as settled.
constexpr Milliseconds kStormEnds = Milliseconds(2000) + kSettle;
/// Of a waiting request. About the margin between the term of weights and their bound, which is to
/// cover the waits, and above.
constexpr int kShortestWaitMs = 1500;
constexpr int kLongestWaitMs = 2900;
/// Status for a request that demands other weights than the server has.
constexpr unsigned kOtherWeights = 421;
/// How often a waiting request looks for a reason to end.
constexpr Milliseconds kWaitStep{5};

}  // namespace

json::value GatewaySoak::configuration() {
  constexpr int kPatientTargetMs = 1500;
  json::value made = GatewayFixture::configuration(configVersion_, key_, limit());
  json::array& routes = made.as_object()["routes"].as_array();
  json::object patient;
  json::object last;
  for (const json::value& route : routes) {
    if (route.at("name") == "stream") {
      patient = route.as_object();
    }
    if (route.at("name") == "open") {
      last = route.as_object();
    }
  }
  patient["name"] = "stream-patient";
  patient["path_prefix"] = "/stream-patient/";
  patient["target_latency_ms"] = kPatientTargetMs;
  routes.push_back(patient);
  if (hasLastRoute_) {
    last["name"] = "last";
    last["path_prefix"] = "/last/";
    routes.push_back(last);
  }
  if (plot_ == SoakPlot::kReturns) {
    addIdleRoutes(routes);
  }
  if (plot_ == SoakPlot::kSilences) {
    changeForSilences(made);
  }
  return made;
}

/// Lets the request wait as the server does now. False if it will not begin here.
awaitable<bool> GatewaySoak::waitsToBegin(Server& server, const http::Request& request,
                                          http::ResponseWriter& writer) {
  const std::string expected = request.headers.get(platform::kExpectVersion);
  if (!expected.empty() && expected != std::to_string(server.server->weights())) {
    http::Response answer = ServerStandIn::notExecuted(request);
    answer.status = kOtherWeights;
    co_await http::respond(writer, std::move(answer));
    co_return false;
  }
  for (const Part& part : sharedPartsOf(request)) {
    server.asked.insert(part);
  }
  const unsigned start = server.server->starts();
  const MonotonicTime arrival = monotonicNow();
  co_await fetchMemory(server, request);
  const Milliseconds wait =
      server.letsWait ? between(kShortestWaitMs, kLongestWaitMs) : Milliseconds(0);
  const MonotonicTime deadline =
      arrival + Milliseconds(std::stoll(request.headers.get(platform::kDeadline)));
  const auto refuses = [&] { return server.server->busy() || monotonicNow() >= deadline; };
  while (monotonicNow() < arrival + wait && !writer.callerGone() && !refuses()) {
    co_await pause(kWaitStep);
  }
  if (writer.callerGone() || server.server->starts() != start) {
    co_return false;
  }
  if (refuses()) {
    co_await http::respond(writer, ServerStandIn::notExecuted(request));
    co_return false;
  }
  co_return true;
}

void GatewaySoak::recordBeginning(const Server& server, const std::string& request) {
  const auto sending = sendings_.find(request);
  if (sending == sendings_.end()) {
    violate(request + " began, but was never sent");
    return;
  }
  const Node& node = *sending->second.node;
  Beginning beginning;
  beginning.request = request;
  beginning.server = server.server->id();
  beginning.node = node.name;
  beginning.sentAt = sending->second.at;
  beginning.weights = server.server->weights();
  beginning.at = monotonicNow();
  beginning.storeCalmSince = storeFaults_.calmSince();
  const std::optional<MonotonicTime> nodeCalm = node.faults.calmSince();
  beginning.nodeSettled = nodeCalm && *nodeCalm <= beginning.at;
  beginning.nodeStartedAt = node.startedAt;
  const std::optional<MonotonicTime> pathCalm = server.pathFaults.calmSince();
  beginning.serverPathDisturbed = !pathCalm || *pathCalm > beginning.sentAt;
  weightsCheck_.begun(std::move(beginning));
}

/// The length is that of all storms; a calm spell follows each.
awaitable<void> GatewaySoak::stormAndCalm() {
  const auto storms = std::max<std::int64_t>(1, length_ / kStorm);
  const Milliseconds storm = length_ / storms;
  for (std::int64_t number = 0; number < storms; ++number) {
    const MonotonicTime begin = monotonicNow();
    // In the middle of the run, and so that its end leaves time to use the key.
    const MonotonicTime withdrawal =
        number == storms / 2 ? begin + storm / 2 - kKeyRevocation / 2 : MonotonicTime::max();
    co_await faults(begin + storm, withdrawal);
    co_await calmStore(monotonicNow() + kCalm);
  }
}

awaitable<void> GatewaySoak::calmStore(MonotonicTime end) {
  asio::co_spawn(context_, nameInSeries(end), asio::detached);
  while (monotonicNow() < end) {
    co_await pause(between(150, 500));
    asio::co_spawn(context_, injectOneButStore(), asio::detached);
  }
}

awaitable<void> GatewaySoak::injectOneButStore() {
  // Few strikes at nodes, so that most are undisturbed for the whole of a bound.
  constexpr std::size_t kKinds = 12;
  switch (pick(kKinds)) {
    case 0:
      co_await strikeNode(*nodes_[pick(nodes_.size())]);
      break;
    case 1:
    case 2:
    case 3: {
      Server& server = *servers_[pick(servers_.size())];
      co_await strikeProxy("server", server.server->id(), server.proxy.control, server.pathFaults);
      break;
    }
    case 4:
      co_await changeConfigurationInSeries();
      break;
    case 5:
      co_await reloadInSeries(*nodes_[pick(nodes_.size())]);
      break;
    default:
      break;
  }
}

awaitable<void> GatewaySoak::changeConfigurationInSeries() {
  constexpr std::size_t kMostInSeries = 3;
  const std::size_t changes = 1 + pick(kMostInSeries);
  for (std::size_t number = 0; number < changes; ++number) {
    countFault("configuration changed");
    ++configVersion_;
    store_.put("config", "main", configuration());
    co_await pause(between(20, 300));
  }
}

awaitable<void> GatewaySoak::nameInSeries(MonotonicTime end) {
  constexpr std::size_t kMostInSeries = 3;
  co_await pause(kStormEnds);
  while (monotonicNow() < end) {
    troubleModelServers();
    const std::size_t namings = 1 + pick(kMostInSeries);
    for (std::size_t number = 0; number < namings; ++number) {
      co_await pause(between(100, 1200));
      nameWeights();
    }
    co_await pause(weightsBound() + between(500, 2000));
  }
}

void GatewaySoak::nameWeights() {
  countFault("weights named", std::to_string(weights_ + 1));
  ++weights_;
  putNaming();
  weightsCheck_.named(weights_, monotonicNow());
}

void GatewaySoak::putNaming() {
  store_.put("versions", "m", json::object{{"model", "m"}, {"version", weights_}});
}

/// Draws for each server of the model whether it takes orders badly, and when it lets requests
/// wait. Often all do at once, so that no server has the newer weights for the term of the older.
void GatewaySoak::troubleModelServers() {
  const bool allTroubled = pick(4) > 0;
  const bool allWait = pick(4) > 0;
  const Milliseconds waitsAfter = between(500, 2000);
  for (const std::unique_ptr<Server>& server : servers_) {
    if (!server->hasModel) {
      continue;
    }
    if (allTroubled || pick(2) == 0) {
      asio::co_spawn(context_, troubleOrders(*server, between(3000, 7000), random_.split()),
                     asio::detached);
    }
    if (allWait || pick(3) == 0) {
      asio::co_spawn(context_, letWait(*server, waitsAfter, between(1500, 5000)), asio::detached);
    }
  }
}

awaitable<void> GatewaySoak::troubleOrders(Server& server, Milliseconds length, Draws draws) {
  ServerStandIn& standIn = *server.server;
  if (draws.pick(2) == 0) {
    countFault("orders ignored");
    standIn.ignoresOrders = true;
  } else {
    countFault("orders late");
    standIn.ordersLateBy = draws.between(500, 6000);
  }
  co_await pause(length);
  standIn.ignoresOrders = false;
  standIn.ordersLateBy.reset();
}

awaitable<void> GatewaySoak::letWait(Server& server, Milliseconds after, Milliseconds length) {
  co_await pause(after);
  countFault("requests wait");
  server.letsWait = true;
  co_await pause(length);
  server.letsWait = false;
}

}  // namespace calicodrift::testing
