// Servers that start again under their id at the same address: empty, with counts from 0 and maybe
// other weights, at any moment and also twice within a second. What a server keeps is modelled by
// the weights that made it, so that a run on what was lost or on other weights shows.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

/// One move in so many is struck by a new start of its source.
constexpr std::size_t kMovesARestart = 60;
constexpr Milliseconds kPoll{20};
/// How long a restart waits for an order to be under way.
constexpr Milliseconds kPatience{3000};
constexpr std::size_t kSharedPrompts = 6;

}  // namespace

/// Shared parts that are moved between servers, then one of the request's own.
void GatewaySoak::drawPrompt(http::Request& request) {
  request.headers.set(platform::kPromptPrefix, "aa:400,b" + std::to_string(pick(kSharedPrompts)) +
                                                   ":400,c" + std::to_string(nextRequest_) +
                                                   ":100");
}

/// Those that another request may have as well.
std::vector<GatewaySoak::Part> GatewaySoak::sharedPartsOf(const http::Request& request) {
  const std::string scope = request.headers.get(platform::kCacheSalt);
  std::istringstream text(request.headers.get(platform::kPromptPrefix));
  std::vector<Part> parts;
  for (std::string part; std::getline(text, part, ',');) {
    parts.emplace_back(scope, part);
  }
  if (!parts.empty()) {
    parts.pop_back();
  }
  return parts;
}

/// Takes over what the server that the request names keeps now. What it has lost is a miss.
awaitable<void> GatewaySoak::fetchMemory(Server& server, const http::Request& request) {
  const std::string address = request.headers.get(platform::kFetchCache);
  const auto found = std::find_if(servers_.begin(), servers_.end(), [&](const auto& candidate) {
    return candidate->proxy.endpoint.toString() == address;
  });
  if (address.empty() || found == servers_.end()) {
    co_return;
  }
  Server& source = **found;
  const unsigned start = source.server->starts();
  if (plot_ == SoakPlot::kRestarts && pick(kMovesARestart) == 0) {
    asio::co_spawn(context_, restartServer(source, random_.split()), asio::detached);
  }
  co_await pause(between(1, 20));
  if (source.down || source.server->starts() != start) {
    countFault("move of cache cut");
    co_return;
  }
  countFault("cache moved");
  for (const Part& part : sharedPartsOf(request)) {
    const auto kept = source.memory.find(part);
    if (kept != source.memory.end()) {
      server.memory.insert(*kept);
    } else if (!source.asked.contains(part)) {
      judgeMiss(source, request, part);
    }
  }
}

/// Nobody sent the part to the source since it has been empty: a node asks for it on the ground of
/// what the source had before.
void GatewaySoak::judgeMiss(const Server& source, const http::Request& request, const Part& part) {
  countFault("cache missed at its source");
  const std::string id = request.headers.get(platform::kRequestId);
  if (monotonicNow() - source.emptyToldAt > kSettle && sentCalmly(id)) {
    violate(id + " asks " + source.server->id() + " for " + part.second + " under " + part.first +
            ", which was lost before its entry told of start " +
            std::to_string(source.server->starts()));
  }
}

/// What the run reads must have been made with the weights that it runs on. As moves don't check
/// that, runs on different weights must never share a scope either.
void GatewaySoak::useMemory(Server& server, const http::Request& request) {
  const std::uint64_t weights = server.server->weights();
  const std::string scope = request.headers.get(platform::kCacheSalt);
  const std::uint64_t others = scopeWeights_.emplace(scope, weights).first->second;
  if (others != weights) {
    violate(request.headers.get(platform::kRequestId) + " runs at " + server.server->id() +
            " on weights " + std::to_string(weights) + " under scope " + scope + " of weights " +
            std::to_string(others));
  }
  for (const Part& part : sharedPartsOf(request)) {
    const auto [kept, made] = server.memory.emplace(part, weights);
    if (!made && kept->second != weights) {
      violate(request.headers.get(platform::kRequestId) + " runs at " + server.server->id() +
              " on weights " + std::to_string(weights) + " with " + part.second + " that " +
              std::to_string(kept->second) + " made");
    }
  }
}

void GatewaySoak::emptyMemory(Server& server) {
  server.memory.clear();
  server.asked.clear();
  server.emptyToldAt = monotonicNow();
}

awaitable<void> GatewaySoak::restartServers(MonotonicTime end, Draws draws) {
  while (monotonicNow() < end) {
    co_await pause(draws.between(400, 2500));
    Server& server = *servers_[draws.pick(servers_.size())];
    if (server.stopped) {
      continue;
    }
    const bool duringOrder = server.hasModel && draws.pick(3) == 0;
    const MonotonicTime latest = monotonicNow() + kPatience;
    while (duringOrder && !server.server->busy() && monotonicNow() < latest) {
      co_await pause(kPoll);
    }
    asio::co_spawn(context_, restartServer(server, draws.split()), asio::detached);
  }
}

/// The process ends and starts again, at times once more at once. Its entry tells it with delay.
awaitable<void> GatewaySoak::restartServer(Server& server, Draws draws) {
  if (server.down || server.stopped) {
    co_return;
  }
  server.down = true;
  const std::size_t starts = draws.pick(3) == 0 ? 2 : 1;
  for (std::size_t number = 0; number < starts; ++number) {
    countFault(server.server->busy() ? "server started again, in an order"
                                     : "server started again");
    server.server->restart({weightsAtStart(server, draws)});
    server.server->lateOrdersOutliveRestart = draws.pick(2) == 0;
    emptyMemory(server);
    json::object refuse;
    refuse["refuse"] = true;
    co_await setFaults(server.proxy.control, refuse);
    co_await pause(draws.between(30, 300));
    if (server.stopped) {
      co_return;
    }
    const json::object none;
    co_await setFaults(server.proxy.control, none);
    co_await pause(draws.between(0, 600));
  }
  server.down = false;
  server.upSince = monotonicNow();
  publish(server);
  server.emptyToldAt = monotonicNow();
}

/// Those that it had, the newest, or older ones.
std::uint64_t GatewaySoak::weightsAtStart(const Server& server, Draws& draws) const {
  const std::uint64_t had = server.server->weights();
  switch (draws.pick(3)) {
    case 0:
      return had;
    case 1:
      return weights_;
    default:
      return had - std::min<std::uint64_t>(had - 1, 1 + draws.pick(2));
  }
}

/// No order rests on a count that only an earlier start had, once the entry of the new one has
/// been written for some time.
awaitable<void> GatewaySoak::watchOrders() {
  std::map<const Server*, std::size_t> seen;
  while (!ended_) {
    co_await pause(kPoll);
    for (const std::unique_ptr<Server>& server : servers_) {
      const std::vector<json::value>& orders = server->server->orders();
      for (std::size_t& next = seen[server.get()]; next < orders.size(); ++next) {
        const auto expected = orders[next].at("expected").to_number<std::uint64_t>();
        const std::optional<MonotonicTime> storeCalm = storeFaults_.calmSince();
        const bool settled = storeCalm && *storeCalm <= monotonicNow() && !server->down &&
                             monotonicNow() - server->emptyToldAt > kSettle;
        if (settled && expected > server->server->orderCount()) {
          violate("an order to " + server->server->id() + " expects count " +
                  std::to_string(expected) + "; its start " +
                  std::to_string(server->server->starts()) + " took " +
                  std::to_string(server->server->orderCount()));
        }
      }
    }
  }
}

}  // namespace calicodrift::testing
