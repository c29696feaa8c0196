#pragma once

#include <string_view>

#include "metrics/metrics.h"

namespace calicodrift::server_paths {

/// Metrics of the server_paths module.
class ServerPathMetrics {
 public:
  explicit ServerPathMetrics(prometheus::Registry& registry);

  void countLost() { lost_.Increment(); }
  void countRegained() { regained_.Increment(); }
  /// Counts a call sent on a direct connection or through another node.
  void countCall(bool direct) { (direct ? directCalls_ : relayedCalls_).Increment(); }
  /// Counts a call that was ended because its path was lost and it may go elsewhere.
  void countMoved() { moved_.Increment(); }
  /// Counts a check of the direct path of a silent server.
  void countCheck() { checks_.Increment(); }
  /// Counts a request for a tunnel to another node, by its outcome.
  void countPeerTry(std::string_view outcome);
  /// Counts another node's request for a tunnel, by its outcome.
  void countTunnel(std::string_view outcome);
  void addTunnelBytes(double count) { tunnelBytes_.Increment(count); }
  void setLost(std::size_t servers) { lostNow_.Set(static_cast<double>(servers)); }
  void setOpenTunnels(std::size_t count) { openTunnels_.Set(static_cast<double>(count)); }

 private:
  prometheus::Counter& lost_;
  prometheus::Counter& regained_;
  prometheus::Counter& directCalls_;
  prometheus::Counter& relayedCalls_;
  prometheus::Counter& moved_;
  prometheus::Counter& checks_;
  prometheus::Family<prometheus::Counter>& peerTries_;
  prometheus::Family<prometheus::Counter>& tunnels_;
  prometheus::Counter& tunnelBytes_;
  prometheus::Gauge& lostNow_;
  prometheus::Gauge& openTunnels_;
};

}  // namespace calicodrift::server_paths
