#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "fleet/server_load.h"

namespace calicodrift::fleet {

/// A pause of a server that has refused a request for lack of capacity.
struct FullServer {
  ServerKey server;
  MonotonicTime until{};
};

/// Servers that no node sends requests to for a moment, because one of them was refused for lack of
/// capacity and the server fails if it has to refuse many. Does no I/O; callers pass the time.
class FullServers {
 public:
  /// Returns whether the pause ends notably later than the known one.
  bool add(ServerKey server, MonotonicTime until, MonotonicTime now);
  /// Number of pauses ever added.
  std::uint64_t changes() const { return changes_; }
  /// When the server's pause in force was added; empty if there is none.
  std::optional<MonotonicTime> addedAt(ServerKey server, MonotonicTime now) const;
  /// Pauses that were added after changes() had the value `change` and have not ended.
  std::vector<FullServer> addedSince(std::uint64_t change, MonotonicTime now) const;

  /// A pause that ends later by less than this is the same one, told by another node.
  static constexpr Milliseconds kSamePause{100};

 private:
  struct Entry {
    MonotonicTime until{};
    MonotonicTime addedAt{};
    /// Value of changes() when the pause was added.
    std::uint64_t recordedAt = 0;
  };

  std::unordered_map<ServerKey, Entry> entries_;
  std::uint64_t changes_ = 0;
};

}  // namespace calicodrift::fleet
