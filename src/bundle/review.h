#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "bundle/bundle.h"

namespace calicodrift::bundle {

/// What an operator should not roll out although a node would take it: rules that name unknown
/// policies, tenants or models, rules that no request reaches, keys that two tenants share, service
/// paths that hide each other. Each problem with its JSON path and remedy.
/// @param policies names of the policies that the routers know.
std::vector<std::string> reviewBundle(const Bundle& bundle,
                                      const std::vector<std::string_view>& policies);

}  // namespace calicodrift::bundle
