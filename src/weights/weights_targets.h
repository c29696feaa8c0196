#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "fleet/named_weights.h"
#include "weights/weights_history.h"

/// Updates model servers to the weights that operators name.
namespace calicodrift::weights {

/// The weights that were named for each model, and since when each older version is outdated.
///
/// Invariant: leastSendable() of a model is not below any version that was known for longer than
/// the send term, and leastWaitable() not below any known for longer than the wait term. No request
/// begins on a version whose successor is older than the bound: no request is sent there after the
/// send term and none waits there after the wait term, whatever the assumed state of the server's
/// queue and whenever this node started (see WeightsHistory).
class WeightsTargets {
 public:
  /// @param startedAt when this node started.
  WeightsTargets(WeightsTerms terms, MonotonicTime startedAt)
      : terms_(terms), startedAt_(startedAt) {}

  /// Adds a version that was named while this node watched.
  /// @param maxDelay maximum time between the naming and `now`, beyond what the terms' margin
  /// allows for.
  void addObserved(const ModelId& model, WeightsVersion version, MonotonicTime now,
                   Milliseconds maxDelay = Milliseconds(0));
  /// Adds a discovered version that may have been named long before. Unless another node provides
  /// its age, older versions are used for at most kDiscoveredTerm after this node's start, or after
  /// `now` if it has watched before.
  /// @param provenAt time before which no version newer than the known ones was named; the clock's
  /// epoch if nothing was read yet.
  void addDiscovered(const ModelId& model, WeightsVersion version, MonotonicTime provenAt,
                     MonotonicTime now);
  /// Merges what another node knows.
  /// @return whether anything has changed.
  bool merge(const std::vector<fleet::NamedWeights>& named, MonotonicTime now);
  /// Applies a floor read from the store: no request may be sent to versions of the model below it
  /// any more. Does nothing for a model without a known version.
  /// @return whether the floor is new.
  bool raiseFloor(const ModelId& model, WeightsVersion floor, MonotonicTime now);
  /// The namings that this node can report to others.
  std::vector<fleet::NamedWeights> exportNamings(MonotonicTime now) const;
  /// Newest version of the model; empty if none was named.
  std::optional<WeightsVersion> newest(const ModelId& model) const;
  /// Lowest version to which a request may be sent now.
  WeightsVersion leastSendable(const ModelId& model, MonotonicTime now) const;
  /// Lowest version for which a request may still wait to begin.
  WeightsVersion leastWaitable(const ModelId& model, MonotonicTime now) const;
  /// Lowest version to which any node may send a request now. It is at most leastSendable(), which
  /// may be higher only because this node doesn't know when versions were named.
  WeightsVersion confirmedLeast(const ModelId& model, MonotonicTime now) const;
  /// When the next term of any version ends; empty if none is pending.
  std::optional<MonotonicTime> nextExpiry(MonotonicTime now) const;
  /// Since when a version newer than `version` is known; empty if it is the newest.
  std::optional<MonotonicTime> outdatedSince(const ModelId& model, WeightsVersion version) const;
  /// When this node learned of a version newer than `version`; empty if it is the newest.
  std::optional<MonotonicTime> successorLearnedAt(const ModelId& model,
                                                  WeightsVersion version) const;
  /// How this node learned of the version that made `version` outdated; empty if it is the newest.
  std::optional<NamingSource> successorSource(const ModelId& model, WeightsVersion version) const;
  std::vector<ModelId> models() const;

  /// How long older weights are used after the start of a node if no other node reports the age of
  /// the naming, as after a restart of all nodes. Long enough for nodes that did not restart to
  /// report it and for the first servers to load; shorter than the time for which a node that has
  /// just started is exempt from the bound (at least 3 s on current deployments). When the term was
  /// counted from the reading of the naming instead of the start, requests began up to 12.9 s after
  /// a naming where 8 s are allowed, as the reading may come seconds after the start; with half the
  /// send term in its place, up to 13.5 s.
  static constexpr Milliseconds kDiscoveredTerm{1500};

 private:
  const WeightsHistory* historyOf(const ModelId& model) const;

  WeightsTerms terms_;
  MonotonicTime startedAt_;
  std::map<ModelId, WeightsHistory> histories_;
};

}  // namespace calicodrift::weights
