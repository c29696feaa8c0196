#include "forward/cache_scope.h"

#include "common/hashing.h"

namespace calicodrift::forward {

std::string cacheScope(const Grant& grant, WeightsVersion weights) {
  std::string scope = "w" + std::to_string(weights.value());
  if (grant.tenant != nullptr && grant.tenant->isolated) {
    return scope + "/" + grant.tenant->id.value();
  }
  const std::uint64_t isolation = isolationKeyOf(grant);
  return isolation == 0 ? scope : scope + "+" + std::to_string(isolation);
}

std::uint64_t isolationKeyOf(const Grant& grant) {
  return grant.table == nullptr ? 0 : grant.table->isolationKey();
}

std::uint64_t sharedKeyOf(const routing::RouteRequest& request, const std::string& scope) {
  return request.sharedBlocks == 0
             ? 0
             : hashPair(request.blocks[request.sharedBlocks - 1].value(), hashBytes(scope));
}

}  // namespace calicodrift::forward
