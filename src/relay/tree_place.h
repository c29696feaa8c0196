#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "common/endpoint.h"

namespace calicodrift::relay {

/// Where a node stands in the relay tree now, for modules that tell others something along it.
struct TreePlace {
  /// Where other nodes reach this one; port 0: nowhere.
  Endpoint endpoint;
  /// The node that this one follows.
  std::function<std::optional<Endpoint>()> parent;
  std::function<std::vector<Endpoint>()> children;
  /// The roots of the tree but this node.
  std::function<std::vector<Endpoint>()> roots;
  std::function<bool()> isRoot;
  /// Whether no other node belongs to this one's tree.
  std::function<bool()> isAlone;
};

/// Whom a node tells news: its parent and children, where it `tellsRoots` the other roots, and
/// those `beyond` its tree. Sorted, each once.
std::vector<Endpoint> neighboursIn(const TreePlace& tree, bool tellsRoots,
                                   const std::vector<Endpoint>& beyond);

}  // namespace calicodrift::relay
