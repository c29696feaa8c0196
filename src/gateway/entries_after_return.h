#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "fleet/server.h"
#include "store/object_store.h"

namespace calicodrift::gateway {

/// Servers whose entries in a store that has returned from a copy are older than what this node
/// knows. The servers write their entries again, each at its own time; until then:
///
/// - a server that was known to be draining or gone is not used again because of an older entry,
///   until its entry has been written anew;
/// - a server that the copy lacks stays known for kMissingGrace.
///
/// Does no I/O.
class EntriesAfterReturn {
 public:
  /// What this node knows of a server.
  struct Known {
    fleet::Server server;
    store::Revision revision;
  };
  using KnownServers = std::map<BackendId, Known>;

  /// Whether a listing is the first one of a new era.
  bool isReturn(const store::Listing& listing) const {
    return era_ && store::eraOf(listing.revision) > *era_;
  }
  /// Compares the first listing of a new era with what is known.
  void onReturn(const store::Listing& listing, const KnownServers& known, MonotonicTime now);
  /// Records the era of a listing.
  void onListing(const store::Listing& listing) { era_ = store::eraOf(listing.revision); }
  /// The entry was removed while the store was up to date.
  void onRemoved(const BackendId& id, MonotonicTime now);
  /// The entry was written.
  void onWritten(const BackendId& id);
  /// Whether the entry is the one of the copy, of a server that was draining or gone.
  bool isOutdated(const store::Object& object);
  /// The servers that the copy lacks and that may be back.
  const KnownServers& missing() const { return missing_; }
  /// Returns the servers that are still missing after kMissingGrace, once.
  std::vector<BackendId> takeExpired(MonotonicTime now);

  /// Entries of live servers are back within about two seconds of the store's return.
  static constexpr Milliseconds kMissingGrace{2000};
  /// Longer than a copy is old.
  static constexpr Milliseconds kRemovedRetention{120'000};
  /// Number of removed servers that are remembered.
  std::size_t removedCount() const { return removed_.size(); }

 private:
  void forgetRemoved(MonotonicTime now);

  /// Of the last listing; nothing before the first one.
  std::optional<store::Era> era_;
  std::map<BackendId, MonotonicTime> removed_;
  /// Size of `removed_` at which those that need not be remembered any more are looked for.
  std::size_t forgetAt_ = kMinForgetAt;
  static constexpr std::size_t kMinForgetAt = 256;
  /// Outdated entries with their revision in the copy.
  std::map<BackendId, store::Revision> outdated_;
  KnownServers missing_;
  MonotonicTime missingUntil_{};
};

}  // namespace calicodrift::gateway
