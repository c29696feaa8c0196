#pragma once

#include <string>

#include "forward/request.h"
#include "routing/policy.h"

namespace calicodrift::forward {

/// Names the cached prompt parts that a request may use at a server. It holds the weights version,
/// and the tenant where it is isolated: requests with different scopes never share cache.
std::string cacheScope(const Grant& grant, WeightsVersion weights);

/// Names the prompt's common part under a cache scope; 0 where it has none.
std::uint64_t sharedKeyOf(const routing::RouteRequest& request, const std::string& scope);

}  // namespace calicodrift::forward
