#pragma once

#include <string>

#include "ctl/bundle_commands.h"

namespace calicodrift::ctl {

/// The bundle of `file` (plain or signed) with the next version and another weights version of
/// `settings.model`, unsigned: a roll-out goes through review and signing like any other change.
/// Printed, or written to `settings.output`.
Result<std::string> proposeWeights(const CtlSettings& settings, const std::string& file);
/// The change itself, on a bundle's text. Fails with kBundleInvalid or kUnknownModel.
Result<std::string> withWeights(const std::string& bundleText, const std::string& model,
                                std::int64_t weightsVersion);
/// Starts the planned stop of one router, as SIGTERM does.
Result<std::string> drainNode(const CtlSettings& settings);

}  // namespace calicodrift::ctl
