#pragma once

#include <string>
#include <utility>
#include <vector>

#include "replay/measures.h"
#include "replay/simulation.h"

namespace calicodrift::replay {

/// The measures of each policy, in the order in which they were asked for.
using PolicyResults = std::vector<std::pair<std::string, Measures>>;

/// The document that `replay --json` writes. Equal results give equal bytes.
std::string resultJson(const ReplaySettings& settings, const PolicyResults& results);
/// A table for people.
std::string resultTable(const PolicyResults& results);

}  // namespace calicodrift::replay
