#pragma once

#include <optional>

#include "common/clock.h"
#include "config/bundle_holder.h"
#include "config/messages.h"

namespace calicodrift::config {

/// Tracks how long ago the store is known to have held nothing newer than the active bundle.
///
/// The time of a confirmation is the time at which its watcher started to read the store. It is
/// passed on as an age, to which every hop adds its whole round trip, so a confirmation is never
/// considered newer than it is, even by a node that was paused. Clocks of different machines are
/// not compared.
/// Invariant: once a change has been accepted for longer than the term, every node has it active or
/// is unconfirmed, because a confirmation that started after the change names the version of the
/// change and counts only once that version is active.
class FreshnessTracker {
 public:
  /// @param term maximum age of the latest confirmation.
  FreshnessTracker(Milliseconds term, const BundleHolder& holder) : term_(term), holder_(holder) {}

  /// Records that the store returned this as its newest bundle in a read that started at `readAt`.
  void confirm(BundleVersion version, BundleDigest digest, MonotonicTime readAt);
  /// Must be called after a newer bundle was adopted, so that a pending confirmation of it counts.
  void onAdopted();

  Milliseconds term() const { return term_; }
  bool confirmed(MonotonicTime now) const;
  /// Age of the latest confirmation, or nullopt if there was none.
  std::optional<Milliseconds> age(MonotonicTime now) const;
  /// Latest confirmation that counts at this node, to pass on to peers.
  std::optional<Confirmation> newest(MonotonicTime now) const;

 private:
  struct Entry {
    BundleVersion version;
    BundleDigest digest;
    MonotonicTime readAt;
  };

  Milliseconds term_;
  const BundleHolder& holder_;
  std::optional<Entry> newest_;
  /// Latest confirmation of a version that is not active at this node yet.
  std::optional<Entry> pending_;
};

}  // namespace calicodrift::config
