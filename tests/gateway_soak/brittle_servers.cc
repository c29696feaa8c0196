// Servers that bear few refusals, in spells: their room shrinks some seconds after they have said
// so, callers ask for three times of it, and herds of nodes are killed. A server that has to refuse
// more in a second falls, and comes back empty. Judged from the servers' side.

#include <algorithm>

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

/// The service, and what each of its servers runs at a time.
constexpr std::string_view kService = "app";
constexpr std::size_t kSlots = 3;
constexpr Milliseconds kWork{200};
constexpr std::size_t kDemand = 3;
/// Before the room shrinks.
constexpr std::size_t kRoomBefore = 5 * kSlots;
/// The platform's bounds: from the first answer that says so until the room shrinks, and what the
/// servers of a service may fall in a spell beside a tenth of their number.
constexpr Milliseconds kUntilShrunk{4000};
constexpr std::size_t kAllowedFalls = 2;
constexpr std::size_t kAllowedPart = 10;
constexpr Milliseconds kLookInterval{5};

/// Refusals of the server within the last second, from `since` on.
std::size_t refusedLately(const ServerStandIn& server, MonotonicTime since) {
  const std::vector<MonotonicTime>& times = server.crowdedTimes();
  const MonotonicTime first = std::max(since, monotonicNow() - std::chrono::seconds(1));
  const auto begin = std::upper_bound(times.begin(), times.end(), first);
  return static_cast<std::size_t>(times.end() - begin);
}

}  // namespace

awaitable<void> GatewaySoak::runForFixedTime(Server& server, const http::Request& request,
                                             http::ResponseWriter& writer) {
  const std::string id = request.headers.get(platform::kRequestId);
  const unsigned start = server.server->starts();
  ++runs_[id];
  co_await pause(kWork);
  if (server.server->starts() == start) {
    co_await http::respond(writer, ServerStandIn::sealed(request, 200, "run " + id));
  }
}

awaitable<void> GatewaySoak::callOnce() {
  ++outstanding_;
  ++findings_.requests;
  const std::string id = "q" + std::to_string(++nextRequest_);
  http::Request request = GatewayFixture::request("/safe/a");
  request.headers.set(platform::kRequestId, id);
  request.headers.set(platform::kDeadline, "2500");
  const Node& node = *nodes_[pick(nodes_.size())];
  sendings_[id] = {&node, monotonicNow()};
  const Endpoint target = node.listen;
  http::ExchangeOptions options;
  options.connection = http::ConnectionUse::kFresh;
  options.connectTimeout = Milliseconds(500);
  options.headerTimeout = Milliseconds(3000);
  options.bodyTimeout = options.headerTimeout;
  const Result<http::Response> answer =
      co_await client_.exchange(target, std::move(request), options);
  findings_.served += answer && answer.value().status == 200 ? 1 : 0;
  --outstanding_;
}

awaitable<void> GatewaySoak::callersBesideBrittleServers() {
  const std::size_t servers = serversOf(std::string(kService), "v1").size();
  const Milliseconds gap = kWork / static_cast<int>(kDemand * kSlots * servers);
  while (!ended_) {
    asio::co_spawn(context_, callOnce(), asio::detached);
    co_await pause(gap);
  }
}

/// Ends the server where it has to refuse more than it bears. It is back some seconds later.
awaitable<void> GatewaySoak::fallWhenRefusing(Server& server, std::size_t bears, Draws draws) {
  const unsigned spell = spell_;
  const MonotonicTime begin = monotonicNow();
  while (spell == spell_) {
    co_await pause(kLookInterval);
    if (refusedLately(*server.server, begin) <= bears || server.down) {
      continue;
    }
    ++falls_;
    countFault("server fell", server.server->id());
    server.down = true;
    server.server->restart({});
    json::object refuses;
    refuses["refuse"] = true;
    co_await setFaults(server.proxy.control, refuses);
    co_await pause(draws.between(1500, 4000));
    const json::object none;
    co_await setFaults(server.proxy.control, none);
    server.down = false;
    publish(server);
  }
}

/// One time in which the servers say that they bear few refusals.
awaitable<void> GatewaySoak::brittleSpell(Draws draws) {
  const std::vector<std::size_t> limits{1, 2, 3, 5, 10};
  const std::size_t bears = limits[draws.pick(limits.size())];
  const std::vector<Server*> servers = serversOf(std::string(kService), "v1");
  ++spell_;
  falls_ = 0;
  countFault("spell of brittle servers", std::to_string(bears));
  for (Server* server : servers) {
    server->server->namedBrittleness = std::to_string(bears);
  }
  co_await pause(kUntilShrunk);
  const std::size_t waiting = draws.pick(3);
  for (Server* server : servers) {
    server->server->room = kSlots + waiting;
    asio::co_spawn(context_, fallWhenRefusing(*server, bears, draws.split()), asio::detached);
  }
  co_await pause(draws.between(6000, 9000));
  ++spell_;
  for (Server* server : servers) {
    server->server->namedBrittleness.reset();
    server->server->room = kRoomBefore;
  }
  ++findings_.judgedSpells;
  if (falls_ > kAllowedFalls + servers.size() / kAllowedPart) {
    violate(std::to_string(falls_) + " falls of " + std::to_string(servers.size()) +
            " servers that bear " + std::to_string(bears) + " refusals a second");
  }
}

/// Kills all nodes, so that none knows of the spell.
awaitable<void> GatewaySoak::killAllNodes(MonotonicTime end, Draws draws) {
  co_await pause(draws.between(7000, 20'000));
  if (monotonicNow() > end) {
    co_return;
  }
  countFault("all nodes killed");
  for (const std::unique_ptr<Node>& node : nodes_) {
    if (!node->stopping) {
      node->stopping = true;
      asio::co_spawn(context_, killOne(*node, draws.between(100, 600)), asio::detached);
    }
  }
}

awaitable<void> GatewaySoak::stormWithBrittleServers() {
  const MonotonicTime end = monotonicNow() + length_;
  for (Server* server : serversOf(std::string(kService), "v1")) {
    server->server->slots = kSlots;
    server->server->room = kRoomBefore;
    publish(*server);
  }
  asio::co_spawn(context_, killHerds(end, schedule_.split()), asio::detached);
  asio::co_spawn(context_, killAllNodes(end, schedule_.split()), asio::detached);
  while (monotonicNow() < end) {
    co_await brittleSpell(schedule_.split());
    co_await pause(schedule_.between(500, 2000));
  }
}

}  // namespace calicodrift::testing
