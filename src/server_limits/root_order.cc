#include "server_limits/root_order.h"

#include <algorithm>

#include "common/hashing.h"

namespace calicodrift::server_limits {
namespace {

std::uint64_t rank(fleet::ServerKey server, const std::string& name) {
  return hashPair(server.value(), hashBytes(name));
}

}  // namespace

const std::string& chooseFor(fleet::ServerKey server, const std::vector<std::string>& names) {
  return *std::max_element(names.begin(), names.end(),
                           [server](const std::string& left, const std::string& right) {
                             return rank(server, left) < rank(server, right);
                           });
}

std::vector<Endpoint> inOrderFor(fleet::ServerKey server, std::vector<Endpoint> roots) {
  std::sort(roots.begin(), roots.end(), [server](const Endpoint& left, const Endpoint& right) {
    return rank(server, left.toString()) > rank(server, right.toString());
  });
  return roots;
}

}  // namespace calicodrift::server_limits
