#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "fleet/server_load.h"

namespace calicodrift::fleet {

/// Runs of servers whose answers said that they leave. No I/O.
///
/// Invariant: what was noted stays true. No entry in the list of servers and no answer takes it
/// back; only a later run of the server, which has another key, is free of it. A run is forgotten
/// once the list has been without it for kForgetAfter, counted only while the list is known to be
/// new: an entry that lapsed while the list could not be kept up may come back.
class LeavingServers {
 public:
  /// Returns whether that is news.
  bool note(ServerKey run);
  bool contains(ServerKey run) const { return entries_.contains(run); }
  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  /// Counts the runs that were ever noted.
  std::uint64_t changes() const { return changes_; }
  std::vector<ServerKey> notedSince(std::uint64_t change) const;
  /// Forgets runs that have gone.
  /// @param provenFor for how long the list has been known to be new since the last call.
  void forgetGone(const std::function<bool(ServerKey)>& isListed, Milliseconds provenFor);

  /// Longer than any server serves on after it was taken off the list.
  static constexpr Milliseconds kForgetAfter{600'000};
  /// Many times the servers of a fleet that leave within kForgetAfter.
  static constexpr std::size_t kMost = 32'768;

 private:
  struct Entry {
    /// Of changes(), when it was noted.
    std::uint64_t notedAt = 0;
    Milliseconds unlistedFor{0};
  };

  void dropLongestGone();

  std::unordered_map<ServerKey, Entry> entries_;
  std::uint64_t changes_ = 0;
};

}  // namespace calicodrift::fleet
