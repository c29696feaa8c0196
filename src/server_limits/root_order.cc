#include "server_limits/root_order.h"

#include <algorithm>

#include "common/hashing.h"

namespace calicodrift::server_limits {
namespace {

std::uint64_t hashRank(fleet::ServerKey server, const std::string& name) {
  return hashPair(server.value(), hashBytes(name));
}

}  // namespace

const std::string& selectByHash(fleet::ServerKey server, const std::vector<std::string>& names) {
  return *std::max_element(names.begin(), names.end(),
                           [server](const std::string& left, const std::string& right) {
                             return hashRank(server, left) < hashRank(server, right);
                           });
}

std::vector<Endpoint> rankRoots(fleet::ServerKey server, std::vector<Endpoint> roots) {
  std::sort(roots.begin(), roots.end(), [server](const Endpoint& left, const Endpoint& right) {
    return hashRank(server, left.toString()) > hashRank(server, right.toString());
  });
  return roots;
}

}  // namespace calicodrift::server_limits
