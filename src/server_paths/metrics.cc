#include "server_paths/metrics.h"

namespace calicodrift::server_paths {
namespace {

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry,
                                                  const std::string& name,
                                                  const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

ServerPathMetrics::ServerPathMetrics(prometheus::Registry& registry)
    : lost_(counters(registry, "calicodrift_server_paths_lost_total",
                     "Direct paths to servers that were lost while other nodes reached the server")
                .Add({})),
      regained_(counters(registry, "calicodrift_server_paths_regained_total",
                         "Lost direct paths that are used again")
                    .Add({})),
      directCalls_(counters(registry, "calicodrift_server_paths_calls_total",
                            "Calls to servers by the path they were sent on")
                       .Add({{"path", "direct"}})),
      relayedCalls_(counters(registry, "calicodrift_server_paths_calls_total", "")
                        .Add({{"path", "relayed"}})),
      moved_(counters(registry, "calicodrift_server_paths_moved_total",
                      "Calls that were ended because their path was lost, and go elsewhere")
                 .Add({})),
      checks_(counters(registry, "calicodrift_server_paths_checks_total",
                       "Checks of the direct path of a server that is silent")
                  .Add({})),
      peerTries_(counters(registry, "calicodrift_server_paths_peer_tries_total",
                          "Tunnels that this node asked other nodes for, by outcome")),
      tunnels_(counters(registry, "calicodrift_server_paths_tunnels_total",
                        "Tunnels that other nodes asked this node for, by outcome")),
      tunnelBytes_(counters(registry, "calicodrift_server_paths_tunnel_bytes_total",
                            "Bytes that this node passed through tunnels for other nodes")
                       .Add({})),
      lostNow_(gauge(registry, "calicodrift_server_paths_lost",
                     "Servers that this node reaches only through other nodes")),
      openTunnels_(gauge(registry, "calicodrift_server_paths_open_tunnels",
                         "Tunnels that are open for other nodes")) {}

void ServerPathMetrics::countPeerTry(std::string_view outcome) {
  peerTries_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void ServerPathMetrics::countTunnel(std::string_view outcome) {
  tunnels_.Add({{"outcome", std::string(outcome)}}).Increment();
}

}  // namespace calicodrift::server_paths
