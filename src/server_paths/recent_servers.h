#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"

namespace calicodrift::server_paths {

/// Servers that this node has called on the direct path lately, the last used first.
class RecentServers {
 public:
  void recordUse(const Endpoint& server, MonotonicTime now);
  /// Those used within kRecency.
  std::vector<Endpoint> used(MonotonicTime now) const;

  static constexpr Milliseconds kRecency{30'000};
  /// Bounds memory, and what a sweep of them costs.
  static constexpr std::size_t kMaxServers = 256;

 private:
  using Uses = std::list<std::pair<Endpoint, MonotonicTime>>;

  Uses uses_;
  std::map<Endpoint, Uses::iterator> places_;
};

}  // namespace calicodrift::server_paths
