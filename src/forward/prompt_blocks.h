#pragma once

#include "forward/request.h"
#include "routing/policy.h"

namespace calicodrift::forward {

/// Prompt tokens of one block that routing policies see.
inline constexpr std::size_t kRoutingBlockTokens = 256;

/// What routing policies know of a request: its parts cut into equal blocks, chained so that two
/// requests share a block's hash only where all parts before it are the same. Blocks name neither
/// weights nor tenant: a policy's beliefs about a server end when its weights change.
routing::RouteRequest toRouteRequest(const Request& request, const Grant& grant);

}  // namespace calicodrift::forward
