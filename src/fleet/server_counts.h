#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/ids.h"
#include "fleet/server.h"

namespace calicodrift::fleet {

/// Listed servers of one software version of a service.
struct VersionCount {
  std::size_t listed = 0;
  /// Those of them that are not draining.
  std::size_t serving = 0;
  /// Earliest start that any of them has reported since the first of them was listed.
  std::optional<Incarnation> earliestStart;
};

using VersionCounts = std::map<SoftwareVersion, VersionCount>;

/// Counts of the listed servers, so that questions about all of them need not visit each. Every
/// server is counted by add() and taken out by remove() with the same fields.
class ServerCounts {
 public:
  void add(const Server& server);
  void remove(const Server& server);

  /// Number of servers of the service that are listed.
  std::size_t listed(std::string_view service) const;
  /// By service; services without listed servers are left out.
  const std::map<std::string, VersionCounts, std::less<>>& versions() const { return versions_; }
  /// Number of servers with models, including those that are draining.
  std::size_t withModels() const { return withModels_; }
  /// Whether a server that is not draining has weights of the model below `least`.
  bool anyBelow(const ModelId& model, WeightsVersion least) const;

 private:
  using WeightsCounts = std::map<WeightsVersion, std::size_t>;

  std::map<std::string, VersionCounts, std::less<>> versions_;
  std::size_t withModels_ = 0;
  /// Servers that are not draining, by model.
  std::map<ModelId, WeightsCounts> weights_;
};

}  // namespace calicodrift::fleet
