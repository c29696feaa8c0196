#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "fleet/server_load.h"

namespace calicodrift::fleet {

/// Runs of servers that have announced in an answer that they are leaving. Does no I/O.
///
/// Invariant: an announcement is never revoked, neither by an entry in the list of servers nor by
/// an answer; only a later run of the server, which has another key, is unaffected. A run is
/// removed after it has been missing from the list for kRetention. Only time during which the list
/// is known to be fresh counts: an entry that lapsed while the list could not be kept up to date
/// may return.
class LeavingServers {
 public:
  /// Returns whether the run was not known to be leaving.
  bool add(ServerKey run);
  bool contains(ServerKey run) const { return entries_.contains(run); }
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  /// Number of runs ever added.
  std::uint64_t changes() const { return changes_; }
  /// Runs that were added after changes() had the value `change`.
  std::vector<ServerKey> addedSince(std::uint64_t change) const;
  /// Removes runs that have been unlisted for kRetention.
  /// @param freshFor how long the list has been known to be fresh since the last call.
  void removeUnlisted(const std::function<bool(ServerKey)>& isListed, Milliseconds freshFor);

  /// Longer than any server keeps serving after it was removed from the list.
  static constexpr Milliseconds kRetention{600'000};
  /// Many times the number of servers of a fleet that leave within kRetention.
  static constexpr std::size_t kMaxEntries = 32'768;

 private:
  struct Entry {
    /// Value of changes() when the run was added.
    std::uint64_t recordedAt = 0;
    Milliseconds unlistedFor{0};
  };

  void evictLongestUnlisted();

  std::unordered_map<ServerKey, Entry> entries_;
  std::uint64_t changes_ = 0;
};

}  // namespace calicodrift::fleet
