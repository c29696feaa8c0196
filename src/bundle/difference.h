#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"

namespace calicodrift::bundle {

/// One place in which two bundles differ. The values are JSON text; empty where there is none.
struct Difference {
  /// JSON path in which entries of lists are named by their id, as `$.tenants[reviews].weight`;
  /// entries without one, as policy rules, by their position.
  std::string path;
  std::string before;
  std::string after;
};

/// Every difference between two bundle texts. Formatting and the order of named entries don't
/// count. Fails with kBundleInvalid where a text is not JSON.
Result<std::vector<Difference>> findDifferences(std::string_view before, std::string_view after);

}  // namespace calicodrift::bundle
