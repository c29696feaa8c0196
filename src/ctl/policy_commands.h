#pragma once

#include <string>
#include <vector>

#include "ctl/bundle_commands.h"

namespace calicodrift::ctl {

/// The arms of live traffic over all of `settings.routers`: requests, hit rate and mean time to
/// first token, each mean with its 95% confidence interval.
Result<std::string> policyReport(const CtlSettings& settings);
/// The same from the routers' answers. Fails with kProtocolViolation.
Result<std::string> mergedReport(const std::vector<std::string>& answers, bool asJson);
/// Why the attempts of a request went where they went, from whichever router served it.
Result<std::string> explainRequest(const CtlSettings& settings, const std::string& requestId);

}  // namespace calicodrift::ctl
