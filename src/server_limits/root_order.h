#pragma once

#include <string>
#include <vector>

#include "common/endpoint.h"
#include "fleet/server_load.h"

namespace calicodrift::server_limits {

/// The name among these that the server's key gives: the same at all nodes that know the same
/// names.
/// @param names not empty.
const std::string& chooseFor(fleet::ServerKey server, const std::vector<std::string>& names);
/// The roots in the order in which they give out the server's units: the first does, the others
/// where it is gone. By rendezvous hashing, so that all nodes that know the same roots agree and a
/// change of one root moves its own servers only.
std::vector<Endpoint> inOrderFor(fleet::ServerKey server, std::vector<Endpoint> roots);

}  // namespace calicodrift::server_limits
