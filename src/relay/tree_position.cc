#include "relay/tree_position.h"

#include <algorithm>

namespace calicodrift::relay {

std::vector<Endpoint> treeNeighbours(const TreePosition& tree, bool tellsRoots,
                                     const std::vector<Endpoint>& beyond) {
  std::vector<Endpoint> found = tree.children();
  if (const std::optional<Endpoint> parent = tree.parent()) {
    found.push_back(*parent);
  }
  if (tellsRoots) {
    const std::vector<Endpoint> roots = tree.roots();
    found.insert(found.end(), roots.begin(), roots.end());
  }
  found.insert(found.end(), beyond.begin(), beyond.end());
  std::sort(found.begin(), found.end());
  found.erase(std::unique(found.begin(), found.end()), found.end());
  return found;
}

}  // namespace calicodrift::relay
