#pragma once

#include <map>
#include <optional>
#include <string_view>

#include "common/clock.h"
#include "common/ids.h"
#include "fleet/named_weights.h"

namespace calicodrift::weights {

/// How long an older version is used after a newer one is known.
struct WeightsTerms {
  /// How long requests are sent to servers with the older version.
  Milliseconds send{0};
  /// How long requests that such a server has not begun keep waiting. Leaves enough time to close
  /// their connections before the deployment's bound on the start of requests.
  Milliseconds wait{0};
};

/// Until when versions are used whose time of replacement the node does not know.
struct IncompleteHistoryLimits {
  MonotonicTime send{};
  MonotonicTime wait{};
  /// The earliest time at which they may have become outdated.
  MonotonicTime since{};
};

/// How a node learned of a naming; written to logs.
enum class NamingSource {
  /// The node's watch reported it.
  kObserved,
  /// It was in a listing or in a delayed change, so its age is unknown.
  kDiscovered,
  /// Another node reported its age.
  kReportedByPeer,
};
std::string_view toString(NamingSource source);

/// What a node knows of the versions that were named for one model. Performs no I/O; the caller
/// passes the time.
///
/// A starting node reads only the newest version. It learns of earlier versions and the times at
/// which they were replaced from nodes that watched. The history therefore records from which
/// version on it is complete: for versions from `coveredFrom` on, the next naming is known with its
/// age; of older versions, only that they are outdated.
///
/// Invariant: leastSendable() is not below any version that was named longer ago than the term,
/// whatever this node missed. This holds because an outdated version is used only
/// - for the term after a known naming, if the history is complete from that version on: its next
///   naming is then known, and no age exceeds the reported or observed one; or
/// - until the limit passed to addDiscovered(), if the history is not complete.
/// Completeness is taken over only from a node that knows the same newest naming, together with all
/// namings that make it complete.
class WeightsHistory {
 public:
  /// Adds a version that was named while this node watched.
  /// @param maxDelay maximum time between the naming and `now`, beyond what the terms' margin
  /// allows for.
  void addObserved(WeightsVersion version, MonotonicTime now,
                   Milliseconds maxDelay = Milliseconds(0));
  /// Adds a version that was discovered, and before which other versions may have been named
  /// unnoticed.
  /// @param limits until when older versions are used, unless another node knows more.
  void addDiscovered(WeightsVersion version, const IncompleteHistoryLimits& limits,
                     MonotonicTime now);
  /// Merges what another node knows. The greatest age of a version applies, since a node that was
  /// disconnected counts from when it learned of the naming. Versions newer than those this node
  /// has read are left to its own watch.
  /// @return whether anything has changed.
  bool merge(const fleet::NamedWeights& received, MonotonicTime now);
  /// Forbids sending requests to versions below the floor. Requests that wait for such versions may
  /// keep waiting for the difference between the terms. A floor above the newest version is
  /// ignored: it is wrong, or precedes the naming that it follows from, and would end the terms of
  /// later namings.
  /// @return whether the floor is new.
  bool raiseFloor(WeightsVersion floor, MonotonicTime now);

  /// The namings that other nodes can use; empty if all versions but the newest have expired, or if
  /// this node knows nothing of use to others.
  std::optional<fleet::NamedWeights> exportNamings(const ModelId& model, const WeightsTerms& terms,
                                                   MonotonicTime now) const;
  WeightsVersion newest() const;
  /// Lowest version to which requests may be sent.
  WeightsVersion leastSendable(const WeightsTerms& terms, MonotonicTime now) const;
  /// Lowest version for which requests may wait.
  WeightsVersion leastWaitable(const WeightsTerms& terms, MonotonicTime now) const;
  /// Like leastSendable(), but without versions that this node avoids only because its history is
  /// incomplete, so that it holds for all nodes.
  WeightsVersion confirmedLeast(const WeightsTerms& terms, MonotonicTime now) const;
  /// When the next term or limit ends; empty if none is pending.
  std::optional<MonotonicTime> nextExpiry(const WeightsTerms& terms, MonotonicTime now) const;
  /// The earliest time at which `version` may have become outdated; empty if it is the newest.
  std::optional<MonotonicTime> outdatedSince(WeightsVersion version) const;
  /// When this node learned that `version` is outdated; empty if it is the newest.
  std::optional<MonotonicTime> supersessionLearnedAt(WeightsVersion version) const;
  std::optional<NamingSource> supersessionSource(WeightsVersion version) const;

 private:
  struct Naming {
    /// The latest time at which the version can have been named.
    MonotonicTime since;
    /// When this node learned of the naming.
    MonotonicTime learnedAt;
    NamingSource source = NamingSource::kObserved;
  };

  /// Lowest version usable under the incomplete history: from `end` on, no version below
  /// `coveredFrom_`, as nothing is known of those.
  WeightsVersion leastWithIncompleteHistory(MonotonicTime end, MonotonicTime now) const;
  /// Newest version known to have been named at least `term` ago.
  WeightsVersion newestNamedFor(Milliseconds term, MonotonicTime now) const;
  /// Whether the namings between `version` and the discovered version are unknown.
  bool historyIncomplete(WeightsVersion version) const { return version < coveredFrom_; }
  const Naming* successorOf(WeightsVersion version) const;
  /// @return whether the naming is new, or older than was known.
  bool mergeNaming(const fleet::WeightsNaming& received, MonotonicTime now);
  WeightsVersion floor() const {
    return floors_.empty() ? WeightsVersion() : floors_.rbegin()->first;
  }

  /// Each floor and when this node learned of it.
  std::map<WeightsVersion, MonotonicTime> floors_;
  /// Versions below this one are no longer used, although this node doesn't know when they were
  /// replaced.
  WeightsVersion abandonedBelow_;
  WeightsVersion coveredFrom_;
  /// Until when versions below `coveredFrom_` are used, and when that version was discovered.
  IncompleteHistoryLimits incompleteLimits_;
  MonotonicTime discoveredAt_{};
  std::map<WeightsVersion, Naming> namings_;
};

}  // namespace calicodrift::weights
