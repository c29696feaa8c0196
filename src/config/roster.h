#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "common/clock.h"
#include "peer/directory.h"

namespace calicodrift::config {

/// The fleet as the relay needs it: this node's zone in rendezvous order, and the others. Read from
/// the directory once a second, as its answer is long at thousands of nodes.
///
/// The first few nodes of the order read the store (see StoreView::shouldRead). Nodes whose beliefs
/// about who is alive differ may both read it, which does no harm. The rest take confirmations from
/// nodes ahead of them in the order, so that these travel down a tree that heals by itself.
class Roster {
 public:
  /// @param watchersPerZone how many nodes of each zone read the store; the same on every node.
  Roster(const peer::PeerDirectory& directory, std::size_t watchersPerZone)
      : directory_(directory), watchersPerZone_(watchersPerZone) {}

  /// Reads the directory where the last reading is too old.
  void refresh(MonotonicTime now);
  bool isWatcher() const { return rank_ < watchersPerZone_; }
  /// No peer is known.
  bool alone() const { return peers_.empty(); }
  /// How many nodes stand between the watchers and this one; 0 for a watcher and for the first
  /// successor.
  std::size_t successorRank() const { return isWatcher() ? 0 : rank_ - watchersPerZone_; }

  /// A node to take confirmations from: one ahead in the zone's order, or for the watchers and for
  /// a small share of the time a watcher of another zone.
  std::optional<Endpoint> chooseSource(std::mt19937_64& random) const;
  /// Different nodes to announce a new version to.
  std::vector<Endpoint> chooseAnnounced(std::size_t inZone, std::size_t elsewhere,
                                        std::mt19937_64& random) const;
  /// Any peers, for a node that has nothing yet.
  std::vector<Endpoint> chooseAny(std::size_t count, std::mt19937_64& random) const;

 private:
  const peer::PeerDirectory& directory_;
  std::size_t watchersPerZone_;
  std::optional<MonotonicTime> readAt_;
  /// Number of nodes of this zone before this one in the order.
  std::size_t rank_ = 0;
  /// Peers of this zone in their order.
  std::vector<Endpoint> zone_;
  std::vector<Endpoint> elsewhere_;
  std::vector<Endpoint> foreignWatchers_;
  std::vector<Endpoint> peers_;
};

}  // namespace calicodrift::config
