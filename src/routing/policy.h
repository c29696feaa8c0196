#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/hashing.h"
#include "common/ids.h"
#include "common/priority.h"
#include "routing/candidate_set.h"

/// Routing policies, which choose the back end for a request. The live router and the virtual-time
/// replay run the same code; nothing here reads a clock or does I/O.
namespace calicodrift::routing {

/// The properties of a request that a policy may use.
struct RouteRequest {
  TenantId tenant;
  ModelId model;
  Priority priority = Priority::kNormal;
  /// Chained hashes of the prompt's complete blocks.
  std::vector<BlockHash> blocks;
  std::size_t promptTokens = 0;
  std::size_t outputTokens = 0;
  /// Prompt tokens in one block.
  std::size_t blockTokens = kDefaultBlockTokens;
  /// Back ends that already failed this request; used again only if there is no other.
  std::vector<BackendId> avoided;
  /// Number of leading blocks that other requests may share; the rest is specific to the request.
  std::size_t sharedBlocks = 0;
  /// Prompt tokens in those blocks; 0 if unknown.
  std::size_t sharedTokens = 0;
  /// Whether this router decides all requests that share the prompt's first blocks, so that it
  /// knows all dispatches. Otherwise other routers' dispatches are known from cache events only.
  bool decidedOnlyByThisRouter = false;

  static constexpr std::size_t kDefaultBlockTokens = 512;
};

/// A change of an engine's cache, as published by the engine.
struct CacheEvent {
  bool stored = true;
  BlockHash block;
};

/// Consecutive cache events of one engine. Batches arrive late, and some are lost.
struct CacheEventBatch {
  BackendId backend;
  Incarnation incarnation;
  /// Sequence number of the first event; there is a gap if it exceeds the last batch's by more than
  /// the number of that batch's events.
  std::uint64_t firstSequence = 0;
  std::vector<CacheEvent> events;
};

using Random = std::mt19937_64;

/// A policy's decision.
struct Choice {
  /// Position in the candidate set.
  std::size_t index = 0;
  /// Number of the request's blocks that the policy believes to be cached there.
  std::size_t expectedCachedBlocks = 0;
  /// Reason for the choice, for `explain`.
  std::string_view reason;
  /// Position of another candidate that is believed to hold more of the prompt.
  std::optional<std::size_t> holder = std::nullopt;
};

/// Chooses a back end for each request. Each policy has its own file; bundles refer to it by its
/// class name.
class Policy {
 public:
  virtual ~Policy() = default;
  /// The class name, as used in bundles.
  virtual std::string_view name() const = 0;
  /// @param candidates usable back ends of the request's model; must not be empty.
  virtual Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                        MonotonicTime now) = 0;
  /// Called after the request was sent to the chosen back end.
  virtual void onDispatched(const RouteRequest& /*request*/, const Candidate& /*backend*/,
                            MonotonicTime /*now*/) {}
  /// Called after the back end answered; `cachedTokens` of the prompt came from its cache.
  virtual void onCompleted(const RouteRequest& /*request*/, const Candidate& /*backend*/,
                           std::size_t /*cachedTokens*/, MonotonicTime /*now*/) {}
  virtual void onCacheEvents(const CacheEventBatch& /*batch*/, MonotonicTime /*now*/) {}
  /// Called when the back end was removed or came back as another incarnation; discards all
  /// information about it.
  virtual void onBackendLost(const BackendId& /*backend*/) {}
};

/// Positions to compare if no order is required: all of a small set, a random sample of a large
/// one.
std::vector<std::size_t> sampledPositions(const CandidateSet& candidates, Random& random);

/// Returns the positions without those that already failed this request, or all of them if none
/// would remain.
std::vector<std::size_t> withoutAvoided(const RouteRequest& request, const CandidateSet& candidates,
                                        std::vector<std::size_t> positions);

/// Creates a policy by its name; returns null if the name is unknown.
/// @param seed seed of the policies that use random numbers; equal seeds give equal decisions.
std::unique_ptr<Policy> makePolicy(std::string_view name, std::uint64_t seed);

/// Names of all policies, in documentation order.
const std::vector<std::string_view>& policyNames();

}  // namespace calicodrift::routing
