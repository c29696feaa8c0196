#pragma once

#include <string>
#include <vector>

#include "common/error.h"
#include "gateway/gateway_settings.h"

/// What a deployment demands, and what follows from it for this node.
namespace calicodrift::gateway {

/// One setting that follows from a bound of the deployment.
struct DerivedSetting {
  std::string name;
  /// With its unit, for people.
  std::string value;
  /// The bound and the margin, as "weights-bound-ms - 2000".
  std::string from;
  /// What goes wrong where the bound is missed.
  std::string breaks;
};

/// Fills the settings that follow from bounds, where they were not given themselves.
/// Fails with kSettingsInvalid, naming the bound, where one is too short to be kept.
Result<std::vector<DerivedSetting>> applyBounds(GatewaySettings& settings);

/// The derived settings as a table for people.
std::string describeDerived(const std::vector<DerivedSetting>& derived);

}  // namespace calicodrift::gateway
