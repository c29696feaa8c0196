#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

/// Bringing model servers to the weights that operators name.
namespace calicodrift::rollout {

/// The weights that were named for each model, and since when each older version is outdated.
///
/// Invariant: least() of a model is at least every version that was known for longer than the term,
/// so that no request begins on a version whose successor is older than that.
class WeightsTargets {
 public:
  /// @param term how long requests may begin on an older version after a newer one is known.
  explicit WeightsTargets(Milliseconds term) : term_(term) {}

  /// @param since when the version was named at the latest.
  /// @param heardAt when this node heard of it.
  void name(const ModelId& model, WeightsVersion version, MonotonicTime since,
            MonotonicTime heardAt);
  /// Newest version of the model; nothing where none was named.
  std::optional<WeightsVersion> newest(const ModelId& model) const;
  /// Least version on which a request may begin now.
  WeightsVersion least(const ModelId& model, MonotonicTime now) const;
  /// Since when a version newer than `version` is known; nothing where it is the newest.
  std::optional<MonotonicTime> outdatedSince(const ModelId& model, WeightsVersion version) const;
  /// When this node heard of a version newer than `version`; nothing where it is the newest.
  std::optional<MonotonicTime> successorHeardAt(const ModelId& model, WeightsVersion version) const;
  std::vector<ModelId> models() const;

 private:
  struct Naming {
    MonotonicTime since;
    MonotonicTime heardAt;
  };
  using Namings = std::map<WeightsVersion, Naming>;

  /// Null where `version` is the newest.
  const Naming* successorOf(const ModelId& model, WeightsVersion version) const;

  Milliseconds term_;
  std::map<ModelId, Namings> namings_;
};

}  // namespace calicodrift::rollout
