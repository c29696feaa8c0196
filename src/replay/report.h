#pragma once

#include <string>

#include "replay/result_json.h"

namespace calicodrift::replay {

/// One HTML page without references to other files: what was run, the measures of each policy as
/// plots and as a table, and how to read them. @param traceName shown as the source.
std::string reportPage(const ReplaySettings& settings, const std::string& traceName,
                       const PolicyResults& results);

}  // namespace calicodrift::replay
