#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "common/ids.h"
#include "common/strong_type.h"
#include "fleet/server.h"

namespace calicodrift::fleet {

/// Compact identifier of one run of a server between nodes: the hash of its id, and of its start if
/// reported. Load reported for an earlier run is therefore never counted on a later one, without
/// sending the start beside the key.
using ServerKey = StrongType<struct ServerKeyTag, std::uint64_t>;
ServerKey keyOf(const Server& server);

/// Load of some nodes on a server, and whether they can reach it.
struct ServerLoad {
  std::size_t requests = 0;
  /// Prompt and output tokens of those requests, which occupy the server's KV cache memory.
  std::size_t tokens = 0;
  /// Prompt tokens still to be prefilled.
  std::size_t prefillTokens = 0;
  /// Number of nodes that cannot reach the server.
  std::size_t unreachableFrom = 0;
  /// Weights that the server is loading or about to load, as reported by the node that orders the
  /// load; 0: none.
  WeightsVersion loading{};

  ServerLoad& operator+=(const ServerLoad& other) {
    requests += other.requests;
    tokens += other.tokens;
    prefillTokens += other.prefillTokens;
    unreachableFrom += other.unreachableFrom;
    loading = std::max(loading, other.loading);
    return *this;
  }
  bool operator==(const ServerLoad&) const = default;
};

using ServerLoads = std::unordered_map<ServerKey, ServerLoad>;

}  // namespace calicodrift::fleet
