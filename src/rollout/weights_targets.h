#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "fleet/named_weights.h"

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

  /// A version was named while this node watched.
  void name(const ModelId& model, WeightsVersion version, MonotonicTime now);
  /// A version was found that may have been named long before; taken as named half the term ago
  /// until another node tells more.
  void find(const ModelId& model, WeightsVersion version, MonotonicTime now);
  /// What another node knows of the age of namings. Corrects what was only found; of several ages
  /// the greatest holds.
  void learn(const std::vector<fleet::NamedWeights>& named, MonotonicTime now);
  /// What this node knows of the age of namings.
  std::vector<fleet::NamedWeights> known(MonotonicTime now) const;
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
    /// When the version was named, at the latest.
    MonotonicTime since;
    /// When this node heard of it.
    MonotonicTime heardAt;
    /// This node did not see it named, so that `since` is a guess or what others tell.
    bool guessed = false;
    /// `since` is the greatest age that others have told.
    bool told = false;
  };
  using Namings = std::map<WeightsVersion, Naming>;

  /// Null where `version` is the newest.
  const Naming* successorOf(const ModelId& model, WeightsVersion version) const;

  Milliseconds term_;
  std::map<ModelId, Namings> namings_;
};

}  // namespace calicodrift::rollout
