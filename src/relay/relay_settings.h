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
  /// Nodes of one group form one tree.
  std::string group;
  /// Where other nodes reach this one; without a port it reads the store itself and serves nobody.
  Endpoint endpoint;
  /// Children of one node. A tree of depth 2 holds 2 x (1 + 16 + 256) nodes with it.
  std::size_t maxFollowers = 16;
  /// Roots of a group's tree, so that one that is lost need not be replaced before its children go
  /// on.
  std::size_t leastRelays = 2;
  /// A root that has not heard from the store for so long looks for another; so do its children.
  /// Longer than a watch of the store, so that it does not come up in a calm time.
  Milliseconds proofAge{1000};
  /// A relay with an older view is followed only where nobody has a newer one. Longer than a watch
  /// of the store and its way down, and well below proofAge: a root that has just lost the store
  /// must not be followed by those that leave another one for the same reason.
  Milliseconds freshAge{750};
  /// A view is older by so much at most at a child than at its parent, where all is well.
  Milliseconds hopAge{150};
  /// A child that has not asked for so long no longer counts.
  Milliseconds followerTerm{3000};
  /// A relay that did not answer is not asked again for so long.
  Milliseconds failureTerm{2000};
  /// Longest random delay before the first look at the list, so that of many nodes that start
  /// together a few find it empty.
  Milliseconds startDelay{200};
  /// Longest random delay before a node takes the place of a root that does not answer; less where
  /// fewer nodes are known to look for one at the same time.
  Milliseconds claimDelay{400};
  /// Part of that delay for each such node: the time of a reading and a writing of the list.
  Milliseconds claimDelayPerNode{8};
  /// Between two looks of a root at the list.
  Milliseconds reviewInterval{10'000};
  /// A root that was not confirmed for so long has no say over what only one node may give away.
  /// Long enough for a call to a silent store and a second one.
  Milliseconds tenure{2500};
  /// Between two looks at the list by which a root is confirmed, where that matters.
  Milliseconds confirmInterval{1000};
  /// Between two calls of a child to its parent.
  Milliseconds heartbeatInterval{300};
  /// Before a relay that is not ready to serve is asked again.
  Milliseconds joinRetry{100};
  /// For an answer about a place. Many times the way between two zones, as a node that many others
  /// ask at once answers late.
  Milliseconds joinTimeout{200};
  /// Time beyond a watch's wait after which a relay counts as silent.
  Milliseconds callTimeout{400};
  /// First and longest pause after the store did not answer; it doubles in between, with jitter.
  Milliseconds firstStorePause{200};
  Milliseconds longestStorePause{1600};
  /// A node that lost its parent keeps its own children so long while it looks for another.
  Milliseconds orphanTerm{2500};
  /// Depth from which a node takes no children. It ends a circle of nodes that follow each other,
  /// as the depth rises by each round in it.
  std::uint32_t maxDepth = 12;
  /// By kind: a view of this age is read from the store itself, whatever this node's place. Above
  /// proofAge and hopAge, so that it does not come up in a calm time. Kinds that are missing are
  /// read by the node's place alone.
  std::map<std::string, Milliseconds> readAges;
};

}  // namespace calicodrift::relay
