#pragma once

#include <cstddef>
#include <vector>

#include "index/prefix_index.h"
#include "routing/policy.h"

namespace calicodrift::routing {

/// A candidate that is believed to hold the first blocks of a request.
struct PrefixHolder {
  /// Position in the candidate set.
  std::size_t position = 0;
  std::size_t cachedBlocks = 0;
};

/// Number of blocks that the candidate at `position` is believed to hold; 0 if it is not a holder.
std::size_t cachedBlocksAt(const std::vector<PrefixHolder>& holders, std::size_t position);

/// Cache index entries per policy and router. They take 10 MB: one million entries, plus spare
/// capacity so that few are evicted from a full set before that number is reached.
inline constexpr std::size_t kMaxCacheEntries = 1'250'000;
/// Lifetime of an unconfirmed entry. Engines evict within seconds to minutes.
inline constexpr Milliseconds kCacheEntryTtl{900'000};

/// Estimates which engines hold which cached blocks, from three sources: the router's own
/// dispatches, the cached token counts of answers, and cache events. Shared by the policies that
/// use an index.
class CacheEstimates {
 public:
  /// @param maxEntries maximum number of entries, 8 bytes each.
  CacheEstimates(std::size_t maxEntries, Milliseconds ttl) : index_(maxEntries, ttl) {}

  /// Candidates that are believed to hold a prefix of the prompt, each with its longest one. Only
  /// entries for the candidates' current incarnations are returned.
  std::vector<PrefixHolder> holders(const RouteRequest& request, const CandidateSet& candidates,
                                    MonotonicTime now);
  /// Records that the whole prompt is cached on the back end, or will be soon because the request
  /// was sent there.
  void recordCached(const RouteRequest& request, const Candidate& backend, MonotonicTime now);
  void applyEvents(const CacheEventBatch& batch, MonotonicTime now);
  void forget(const BackendId& backend) { index_.forget(backend); }
  const index::PrefixIndex& index() const { return index_; }

 private:
  struct Depth {
    index::EngineSlot engine = 0;
    std::size_t blocks = 0;
  };

  /// Records that the engine holds the block at `depth`.
  /// @param contiguous count the block only if the engine also holds all earlier blocks.
  void extend(index::EngineSlot engine, std::size_t depth, bool contiguous);

  index::PrefixIndex index_;
  /// Buffers reused between decisions.
  std::vector<index::EngineSlot> found_;
  std::vector<Depth> depths_;
};

}  // namespace calicodrift::routing
