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

/// Routing policies: which back end serves a request. The same code runs in the live router and in
/// the virtual-time replay; nothing here reads a clock or does I/O.
namespace calicodrift::routing {

/// What a policy may know of a request.
struct RouteRequest {
  TenantId tenant;
  ModelId model;
  Priority priority = Priority::kNormal;
  /// Chain hashes of the prompt's whole blocks.
  std::vector<BlockHash> blocks;
  std::size_t promptTokens = 0;
  std::size_t outputTokens = 0;
  /// Prompt tokens in one block.
  std::size_t blockTokens = kDefaultBlockTokens;
  /// Back ends that already failed this request; used again only where there is no other.
  std::vector<BackendId> avoided;
  /// Leading blocks that other requests may share; the rest is the request's own.
  std::size_t sharedBlocks = 0;
  /// Prompt tokens in those blocks; 0 where it is not known.
  std::size_t sharedTokens = 0;
  /// This router decides for every request that shares the prompt's first blocks, so it knows of
  /// all that was sent. Otherwise other routers' dispatches are known by cache events only.
  bool decidedHereOnly = false;

  static constexpr std::size_t kDefaultBlockTokens = 512;
};

/// A change of an engine's cache as the engine published it.
struct CacheEvent {
  bool stored = true;
  BlockHash block;
};

/// Consecutive cache events of one engine. Batches come late and some never come.
struct CacheEventBatch {
  BackendId backend;
  Incarnation incarnation;
  /// Number of the first event; a step over more than the last batch's events is a gap.
  std::uint64_t firstSequence = 0;
  std::vector<CacheEvent> events;
};

using Random = std::mt19937_64;

/// A policy's decision.
struct Choice {
  /// Position in the candidates.
  std::size_t index = 0;
  /// Blocks of the request that the policy believes to be cached there.
  std::size_t expectedCachedBlocks = 0;
  /// For `explain`: why this one.
  std::string_view reason;
  /// Position of another candidate that is believed to hold more of the prompt.
  std::optional<std::size_t> holder = std::nullopt;
};

/// Chooses a back end for a request. One policy a file; the bundle names it by its class's name.
class Policy {
 public:
  virtual ~Policy() = default;
  /// The class's name, as in the bundle.
  virtual std::string_view name() const = 0;
  /// @param candidates usable back ends of the request's model; never empty.
  virtual Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                        MonotonicTime now) = 0;
  /// The request left for the chosen back end.
  virtual void onDispatched(const RouteRequest& /*request*/, const Candidate& /*backend*/,
                            MonotonicTime /*now*/) {}
  /// The back end answered; `cachedTokens` of the prompt came from its cache.
  virtual void onCompleted(const RouteRequest& /*request*/, const Candidate& /*backend*/,
                           std::size_t /*cachedTokens*/, MonotonicTime /*now*/) {}
  virtual void onCacheEvents(const CacheEventBatch& /*batch*/, MonotonicTime /*now*/) {}
  /// The back end is gone or came back as another incarnation; every belief about it is void.
  virtual void onBackendLost(const BackendId& /*backend*/) {}
};

/// Positions to weigh where no order is asked for: all of a small set, a random few of a large one.
std::vector<std::size_t> sampledPositions(const CandidateSet& candidates, Random& random);

/// The positions without those that already failed this request; all of them where none is left.
std::vector<std::size_t> withoutAvoided(const RouteRequest& request, const CandidateSet& candidates,
                                        std::vector<std::size_t> positions);

/// Makes a policy by its name, or null for an unknown one.
/// @param seed for the policies that draw random numbers; equal seeds give equal decisions.
std::unique_ptr<Policy> makePolicy(std::string_view name, std::uint64_t seed);

/// Names of all policies, in the order of the documentation.
const std::vector<std::string_view>& policyNames();

}  // namespace calicodrift::routing
