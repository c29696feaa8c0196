#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "membership/messages.h"

namespace calicodrift::membership {

/// What a record changed in the table.
enum class MemberChange {
  kJoined,     ///< Unknown or gone before, now present.
  kRestarted,  ///< Present before as an older incarnation, whose memory is gone.
  kSuspected,
  kRefuted,  ///< Suspected before; the member itself contradicted.
  kDied,
  kLeft,
  kUpdated,  ///< A newer version without a change of state.
};

std::string_view toString(MemberChange change);

/// All members that this node knows, itself among them. Gone members (dead, left) stay as
/// tombstones for a while, so that late news of their life is recognized as old.
class MemberTable {
 public:
  explicit MemberTable(const MemberRecord& self);

  const MemberRecord& self() const { return members_.at(selfKey_).record; }
  MemberKey selfKey() const { return selfKey_; }
  /// nullptr where unknown.
  const MemberRecord* find(MemberKey key) const;
  /// Takes `record` in if it is newer than what is known; says what changed.
  std::optional<MemberChange> apply(const MemberRecord& record, MonotonicTime now);
  /// Removes tombstones that are older than `retention`.
  void forgetTombstones(MonotonicTime now, Milliseconds retention);

  /// Of all present members, self included.
  const Digest& digest() const { return digest_; }
  std::size_t presentCount() const { return digest_.count; }
  void forEachPresent(const std::function<void(const MemberRecord&)>& visit) const;
  /// Dead members that did not say that they leave.
  const std::set<MemberKey>& dead() const { return dead_; }

  /// Digests of at most `limit` zones, chosen at random where there are more.
  std::vector<ZoneSummary> summaries(std::size_t limit, std::mt19937_64& random) const;
  /// Zones whose digest differs from the one in `others`, or that only one side knows.
  std::vector<ZoneKey> differingZones(const std::vector<ZoneSummary>& others) const;
  /// Present members of `zone` from `first` on, `limit` at most.
  KeyPage keyPage(ZoneKey zone, MemberKey first, std::size_t limit) const;
  /// Present records from a cursor on, in at most `byteLimit` bytes.
  std::vector<MemberRecord> page(const PageRequest& request, std::size_t byteLimit,
                                 Page& page) const;

 private:
  struct Entry {
    MemberRecord record;
    MonotonicTime changed;
  };
  struct Zone {
    Digest digest;
    std::map<MemberKey, const MemberRecord*> present;
  };

  void include(MemberKey key, const MemberRecord& record);
  void exclude(MemberKey key, const MemberRecord& record);

  MemberKey selfKey_;
  std::unordered_map<MemberKey, Entry> members_;
  std::map<ZoneKey, Zone> zones_;
  std::set<MemberKey> dead_;
  Digest digest_;
};

}  // namespace calicodrift::membership
