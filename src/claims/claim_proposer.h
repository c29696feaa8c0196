#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "claims/claim_messages.h"
#include "claims/claim_settings.h"
#include "claims/view_agent.h"

namespace calicodrift::claims {

/// Result of an attempt to claim a key.
enum class ClaimVerdict : std::uint8_t {
  /// A majority of one epoch's replicas voted for this attempt. No other attempt may dispatch.
  kGranted,
  /// Another attempt holds the key and its request may be running.
  kInProgress,
  /// Another attempt has already run the request.
  kCompleted,
  kKeyTooOld,
  /// The timestamp of the key is so far ahead that no replica can have accepted it.
  kKeyFromFuture,
  /// A majority knows of no attempt but is at its record limit. The request has certainly not run.
  kMemoryFull,
  /// No majority replied or could vote, so an earlier attempt cannot be ruled out.
  kUnavailable,
};
std::string_view toString(ClaimVerdict verdict);

struct ClaimResult {
  ClaimVerdict verdict = ClaimVerdict::kUnavailable;
  AttemptToken token;
  /// Stored response; set only if the verdict is kCompleted.
  std::optional<StoredOutcome> outcome;
};

/// Claims keys for this node's requests. Each attempt has its own token, is decided once, and is
/// released on all replicas unless it was granted, so an attempt that was not granted never
/// dispatches.
class ClaimProposer {
 public:
  using Done = std::function<void(const ClaimResult&)>;
  using Sender = ViewAgent::Sender;

  ClaimProposer(const ClaimSettings& settings, const ViewAgent& views, Sender sender,
                std::uint64_t seed);

  /// Calls `done` exactly once, within the claim timeout.
  void claim(const ClaimKey& key, ClockReading now, Done done);
  /// Reports that the request of a granted attempt ran and received a response.
  void complete(const ClaimKey& key, AttemptToken token, StoredOutcome outcome, ClockReading now);
  /// Reports that the request of a granted attempt did not run and will not run, so another attempt
  /// may claim the key.
  void release(const ClaimKey& key, AttemptToken token, ClockReading now);
  void handle(const ClaimReply& reply, ClockReading now);
  void tick(ClockReading now);
  std::size_t pending() const { return attempts_.size(); }

 private:
  struct AttemptState {
    ClaimKey key;
    MonotonicTime begin;
    MonotonicTime lastSent;
    Epoch epoch;
    /// Latest vote of each replica in `epoch`.
    std::map<NodeId, ClaimReply> votes;
    Done done;
  };
  struct Tally {
    std::size_t accepted = 0;
    std::size_t full = 0;
    std::size_t undecided = 0;
    std::size_t majority = 0;
    bool held = false;
    bool heldByEarlier = false;
    bool tooOld = false;
    const ClaimReply* completed = nullptr;
  };
  /// A notice that is sent several times because notices are not acknowledged.
  struct RepeatedNotice {
    ClaimMessage message;
    ClaimKey key;
    int remainingSends = 0;
    MonotonicTime nextTime;
  };
  using Attempts = std::map<AttemptToken, AttemptState>;

  void send(const AttemptToken& token, AttemptState& attempt, ClockReading now);
  Tally tally(const AttemptToken& token, const AttemptState& attempt) const;
  /// Verdict determined by the votes so far, or nullopt while further votes may change it.
  std::optional<ClaimVerdict> decide(const Tally& tally) const;
  ClaimVerdict finalVerdict(const Tally& tally) const;
  void finish(Attempts::iterator attempt, ClaimVerdict verdict, ClockReading now);
  void sendNotice(const ClaimMessage& message, const ClaimKey& key, ClockReading now);
  void sendToReplicas(const ClaimMessage& message, const ClaimKey& key);

  const ClaimSettings& settings_;
  const ViewAgent& viewAgent_;
  Sender sender_;
  std::mt19937_64 random_;
  Attempts attempts_;
  std::vector<RepeatedNotice> notices_;
};

}  // namespace calicodrift::claims
