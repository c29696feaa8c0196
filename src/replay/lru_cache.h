#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>
#include <vector>

#include "replay/trace.h"

namespace calicodrift::replay {

/// A prefix cache of one site in which every event is known at once, least recently used out first.
class LruCache {
 public:
  explicit LruCache(std::size_t blocks) : capacity_(blocks) {}

  /// Blocks at the start of the prompt that are cached; all of the prompt is cached afterwards.
  std::size_t lookUpAndStore(const std::vector<BlockHash>& blocks);

 private:
  std::size_t capacity_;
  /// Least recently used first.
  std::list<BlockHash> order_;
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> entries_;
};

/// Hit rate by tokens of one cache with the capacity of all engines together.
double oracleHitRate(const Trace& trace, std::size_t totalBlocks);

}  // namespace calicodrift::replay
