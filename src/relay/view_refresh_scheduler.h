#pragma once

#include <cstdint>
#include <random>

#include "common/clock.h"

namespace calicodrift::relay {

struct ViewRefreshSettings {
  /// Additional wait per level of depth, since the nodes above hand on what they read. Each node
  /// adds a random part of it so that calls do not coincide.
  Milliseconds stagger{0};
  /// Timeout of a call to the store.
  Milliseconds callTimeout{0};
  /// Bounds of the exponential backoff, with jitter, after a failed call.
  Milliseconds firstPause{0};
  Milliseconds longestPause{0};
};

/// Settings derived from the age from which views are read. With a read age of three fifths of the
/// bound on the age, two calls of the deepest nodes that time out leave time for a third.
ViewRefreshSettings viewRefreshSettings(Milliseconds readAge);

/// Schedules reads of views from the store itself, independently of the node's source in the tree.
///
/// Invariant: a node that can reach the store has no view older than the read age plus three times
/// the stagger plus the time of earlier failed calls. Other nodes cannot break this: only a view
/// that is known to be newer postpones a read.
class ViewRefreshScheduler {
 public:
  ViewRefreshScheduler(ViewRefreshSettings settings, std::uint64_t seed);

  /// When a view has to be read from the store.
  /// @param provenAt when the view was last known to be current.
  /// @param readAge age from which the view is read.
  /// @param depth number of nodes between this one and the store.
  MonotonicTime due(MonotonicTime provenAt, Milliseconds readAge, std::uint32_t depth) const;
  /// @param asked when the call began. A call that failed sooner than its timeout is paused after
  ///   as if it had timed out: a store that rejects calls at once gets no more of them than one
  ///   that does not answer.
  void onRead(bool reached, MonotonicTime asked, MonotonicTime now);
  /// End of the backoff after a failed call; the clock's epoch if there is none.
  MonotonicTime notBefore() const { return notBefore_; }
  const ViewRefreshSettings& settings() const { return settings_; }

 private:
  Milliseconds randomUpTo(Milliseconds longest);

  ViewRefreshSettings settings_;
  std::mt19937_64 random_;
  /// Random part of the stagger, drawn anew after each read.
  Milliseconds jitter_{0};
  Milliseconds nextPause_{0};
  /// End of the backoff after a failed call.
  MonotonicTime notBefore_{};
};

}  // namespace calicodrift::relay
