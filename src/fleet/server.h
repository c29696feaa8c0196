#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/ids.h"

/// The servers behind this node: what they say of themselves, and what this node finds.
namespace calicodrift::fleet {

struct LoadedModel {
  ModelId model;
  WeightsVersion weights;
  bool operator==(const LoadedModel&) const = default;
};

/// One run of a server as the list of servers shows it. A restart is another server with another
/// id, maybe at the same address.
struct Server {
  BackendId id;
  std::string service;
  Endpoint endpoint;
  ZoneId zone;
  /// Finishes what it has and must get no new work.
  bool draining = false;
  std::size_t slots = 0;
  /// Empty where the list does not tell it.
  SoftwareVersion version;
  /// How long it is slower than usual from its start on, as its caches are empty then.
  Milliseconds warmUp{0};
  /// Empty for servers without models.
  std::vector<LoadedModel> models;

  bool operator==(const Server&) const = default;
};

}  // namespace calicodrift::fleet
