#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "routing/hash_ring.h"

namespace calicodrift::routing {

/// A router's view of one usable back end.
struct Candidate {
  BackendId id;
  /// The estimated cache content is valid for this incarnation only.
  Incarnation incarnation;
  WeightsVersion weights;
  /// Requests that this router has dispatched and that have not ended yet, as far as it knows.
  std::size_t outstanding = 0;
  /// Prompt and output tokens of those requests.
  std::size_t outstandingTokens = 0;
  /// Requests waiting or running, from the back end's own report, which lags.
  std::size_t reportedRequests = 0;
  /// Prompt tokens that the back end has yet to prefill, from the same report.
  std::size_t reportedPrefillTokens = 0;
  /// Prompt tokens to prefill that this router has sent since that report.
  std::size_t sentPrefillTokens = 0;
  /// Requests, tokens and prefill tokens that other routers have in progress there, as they last
  /// reported.
  std::size_t peerRequests = 0;
  std::size_t peerTokens = 0;
  std::size_t peerPrefillTokens = 0;
  /// Number of requests that it runs concurrently, and of tokens that fit into its memory; 0 if
  /// unknown.
  std::size_t slots = 0;
  std::size_t memoryTokens = 0;
  /// Longest allowed pause of the streams that run there, in milliseconds; 0 if there is no bound.
  double maxStreamPauseMs = 0;
  /// Prefill rate in prompt tokens per millisecond.
  double prefillTokensPerMs = kDefaultPrefillTokensPerMs;
  /// Network round-trip time in milliseconds.
  double rttMs = 0;
  /// Whether the back end is in the router's own region.
  bool nearby = true;

  static constexpr double kDefaultPrefillTokensPerMs = 8.0;
};

/// The usable back ends of one model and weights version, or of one service. Updated incrementally,
/// so that the cost of a request does not depend on the number of back ends; a decision examines
/// only a few of them. Positions change when a candidate is removed, so they are valid within one
/// decision only.
class CandidateSet {
 public:
  bool empty() const { return candidates_.empty(); }
  std::size_t size() const { return candidates_.size(); }
  const Candidate& operator[](std::size_t position) const { return candidates_[position]; }
  std::optional<std::size_t> find(const BackendId& id) const;

  /// Adds a candidate or replaces the one with the same id.
  void put(Candidate candidate);
  void erase(const BackendId& id);

  /// Returns up to `count` positions in order of affinity to `key`. The order depends only on the
  /// key and the ids, so all routers agree, and a change of one back end moves only its own keys.
  /// Small sets are ranked by rendezvous hashing, large ones by multi-probe consistent hashing in
  /// O(count).
  std::vector<std::size_t> inAffinityOrder(std::uint64_t key, std::size_t count) const;
  /// Returns up to `count` positions of nearby candidates in order of affinity to `key`, followed
  /// by up to `count` others in that order. Equals inAffinityOrder() if all are nearby.
  std::vector<std::size_t> inAffinityOrderNearbyFirst(std::uint64_t key, std::size_t count) const;
  /// Sorts the first `count` of the positions by affinity to `key`.
  void sortByAffinity(std::vector<std::size_t>& positions, std::size_t count,
                      std::uint64_t key) const;
  /// Sum of requestsAt() over all candidates.
  std::size_t totalRequests() const { return totalRequests_; }
  /// Prompt tokens that all candidates have yet to prefill.
  std::size_t totalPrefillTokens() const { return totalPrefillTokens_; }
  /// Whether any candidate is in the router's own region.
  bool anyNearby() const { return distantCount_ < candidates_.size(); }
  bool allNearby() const { return distantCount_ == 0; }
  /// See HashRing::pointMoves().
  std::size_t pointMoves() const { return ring_.pointMoves(); }

  /// Sets up to this size are ranked or scanned completely.
  static constexpr std::size_t kSmallSetSize = 256;

 private:
  struct Ranked {
    std::uint64_t order = 0;
    std::size_t position = 0;
  };

  std::vector<Ranked> rankAll(std::uint64_t key) const;
  std::vector<Ranked> rankByProbes(std::uint64_t key, std::size_t count) const;

  std::vector<Candidate> candidates_;
  std::vector<std::uint64_t> idHashes_;
  std::unordered_map<BackendId, std::size_t> positions_;
  /// One point per candidate.
  HashRing ring_;
  std::size_t totalRequests_ = 0;
  std::size_t totalPrefillTokens_ = 0;
  /// Number of candidates that are not nearby.
  std::size_t distantCount_ = 0;
};

/// Prompt tokens queued on the candidate: its report, and what this router and others have sent.
std::size_t prefillTokensAt(const Candidate& candidate);

/// Requests on the candidate: the larger of the routers' count and its own report.
std::size_t requestsAt(const Candidate& candidate);

/// Tokens of the requests that routers have in progress on the candidate.
std::size_t tokensAt(const Candidate& candidate);

}  // namespace calicodrift::routing
