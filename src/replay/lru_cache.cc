#include "replay/lru_cache.h"

#include <algorithm>

namespace calicodrift::replay {

std::size_t LruCache::lookUpAndStore(const std::vector<BlockHash>& blocks) {
  std::size_t cached = 0;
  while (cached < blocks.size() && entries_.contains(blocks[cached])) {
    ++cached;
  }
  // The deepest block first, as the engines do it: the first blocks are evicted last.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    const auto found = entries_.find(*block);
    if (found != entries_.end()) {
      order_.splice(order_.end(), order_, found->second);
      continue;
    }
    if (entries_.size() >= capacity_) {
      entries_.erase(order_.front());
      order_.pop_front();
    }
    entries_[*block] = order_.insert(order_.end(), *block);
  }
  return cached;
}

double oracleHitRate(const Trace& trace, std::size_t totalBlocks) {
  LruCache cache(totalBlocks);
  double cachedTokens = 0;
  double promptTokens = 0;
  for (const TraceRequest& request : trace) {
    const std::size_t blocks = cache.lookUpAndStore(blocksOf(request));
    cachedTokens += static_cast<double>(blocks * kTraceBlockTokens);
    promptTokens += static_cast<double>(request.inputLength);
  }
  return promptTokens > 0 ? cachedTokens / promptTokens : 0;
}

}  // namespace calicodrift::replay
