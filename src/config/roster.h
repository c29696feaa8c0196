#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "common/clock.h"
#include "peer/directory.h"

namespace calicodrift::config {

/// Membership as the relay needs it: this node's zone in rendezvous order, and all other nodes.
/// Read from the directory once a second because the peer list is long at thousands of nodes.
///
/// The first few nodes of the order read the store (see StoreView::shouldRead). Nodes with
/// different views of the live members may both read it, which is harmless. The other nodes take
/// confirmations from nodes ahead of them in the order, so that confirmations are distributed along
/// a self-healing tree.
class Roster {
 public:
  /// @param watchersPerZone number of nodes of each zone that read the store; must be the same on
  /// every node.
  Roster(const peer::PeerDirectory& directory, std::size_t watchersPerZone)
      : directory_(directory), watchersPerZone_(watchersPerZone) {}

  /// Reads the directory if the last reading is too old.
  void refresh(MonotonicTime now);
  bool isWatcher() const { return rank_ < watchersPerZone_; }
  /// True if no peer is known.
  bool hasNoPeers() const { return peers_.empty(); }
  /// Number of nodes between the watchers and this one in the order; 0 for a watcher and for the
  /// first successor.
  std::size_t successorRank() const { return isWatcher() ? 0 : rank_ - watchersPerZone_; }

  /// Node from which to request confirmations: one ahead in the order of the zone, or for watchers,
  /// and for a small share of the queries of other nodes, a watcher of another zone.
  std::optional<Endpoint> chooseSource(std::mt19937_64& random) const;
  /// Distinct nodes to which a new version is announced.
  std::vector<Endpoint> chooseAnnouncementTargets(std::size_t inZone, std::size_t elsewhere,
                                                  std::mt19937_64& random) const;
  /// Random peers, for a node that has no bundle yet.
  std::vector<Endpoint> chooseRandomPeers(std::size_t count, std::mt19937_64& random) const;

 private:
  const peer::PeerDirectory& directory_;
  std::size_t watchersPerZone_;
  std::optional<MonotonicTime> readAt_;
  /// Number of nodes of this zone that precede this one in the order.
  std::size_t rank_ = 0;
  /// Peers of this zone, in order.
  std::vector<Endpoint> zone_;
  std::vector<Endpoint> elsewhere_;
  std::vector<Endpoint> remoteWatchers_;
  std::vector<Endpoint> peers_;
};

}  // namespace calicodrift::config
