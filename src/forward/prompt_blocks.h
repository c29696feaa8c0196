#pragma once

#include "forward/request.h"
#include "routing/policy.h"

namespace calicodrift::forward {

/// Size in prompt tokens of the blocks that routing policies use.
inline constexpr std::size_t kRoutingBlockTokens = 256;

/// Converts a request for the routing policies: its prompt parts are cut into blocks of equal size
/// whose hashes are chained, so that two requests share a block's hash only if all earlier parts
/// are the same. Blocks identify neither weights nor tenant, except for an isolated tenant: a
/// policy's assumptions about a server end when its weights change.
routing::RouteRequest toRouteRequest(const Request& request, const Grant& grant);

}  // namespace calicodrift::forward
