#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::routing {

/// What a router believes of one usable back end at this moment.
struct Candidate {
  BackendId id;
  /// Beliefs about its cache hold for this incarnation only.
  Incarnation incarnation;
  WeightsVersion weights;
  /// Requests that this router has dispatched and not yet seen the end of.
  std::size_t outstanding = 0;
  /// Prompt and output tokens of those requests.
  std::size_t outstandingTokens = 0;
  /// Requests waiting or running there by its own report, which lags.
  std::size_t reportedRequests = 0;
  /// Prompt tokens that it has yet to prefill, by the same report.
  std::size_t reportedPrefillTokens = 0;
  /// Prompt tokens to prefill that this router sent there since that report.
  std::size_t sentPrefillTokens = 0;
  /// What other routers have under way there, as they said a moment ago.
  std::size_t peerRequests = 0;
  std::size_t peerTokens = 0;
  std::size_t peerPrefillTokens = 0;
  /// Requests that it runs at once, and tokens that fit into its memory; 0: not known.
  std::size_t slots = 0;
  std::size_t memoryTokens = 0;
  /// How long streams that run there may pause, in milliseconds; 0: it does not matter.
  double pauseBoundMs = 0;
  /// Prompt tokens that it prefills in a millisecond.
  double prefillTokensPerMs = kDefaultPrefillTokensPerMs;
  /// The way there and back, in milliseconds.
  double wayMs = 0;
  /// Whether it stands in the router's own region.
  bool nearby = true;

  static constexpr double kDefaultPrefillTokensPerMs = 8.0;
};

/// The usable back ends of one model and weights version (or one service). Kept up to date by
/// small changes, so that no request pays for the number of back ends; a decision looks at a few of
/// them only. Positions change when a candidate leaves; they hold within one decision.
class CandidateSet {
 public:
  bool empty() const { return candidates_.empty(); }
  std::size_t size() const { return candidates_.size(); }
  const Candidate& operator[](std::size_t position) const { return candidates_[position]; }
  std::optional<std::size_t> find(const BackendId& id) const;

  /// Adds a candidate or replaces the one of the same id.
  void put(Candidate candidate);
  void erase(const BackendId& id);

  /// Up to `count` positions in the order of affinity to `key`. The order depends on the key and
  /// the ids alone, so all routers agree, and a change of one back end moves only its own keys.
  /// Small sets are ranked by rendezvous hashing, large ones by multi-probe consistent hashing in
  /// O(count).
  std::vector<std::size_t> inAffinityOrder(std::uint64_t key, std::size_t count) const;
  /// Up to `count` positions of nearby candidates in the order of affinity to `key`, and behind
  /// them up to `count` others in that order. As inAffinityOrder() where all are nearby.
  std::vector<std::size_t> inAffinityOrderNearbyFirst(std::uint64_t key, std::size_t count) const;
  /// Sorts the first `count` of the positions by affinity to `key`.
  void sortByAffinity(std::vector<std::size_t>& positions, std::size_t count,
                      std::uint64_t key) const;
  /// Sum of max(outstanding, reportedRequests) over all candidates.
  std::size_t totalRequests() const { return totalRequests_; }
  /// Prompt tokens that all candidates have yet to prefill.
  std::size_t totalPrefillTokens() const { return totalPrefillTokens_; }
  /// Whether any candidate stands in the router's own region.
  bool anyNearby() const { return distant_ < candidates_.size(); }
  bool allNearby() const { return distant_ == 0; }

  /// Sets up to this size are ranked or scanned as a whole.
  static constexpr std::size_t kSmall = 256;

 private:
  struct RingPoint {
    std::uint64_t hash = 0;
    std::size_t position = 0;
  };
  struct Ranked {
    std::uint64_t order = 0;
    std::size_t position = 0;
  };

  std::vector<Ranked> rankAll(std::uint64_t key) const;
  std::vector<Ranked> rankByProbes(std::uint64_t key, std::size_t count) const;
  /// Index of the first ring point whose hash is not below `hash`; the ring's size if there is
  /// none.
  std::size_t firstPointFrom(std::uint64_t hash) const;
  RingPoint& ringPointOf(std::size_t position);
  void rebuildStarts();

  std::vector<Candidate> candidates_;
  std::vector<std::uint64_t> idHashes_;
  std::unordered_map<BackendId, std::size_t> positions_;
  /// One point a candidate, sorted by hash.
  std::vector<RingPoint> ring_;
  /// For each value of the hash's upper bits, where its points begin. Saves a binary search: the
  /// hashes are uniform, so about one point shares the same upper bits.
  std::vector<std::uint32_t> starts_;
  unsigned startsShift_ = 0;
  std::size_t totalRequests_ = 0;
  std::size_t totalPrefillTokens_ = 0;
  /// Candidates that are not nearby.
  std::size_t distant_ = 0;
};

/// Prompt tokens that wait there: the report, and what this router has sent since.
std::size_t prefillTokensAt(const Candidate& candidate);

/// The requests that a candidate has, by the routers' counts or its report, whichever is more.
std::size_t requestsAt(const Candidate& candidate);

/// Tokens of the requests that routers have under way there.
std::size_t tokensAt(const Candidate& candidate);

}  // namespace calicodrift::routing
