#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>

#include "claims/claim_key.h"
#include "claims/claim_messages.h"
#include "claims/claim_settings.h"

namespace calicodrift::claims {

/// In-memory store of the claims that one node has voted for.
///
/// Invariant: within one incarnation of the process, this replica never votes for two attempts on
/// the same key, unless the earlier attempt reported that it never dispatched. A vote is recorded
/// before it is sent, and a record is dropped only once its key is older than the retention on a
/// clock that never goes backwards here. From then on the key itself is refused.
///
/// Across a restart: a vote of an earlier incarnation was for a key at most one clock bound ahead
/// of that incarnation's clock, which was at most one bound ahead of the current clock. A key later
/// than `voteHistoryStart_` + 2 clock bounds therefore cannot have been voted on before; the
/// replica abstains on all other keys.
class ClaimReplica {
 public:
  explicit ClaimReplica(const ClaimSettings& settings) : settings_(settings) {}

  /// Declares that the replica's history of votes in `group` is complete from `now` on.
  void startVoteHistory(std::size_t group, WallMilliseconds now);
  /// Votes on a claim. The caller sets the epoch and the replica id of the reply.
  ClaimReply vote(const ClaimRequest& request, WallMilliseconds now);
  /// Frees the key of an attempt that never dispatched, so that another attempt may claim it.
  /// Delayed copies of the released attempt's own claim stay refused.
  void release(const ReleaseNotice& notice);
  /// Records the outcome of a request. Allowed even if this replica does not vote.
  void complete(const CompletedNotice& notice, WallMilliseconds now);
  /// Drops the records of keys older than the retention.
  void prune(WallMilliseconds now);

  std::size_t records() const { return records_.size(); }

 private:
  enum class State : std::uint8_t { kHeld, kReleased, kCompleted };
  struct Record {
    AttemptToken holder;
    State state = State::kHeld;
    std::unique_ptr<StoredOutcome> outcome;
  };

  /// Returns the latest wall time seen. If the clock is set back, expired keys do not become valid
  /// again.
  WallMilliseconds advanceClock(WallMilliseconds now);
  bool tooOld(const ClaimKey& key, WallMilliseconds now) const;
  bool mayPrecedeVoteHistory(const ClaimKey& key) const;
  Vote repeatVote(const ClaimKey& key, const Record& record) const;
  Vote voteOnNewAttempt(const ClaimRequest& request, WallMilliseconds now);

  const ClaimSettings& settings_;
  WallMilliseconds latest_ = 0;
  std::array<WallMilliseconds, kGroupCount> voteHistoryStart_{};
  /// Ordered by key and therefore by the timestamp of the key.
  std::map<ClaimKey, Record> records_;
};

}  // namespace calicodrift::claims
