#include "routing/prefix_index_with_load.h"

#include <algorithm>
#include <limits>

#include "routing/cost.h"

namespace calicodrift::routing {

PrefixIndexWithLoad::PrefixIndexWithLoad(std::uint64_t seed)
    : random_(seed), cacheEstimates_(kMaxCacheEntries, kCacheEntryTtl) {}

Choice PrefixIndexWithLoad::choose(const RouteRequest& request, const CandidateSet& candidates,
                                   MonotonicTime now) {
  const std::vector<PrefixHolder> holders = cacheEstimates_.holders(request, candidates, now);
  std::vector<std::size_t> positions = sampledPositions(candidates, random_);
  for (const PrefixHolder& holder : holders) {
    positions.push_back(holder.position);
  }
  Choice best;
  double bestMs = std::numeric_limits<double>::infinity();
  for (const std::size_t position : withoutAvoided(request, candidates, std::move(positions))) {
    const std::size_t cached = cachedBlocksAt(holders, position);
    const Candidate& candidate = candidates[position];
    const double ms = queueDelayMs(candidate) + prefillMs(request, candidate, cached);
    if (ms < bestMs) {
      bestMs = ms;
      best = {position, cached, cached > 0 ? "prefix believed cached" : "shortest queue"};
    }
  }
  return best;
}

void PrefixIndexWithLoad::onDispatched(const RouteRequest& request, const Candidate& backend,
                                       MonotonicTime now) {
  cacheEstimates_.recordCached(request, backend, now);
}

void PrefixIndexWithLoad::onCompleted(const RouteRequest& request, const Candidate& backend,
                                      std::size_t /*cachedTokens*/, MonotonicTime now) {
  cacheEstimates_.recordCached(request, backend, now);
}

void PrefixIndexWithLoad::onCacheEvents(const CacheEventBatch& batch, MonotonicTime now) {
  cacheEstimates_.applyEvents(batch, now);
}

void PrefixIndexWithLoad::onBackendLost(const BackendId& backend) {
  cacheEstimates_.forget(backend);
}

}  // namespace calicodrift::routing
