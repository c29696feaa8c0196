#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/endpoint.h"

/// Paths to servers through other nodes: a node that cannot reach a server directly sends its calls
/// through a tunnel that another node opens (HTTP CONNECT at its port for nodes).
namespace calicodrift::server_paths {

/// Builds without this path answer 404, and CONNECT, too: they open no tunnels.
inline constexpr std::string_view kTunnelStatusPath = "/tunnel-status";

/// Asks a node whether it opens tunnels, and which other nodes it knows.
struct TunnelStatusQuery {
  std::string node;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node);
  }
};

struct TunnelStatus {
  /// False if the node is stopping: new tunnels are declined, and idle ones should be closed.
  bool accepts = false;
  std::uint32_t openTunnels = 0;
  /// Nodes that the sender knows from its place in the relay tree.
  std::vector<Endpoint> neighbours;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(accepts, openTunnels, neighbours);
  }
};

/// Builds without this path answer 404: how their tunnels end stays unknown.
inline constexpr std::string_view kTunnelEndPath = "/tunnel-end";

/// Asks the node that has carried a tunnel whether the server has ended it.
struct TunnelEndQuery {
  std::uint64_t tunnel = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tunnel);
  }
};

struct TunnelEnd {
  /// False if the node ended the tunnel itself, or does not know it.
  bool endedByServer = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endedByServer);
  }
};

}  // namespace calicodrift::server_paths
