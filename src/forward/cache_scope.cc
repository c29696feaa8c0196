#include "forward/cache_scope.h"

#include "common/hashing.h"

namespace calicodrift::forward {

std::string cacheScope(const Grant& grant, WeightsVersion weights) {
  std::string scope = "w" + std::to_string(weights.value());
  if (grant.tenant != nullptr && grant.tenant->isolated) {
    scope += "/" + grant.tenant->id.value();
  }
  return scope;
}

std::uint64_t sharedKeyOf(const routing::RouteRequest& request, const std::string& scope) {
  return request.sharedBlocks == 0
             ? 0
             : hashPair(request.blocks[request.sharedBlocks - 1].value(), hashBytes(scope));
}

}  // namespace calicodrift::forward
