#include "routing/cache_estimates.h"

#include <algorithm>

namespace calicodrift::routing {

std::size_t cachedBlocksAt(const std::vector<PrefixHolder>& holders, std::size_t position) {
  for (const PrefixHolder& holder : holders) {
    if (holder.position == position) {
      return holder.cachedBlocks;
    }
  }
  return 0;
}

std::vector<PrefixHolder> CacheEstimates::holders(const RouteRequest& request,
                                                  const CandidateSet& candidates,
                                                  MonotonicTime now) {
  depths_.clear();
  // A set that is nearly full may have evicted older holders of the block, so the next block may
  // list engines that this one does not.
  constexpr std::size_t kNearlyFull = index::PrefixIndex::kWays - 4;
  bool complete = false;
  for (std::size_t depth = 0; depth < request.blocks.size(); ++depth) {
    found_.clear();
    index_.findHolders(request.blocks[depth], now, found_);
    if (found_.empty()) {
      break;
    }
    for (const index::EngineSlot engine : found_) {
      extend(engine, depth, complete);
    }
    complete = found_.size() < kNearlyFull;
  }
  std::vector<PrefixHolder> holders;
  for (const Depth& item : depths_) {
    const auto position = candidates.find(index_.backendOf(item.engine));
    if (position && candidates[*position].incarnation == index_.incarnationOf(item.engine)) {
      holders.push_back({*position, item.blocks});
    }
  }
  return holders;
}

void CacheEstimates::extend(index::EngineSlot engine, std::size_t depth, bool contiguous) {
  const auto same = std::find_if(depths_.begin(), depths_.end(),
                                 [engine](const Depth& item) { return item.engine == engine; });
  if (same == depths_.end()) {
    if (depth == 0 || !contiguous) {
      depths_.push_back({engine, depth + 1});
    }
  } else if (same->blocks == depth || !contiguous) {
    same->blocks = depth + 1;
  }
}

void CacheEstimates::recordCached(const RouteRequest& request, const Candidate& backend,
                                  MonotonicTime now) {
  const auto engine = index_.slotOf(backend.id, backend.incarnation);
  if (!engine) {
    return;
  }
  for (const BlockHash block : request.blocks) {
    index_.add(block, *engine, now);
  }
}

void CacheEstimates::applyEvents(const CacheEventBatch& batch, MonotonicTime now) {
  const auto engine = index_.slotOf(batch.backend, batch.incarnation);
  if (!engine) {
    return;
  }
  for (const CacheEvent& event : batch.events) {
    if (event.stored) {
      index_.add(event.block, *engine, now);
    } else {
      index_.remove(event.block, *engine);
    }
  }
}

}  // namespace calicodrift::routing
