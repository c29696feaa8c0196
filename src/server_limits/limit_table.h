#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "server_limits/limit_record.h"

namespace calicodrift::server_limits {

/// Limits known to this node. Does no I/O.
///
/// Answers of one server may arrive out of order, and nodes share no clock. A dispatch therefore
/// carries the version that its node knew when it was sent: if that is still the newest, the server
/// received the request after it had sent what led to that version, so its answer is newer. Any
/// other answer may be older and can only tighten the limit.
/// Invariant: nodes that have exchanged their records agree, in whatever order these arrived, as
/// the greater version wins and among equal versions the stricter limit. A limit is therefore never
/// lifted by an answer sent before the limit was named.
class LimitTable {
 public:
  /// Records the head of an answer to a request that was sent when `seen` was the known version.
  /// Returns whether that changed the table.
  /// @param named empty if the answer named no limit.
  bool recordAnswer(fleet::ServerKey server, LimitVersion seen, std::optional<double> named);
  /// Merges another node's record. Returns whether that changed the table.
  bool merge(const LimitRecord& record);
  /// Null if no limit was ever named.
  const LimitRecord* find(fleet::ServerKey server) const;
  LimitVersion versionOf(fleet::ServerKey server) const;
  /// The limit in force.
  std::optional<double> limitOf(fleet::ServerKey server) const;
  /// Number of changes of the whole table.
  std::uint64_t changes() const { return changes_; }
  std::vector<LimitRecord> changedSince(std::uint64_t change) const;
  /// Records of the limits in force.
  std::vector<LimitRecord> limited() const;
  /// Number of limits in force. If it is 0, requests need no look-up.
  std::size_t countLimited() const { return countLimited_; }
  /// Removes runs that are gone: those for which `isListed` returns false in two consecutive calls.
  void removeUnlisted(const std::function<bool(fleet::ServerKey)>& isListed);

 private:
  struct Entry {
    LimitRecord record;
    /// Value of changes() when this entry was last changed.
    std::uint64_t changedAt = 0;
    bool unlistedOnce = false;
  };

  bool store(const LimitRecord& record);

  std::unordered_map<fleet::ServerKey, Entry> entries_;
  std::uint64_t changes_ = 0;
  std::size_t countLimited_ = 0;
};

}  // namespace calicodrift::server_limits
