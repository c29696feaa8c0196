#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>

#include "common/clock.h"
#include "http/connection_path.h"

namespace calicodrift::server_paths {

/// The tunnels of this node that were ended by their servers a short while ago, as opposed to those
/// that this node ended: the nodes that use them cannot tell the two apart. Does no I/O; callers
/// pass the time.
class TunnelEnds {
 public:
  /// Records that the server has ended the tunnel.
  void record(http::TunnelId id, MonotonicTime now);
  bool endedByServer(http::TunnelId id, MonotonicTime now);

  /// Nodes ask right after the end.
  static constexpr Milliseconds kRetention{5000};
  /// Beyond it the oldest are forgotten; their answers count as incomplete then.
  static constexpr std::size_t kMaxEnds = 1024;

 private:
  struct End {
    http::TunnelId id;
    MonotonicTime at;
  };
  void forgetOldest();

  std::deque<End> ends_;
  std::unordered_set<http::TunnelId> ids_;
};

}  // namespace calicodrift::server_paths
