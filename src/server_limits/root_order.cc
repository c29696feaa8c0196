#include "server_limits/root_order.h"

#include <algorithm>

#include "common/hashing.h"

namespace calicodrift::server_limits {

std::vector<Endpoint> inOrderFor(fleet::ServerKey server, std::vector<Endpoint> roots) {
  const auto rank = [server](const Endpoint& root) {
    return hashPair(server.value(), hashBytes(root.toString()));
  };
  std::sort(roots.begin(), roots.end(), [&rank](const Endpoint& left, const Endpoint& right) {
    return rank(left) > rank(right);
  });
  return roots;
}

}  // namespace calicodrift::server_limits
