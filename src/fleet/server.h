#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/ids.h"

/// Servers behind this node: what they report and what this node observes.
namespace calicodrift::fleet {

struct LoadedModel {
  ModelId model;
  WeightsVersion weights;
  bool operator==(const LoadedModel&) const = default;
};

/// One run (process lifetime) of a server, as shown in the list of servers. A server may restart
/// under the same id, at the same address or another: `id` and `started` together identify the run.
/// State learnt about one run does not apply to a later one, which starts with empty caches, counts
/// its orders from 0 and may have loaded other weights.
struct Server {
  BackendId id;
  /// Start of this run; a greater value is a later run. Empty in deployments whose servers do not
  /// report it, where each start has a new id.
  std::optional<Incarnation> started;
  std::string service;
  Endpoint endpoint;
  ZoneId zone;
  /// The server finishes its current work and must get no new work.
  bool draining = false;
  std::size_t slots = 0;
  /// Empty if the list does not tell it.
  SoftwareVersion version;
  /// How long after its start the server is slower than usual, as its caches are empty.
  Milliseconds warmUp{0};
  /// Empty for servers without models.
  std::vector<LoadedModel> models;

  bool operator==(const Server&) const = default;
};

/// Identifies the server's run among those of the same id.
inline Incarnation incarnationOf(const Server& server) {
  return server.started.value_or(Incarnation());
}

/// Order of a reported start relative to the known run of the same id.
enum class RunOrder {
  kSame,
  /// An earlier run: the report says nothing about the known one.
  kEarlier,
  /// A later run: the known one has ended.
  kLater,
  /// No start is reported although the server has reported one before: the order is unknown, and
  /// the report must not be applied to the known run.
  kUnknown,
};
RunOrder orderOf(std::optional<Incarnation> reported, std::optional<Incarnation> known);

}  // namespace calicodrift::fleet
