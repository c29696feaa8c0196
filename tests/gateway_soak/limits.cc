// Servers that name limits in series, one of each service at a time, beside all other faults. What
// comes from nodes that have been free of faults for long must keep the limit in any window.

#include "gateway_soak.h"
#include "support/arrival_windows.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// All nodes in touch know of a limit, and go by it, so long after it was named.
constexpr Milliseconds kUntilSpared{3000};

}  // namespace

awaitable<void> GatewaySoak::limitServers(std::string service, MonotonicTime end, Draws draws) {
  const std::vector<std::pair<const char*, double>> limits{
      {"0", 0}, {"0.5", 0.5}, {"1", 1}, {"4", 4}};
  const std::vector<Server*> servers = serversOf(service, "v1");
  while (monotonicNow() < end) {
    co_await pause(draws.between(200, 2000));
    Server& server = *servers[draws.pick(servers.size())];
    const auto [text, perSecond] = limits[draws.pick(limits.size())];
    countFault("server named a limit");
    server.server->namedLimits = {text};
    server.sparedSince = monotonicNow() + kUntilSpared;
    server.calmArrivals.clear();
    co_await pause(draws.between(7000, 12'000));
    server.server->namedLimits.clear();
    server.sparedSince.reset();
    const std::size_t worst = mostInAnyWindow(server.calmArrivals);
    if (static_cast<double>(worst) > kAllowedArrivals.at(perSecond)) {
      violate(server.server->id() + " got " + std::to_string(worst) +
              " requests in 4 s from nodes free of faults, and had named " + text + " a second");
    }
  }
}

void GatewaySoak::noteSpared(Server& server, const std::string& request) {
  if (server.sparedSince && monotonicNow() >= *server.sparedSince && sentCalmly(request)) {
    server.calmArrivals.push_back(monotonicNow());
  }
}

awaitable<void> GatewaySoak::stormWithLimits() {
  const MonotonicTime end = monotonicNow() + length_;
  for (const std::string service : {"llm", "app"}) {
    asio::co_spawn(context_, limitServers(service, end, schedule_.split()), asio::detached);
  }
  co_await stormAndCalm();
}

}  // namespace calicodrift::testing
