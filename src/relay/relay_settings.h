#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/ids.h"

namespace calicodrift::relay {

struct RelaySettings {
  NodeId node;
  ZoneId zone;
  /// Name of the group; the nodes of a group form one tree.
  std::string group;
  /// Address at which other nodes reach this one. A node without a port reads the store itself and
  /// serves no other nodes.
  Endpoint endpoint;
  /// Maximum number of children per node. With 16, a tree of depth 2 holds 2 x (1 + 16 + 256)
  /// nodes.
  std::size_t maxChildren = 16;
  /// Number of roots of a group's tree. With two, the children of a lost root can continue before
  /// it is replaced.
  std::size_t rootCount = 2;
  /// A root whose view is older than this looks for another source, and so do its children. Longer
  /// than a watch of the store, so that it is not reached in normal operation.
  Milliseconds proofAge{1000};
  /// A relay with an older view is followed only if no other relay has a newer one. Longer than a
  /// watch of the store plus the propagation delay, and well below proofAge: a root that has just
  /// lost the store must not be followed by nodes that leave another root for the same reason.
  Milliseconds freshAge{750};
  /// Largest difference in age between the view of a child and that of its parent in normal
  /// operation.
  Milliseconds maxHopDelay{150};
  /// A child that has not called for this long loses its place.
  Milliseconds childTimeout{3000};
  /// How long a failed call to a relay is remembered. A relay that is considered dead is not asked
  /// again during this time.
  Milliseconds failureRetention{2000};
  /// Upper bound of the random delay before the first reading of the list. Of many nodes that start
  /// together, only a few then find it empty.
  Milliseconds startDelay{200};
  /// Added to startDelay. Of nodes that all start for the first time, those with the shortest one
  /// become roots.
  Milliseconds extraStartDelay{0};
  /// Whether the first reading of the list may be of one that is seconds old. It costs the store a
  /// tenth, and many nodes start at a time.
  bool staleFirstRead = false;
  /// Upper bound of the random delay before a node replaces a root that does not answer. The delay
  /// is shorter if fewer nodes are known to compete for the place.
  Milliseconds claimDelay{400};
  /// Share of that delay for each competing node: the time to read and write the list once.
  Milliseconds claimDelayPerNode{8};
  /// Interval at which a root reads the list.
  Milliseconds reviewInterval{10'000};
  /// How long a root keeps the right to grant shared resources after it was last confirmed by the
  /// list. Long enough for one call to the store that times out and a second one.
  Milliseconds tenure{2500};
  /// Interval at which a root reads the list while its confirmation is needed.
  Milliseconds confirmInterval{1000};
  /// Interval between two heartbeats of a child to its parent.
  Milliseconds heartbeatInterval{300};
  /// Delay before a relay that is not ready to serve is asked again.
  Milliseconds joinRetry{100};
  /// Timeout of a join request. Many times the latency between two zones, because a node that many
  /// others call at once answers late.
  Milliseconds joinTimeout{200};
  /// How long after the wait of a watch a relay counts as unresponsive.
  Milliseconds callTimeout{400};
  /// Bounds of the exponential backoff, with jitter, after the store did not answer.
  Milliseconds minStoreBackoff{200};
  Milliseconds maxStoreBackoff{1600};
  /// How long a node that has lost its parent continues to serve its children while it looks for
  /// another parent.
  Milliseconds orphanGracePeriod{2500};
  /// Depth from which a node accepts no children. This breaks cycles of nodes that follow each
  /// other, as the depth in a cycle grows with each round.
  std::uint32_t maxDepth = 12;
  /// Age, by kind, from which a view is read from the store itself, whatever this node's position
  /// in the tree. Above proofAge and maxHopDelay, so that it is not reached in normal operation.
  /// Kinds without an entry are read only from the node's source.
  std::map<std::string, Milliseconds> readAges;
};

}  // namespace calicodrift::relay
