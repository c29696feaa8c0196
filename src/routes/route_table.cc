#include "routes/route_table.h"

#include <algorithm>
#include <set>

#include "common/hashing.h"

namespace calicodrift::routes {
namespace {

std::uint64_t isolationKeyOf(const std::vector<Tenant>& tenants) {
  std::set<std::string_view> isolated;
  for (const Tenant& tenant : tenants) {
    if (tenant.isolated) {
      isolated.insert(tenant.id.value());
    }
  }
  std::uint64_t key = 0;
  for (const std::string_view tenant : isolated) {
    key = hashPair(key, hashBytes(tenant));
  }
  return key;
}

}  // namespace

RouteTable::RouteTable(RouteTableContent content) : content_(std::move(content)) {
  for (const Route& route : content_.routes) {
    routesByHost_[route.host][route.pathPrefix] = &route;
  }
  for (const Tenant& tenant : content_.tenants) {
    for (const std::string& key : tenant.apiKeys) {
      tenantsByKey_[key] = &tenant;
    }
  }
  for (const Service& service : content_.services) {
    servicesByName_[service.name] = &service;
  }
  isolationKey_ = isolationKeyOf(content_.tenants);
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const {
  const auto ofHost = routesByHost_.find(host);
  if (ofHost == routesByHost_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so only slashes in the path can end a match; the longest is tried
  // first.
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found = ofHost->second.find(path.substr(0, end + 1));
    if (found != ofHost->second.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const Tenant* RouteTable::findTenant(std::string_view apiKey) const {
  const auto found = tenantsByKey_.find(apiKey);
  return found == tenantsByKey_.end() ? nullptr : found->second;
}

const Service* RouteTable::findService(std::string_view name) const {
  const auto found = servicesByName_.find(name);
  return found == servicesByName_.end() ? nullptr : found->second;
}

Milliseconds RouteTable::maxStreamPauseOf(std::string_view service) const {
  Milliseconds shortest{0};
  for (const Route& route : content_.routes) {
    const bool routesToService =
        std::any_of(route.services.begin(), route.services.end(),
                    [service](const WeightedService& part) { return part.service == service; });
    if (routesToService && route.maxEventPause > Milliseconds(0)) {
      shortest = shortest == Milliseconds(0) ? route.maxEventPause
                                             : std::min(shortest, route.maxEventPause);
    }
  }
  return shortest;
}

std::vector<const CacheStore*> RouteTable::cacheStores() const {
  std::vector<const CacheStore*> stores;
  for (const Service& service : content_.services) {
    if (service.cacheStore) {
      stores.push_back(&*service.cacheStore);
    }
  }
  return stores;
}

}  // namespace calicodrift::routes
