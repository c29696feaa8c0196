#pragma once

#include <string>

#include "forward/request.h"
#include "routing/policy.h"

namespace calicodrift::forward {

/// Identifies the cached prompt parts that a request may use on a server. Contains the weights
/// version, and the tenant if it is isolated, else which tenants are: requests with different
/// scopes never share cache, and no request shares what a tenant that is isolated now has made.
std::string cacheScope(const Grant& grant, WeightsVersion weights);

CacheIsolation isolationOf(const Grant& grant);
/// The same by another configuration, as of the request's tenant there. Empty if it names that
/// tenant no more.
std::optional<CacheIsolation> isolationIn(const routes::RouteTable& table, const Grant& grant,
                                          const Request& request);

/// Identifies the prompt's common prefix within a cache scope; 0 if the prompt has none.
std::uint64_t sharedKeyOf(const routing::RouteRequest& request, const std::string& scope);

}  // namespace calicodrift::forward
