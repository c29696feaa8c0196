#pragma once

#include <string>
#include <vector>

#include "common/error.h"

/// Switches for experiments: what is each mechanism worth here?
namespace calicodrift::gateway {

/// Mechanisms that a node can run without. All are on in normal use.
struct Mechanisms {
  /// Servers are announced to all nodes before they are ordered to load.
  bool loadAnnouncements = true;
  /// Cache is moved between servers and from stores of kept cache.
  bool cacheMoves = true;
  /// Cache is saved to stores of kept cache.
  bool cacheSaves = true;
  /// Requests that no server can begin with in time are refused.
  bool queueAdmission = true;
  /// The speed of each server is learnt.
  bool learntRates = true;
  /// Nodes tell each other their load on servers.
  bool loadExchange = true;
  /// A server that refused is passed over for a time.
  bool refusalPause = true;
  /// Idempotent requests leave a server that is silent for long.
  bool patience = true;
  /// Orders to load wait no longer than the present queues make necessary.
  bool settleByQueues = true;
  /// Failed requests are sent to a second server.
  bool retries = true;
  /// Long prompts avoid servers whose streams they would make pause for too long.
  bool pauseBounds = true;
  /// Tenants' limits are kept.
  bool tenantLimits = true;
  /// Prompts' common parts have a home in each region, and not one in the fleet.
  bool regionHomes = true;
  /// Servers that this node cannot reach are reached through other nodes.
  bool relayedPaths = true;
};

/// Switches the named mechanisms off. Fails with kSettingsInvalid for a name that is unknown, and
/// says which there are.
Result<Mechanisms> mechanismsWithout(const std::vector<std::string>& names);

/// All names, in the order of the struct.
std::vector<std::string> mechanismNames();

}  // namespace calicodrift::gateway
