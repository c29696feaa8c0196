#pragma once

#include <optional>

#include "common/clock.h"
#include "config/bundle_holder.h"
#include "config/messages.h"

namespace calicodrift::config {

/// How long ago the store is known to have held nothing newer than what is in force here.
///
/// A confirmation's time is the moment at which its watcher began to read the store; it is handed
/// on as an age, to which every hop adds its whole round trip, so it is never taken for newer than
/// it is, also by a node that was paused. Clocks of machines are not compared.
/// Invariant: once a change has been accepted for longer than the term, every node has it in force
/// or does not vouch; for a confirmation that began after the change names the change's version,
/// and counts here only once that version is in force.
class Vouching {
 public:
  /// @param term how old the newest confirmation may be.
  Vouching(Milliseconds term, const BundleHolder& holder) : term_(term), holder_(holder) {}

  /// The store held this as its newest bundle in a read that began at `readAt`.
  void confirm(BundleVersion version, BundleDigest digest, MonotonicTime readAt);
  /// A newer bundle is in force, so a confirmation that waited for it may count.
  void onAdopted();

  Milliseconds term() const { return term_; }
  bool vouched(MonotonicTime now) const;
  /// Age of the newest confirmation, or nothing where there was none.
  std::optional<Milliseconds> age(MonotonicTime now) const;
  /// The newest confirmation that counts here, to hand on.
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
  /// Names a version that is not in force here yet.
  std::optional<Entry> waiting_;
};

}  // namespace calicodrift::config
