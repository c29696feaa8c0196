#pragma once

#include <cstddef>
#include <map>
#include <random>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"

namespace calicodrift::server_paths {

/// Other nodes that may open tunnels for this one, and how they have fared. Does no I/O; callers
/// pass the time.
class PeerTable {
 public:
  /// @param own endpoint of this node, which is never a peer.
  explicit PeerTable(Endpoint own) : own_(std::move(own)) {}

  /// Adds nodes, or renews them. Beyond kMaxPeers the one that was not heard of for longest goes.
  void learn(const std::vector<Endpoint>& peers, MonotonicTime now);
  /// Records that the peer has opened a tunnel, or answered that the server refuses connections.
  void recordWorking(const Endpoint& peer);
  /// Records that the peer could not be reached; it is avoided for a time that doubles.
  void recordFailed(const Endpoint& peer, MonotonicTime now);
  /// Records that the peer opens no tunnel now.
  void recordDeclined(const Endpoint& peer, MonotonicTime now);
  bool isUsable(const Endpoint& peer, MonotonicTime now) const;
  /// Up to `most` usable peers to try in this order: of two random ones the one with fewer
  /// tunnels from here, then others at random. If all are to be avoided, the one whose time ends
  /// first.
  std::vector<Endpoint> choose(std::size_t most, MonotonicTime now, std::mt19937_64& random) const;
  /// Counts a call of this node that is under way through the peer.
  void addCall(const Endpoint& peer);
  void removeCall(const Endpoint& peer);
  bool empty() const { return peers_.empty(); }
  std::size_t size() const { return peers_.size(); }

  static constexpr std::size_t kMaxPeers = 64;
  static constexpr Milliseconds kDeclinedTime{1000};
  static constexpr Milliseconds kFirstFailedTime{500};
  static constexpr Milliseconds kMaxFailedTime{8000};

 private:
  struct Peer {
    MonotonicTime heardOfAt{};
    MonotonicTime avoidedUntil{};
    std::size_t failures = 0;
    std::size_t calls = 0;
  };

  Endpoint own_;
  std::map<Endpoint, Peer> peers_;
};

}  // namespace calicodrift::server_paths
