// Servers that say in their answers that they leave, and start again, or that refuse and ask for
// rest, one of each service at a time, beside all other faults. The list shows nothing of it.

#include "gateway_soak.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// What the service allows after a node was told that a server leaves.
constexpr Milliseconds kLeavingBound{2000};
/// What it allows after a refusal that asks for rest, and how many requests within the rest.
constexpr Milliseconds kRestBound{500};
constexpr std::size_t kAllowedInRest = 2;

}  // namespace

/// Nothing where the node began anew since the time, or what it sent may have been held up.
const GatewaySoak::Node* GatewaySoak::judgedSender(const std::string& request,
                                                   MonotonicTime since) const {
  const auto sending = sendings_.find(request);
  if (sending == sendings_.end()) {
    return nullptr;
  }
  const Node& node = *sending->second.node;
  const std::optional<MonotonicTime> calmSince = node.faults.calmSince();
  return calmSince && *calmSince <= since && node.startedAt <= since ? &node : nullptr;
}

awaitable<void> GatewaySoak::leaveAndReturn(Server& server, Draws draws) {
  countFault("server said that it leaves");
  const MonotonicTime begin = monotonicNow();
  server.server->leavingNotices = {"1"};
  co_await pause(draws.between(4000, 8000));
  const std::optional<MonotonicTime> pathCalm = server.pathFaults.calmSince();
  if (pathCalm && *pathCalm <= begin) {
    judgeLeaving(server, begin);
  }
  server.server->leavingNotices.clear();
  co_await restartServer(server, draws.split());
}

void GatewaySoak::judgeLeaving(const Server& server, MonotonicTime begin) {
  std::map<const Node*, MonotonicTime> toldAt;
  for (std::size_t number = 0; number < server.server->arrivals().size(); ++number) {
    const MonotonicTime at = server.server->arrivalTimes()[number];
    const std::string id = server.server->arrivals()[number].headers.get(platform::kRequestId);
    const Node* node = at < begin ? nullptr : judgedSender(id, begin);
    if (node == nullptr) {
      continue;
    }
    ++findings_.judgedNotices;
    const MonotonicTime told = toldAt.emplace(node, at).first->second;
    if (at - told > kLeavingBound) {
      violate(id + " reached " + server.server->id() + " from " + node->name + " " +
              std::to_string(std::chrono::floor<Milliseconds>(at - told).count()) +
              " ms after its first answer that the server leaves");
    }
  }
}

awaitable<void> GatewaySoak::restAWhile(Server& server, Draws draws) {
  const std::vector<std::pair<const char*, Milliseconds>> rests{
      {"0.6", Milliseconds(600)}, {"1", Milliseconds(1000)}, {"3", Milliseconds(3000)}};
  const auto [text, rest] = rests[draws.pick(rests.size())];
  countFault("server asked for rest");
  const MonotonicTime begin = monotonicNow();
  server.server->asksForRest = text;
  co_await pause(draws.between(1000, 4000));
  server.server->asksForRest.reset();
  co_await pause(rest);
  const std::optional<MonotonicTime> pathCalm = server.pathFaults.calmSince();
  if (pathCalm && *pathCalm <= begin) {
    judgeRests(server, begin, rest);
  }
}

void GatewaySoak::judgeRests(const Server& server, MonotonicTime begin, Milliseconds rest) {
  for (const ServerStandIn::Refusal& refusal : server.server->refusals()) {
    const std::string refused = refusal.request.headers.get(platform::kRequestId);
    const Node* node = refusal.at < begin ? nullptr : judgedSender(refused, begin);
    if (node == nullptr) {
      continue;
    }
    ++findings_.judgedNotices;
    std::size_t within = 0;
    for (std::size_t number = 0; number < server.server->arrivals().size(); ++number) {
      const MonotonicTime at = server.server->arrivalTimes()[number];
      const std::string id = server.server->arrivals()[number].headers.get(platform::kRequestId);
      const bool inRest = at > refusal.at + kRestBound && at < refusal.at + rest;
      within += inRest && judgedSender(id, begin) == node ? 1 : 0;
    }
    if (within > kAllowedInRest) {
      violate(server.server->id() + " asked " + node->name + " for " +
              std::to_string(rest.count()) + " ms of rest and got " + std::to_string(within) +
              " requests in that time");
    }
  }
}

awaitable<void> GatewaySoak::noticesInSeries(std::string service, MonotonicTime end, Draws draws) {
  const std::vector<Server*> servers = serversOf(service, "v1");
  while (monotonicNow() < end) {
    co_await pause(draws.between(200, 2000));
    Server& server = *servers[draws.pick(servers.size())];
    if (server.down || server.badSince) {
      continue;
    }
    if (draws.pick(2) == 0) {
      co_await leaveAndReturn(server, draws.split());
    } else {
      co_await restAWhile(server, draws.split());
    }
  }
}

awaitable<void> GatewaySoak::stormWithNotices() {
  const MonotonicTime end = monotonicNow() + length_;
  for (const std::string service : {"llm", "app"}) {
    asio::co_spawn(context_, noticesInSeries(service, end, schedule_.split()), asio::detached);
  }
  co_await stormAndCalm();
  // Under faults few notices can be judged: these two come when all faults have ended.
  co_await pause(kLongestFault);
  co_await recover();
  co_await pause(kSettle);
  Server& server = *serversOf("app", "v1").front();
  co_await restAWhile(server, schedule_.split());
  co_await leaveAndReturn(server, schedule_.split());
}

}  // namespace calicodrift::testing
