#include "forward/cache_scope.h"

#include "common/hashing.h"

namespace calicodrift::forward {

namespace {

CacheIsolation isolationOfTenant(const routes::RouteTable* table, const routes::Tenant* tenant) {
  if (tenant != nullptr && tenant->isolated) {
    return {tenant->id, 0};
  }
  return {TenantId(), table == nullptr ? 0 : table->isolationKey()};
}

}  // namespace

CacheIsolation isolationOf(const Grant& grant) {
  return grant.isolation.value_or(isolationOfTenant(grant.table.get(), grant.tenant));
}

std::optional<CacheIsolation> isolationIn(const routes::RouteTable& table, const Grant& grant,
                                          const Request& request) {
  const routes::Tenant* tenant = table.findTenant(request.apiKey);
  const bool sameTenant =
      grant.tenant == nullptr || (tenant != nullptr && tenant->id == grant.tenant->id);
  return sameTenant ? std::optional(isolationOfTenant(&table, tenant)) : std::nullopt;
}

std::string cacheScope(const Grant& grant, WeightsVersion weights) {
  const std::string scope = "w" + std::to_string(weights.value());
  const CacheIsolation isolation = isolationOf(grant);
  if (!isolation.tenant.value().empty()) {
    return scope + "/" + isolation.tenant.value();
  }
  return isolation.sharedKey == 0 ? scope : scope + "+" + std::to_string(isolation.sharedKey);
}

std::uint64_t sharedKeyOf(const routing::RouteRequest& request, const std::string& scope) {
  return request.sharedBlocks == 0
             ? 0
             : hashPair(request.blocks[request.sharedBlocks - 1].value(), hashBytes(scope));
}

}  // namespace calicodrift::forward
