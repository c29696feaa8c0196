#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "common/endpoint.h"

namespace calicodrift::relay {

/// Current position of a node in the relay tree, for modules that send messages along the tree.
struct TreePosition {
  /// Address at which other nodes reach this one; port 0 if they cannot.
  Endpoint endpoint;
  /// The node that this one follows, if any.
  std::function<std::optional<Endpoint>()> parent;
  std::function<std::vector<Endpoint>()> children;
  /// The roots of the tree other than this node.
  std::function<std::vector<Endpoint>()> roots;
  std::function<bool()> isRoot;
  /// Whether this node is the only one in its tree.
  std::function<bool()> isAlone;
};

/// The nodes to which a node sends its changes: its parent and children, the other roots if
/// `tellsRoots`, and the nodes `beyond` its tree. Sorted, without duplicates.
std::vector<Endpoint> treeNeighbours(const TreePosition& tree, bool tellsRoots,
                                     const std::vector<Endpoint>& beyond);

}  // namespace calicodrift::relay
