#pragma once

#include <string>
#include <vector>

#include "common/endpoint.h"
#include "fleet/server_load.h"

namespace calicodrift::server_limits {

/// Selects the name for the server's key; all nodes that know the same names select the same one.
/// @param names not empty.
const std::string& selectByHash(fleet::ServerKey server, const std::vector<std::string>& names);
/// Sorts the roots by their precedence for issuing the server's units: the first one issues them,
/// the others take over if it is gone. Uses rendezvous hashing, so that all nodes that know the
/// same roots agree, and a change of one root affects its own servers only.
std::vector<Endpoint> rankRoots(fleet::ServerKey server, std::vector<Endpoint> roots);

}  // namespace calicodrift::server_limits
