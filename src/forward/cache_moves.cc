#include "forward/cache_moves.h"

namespace calicodrift::forward {
CacheMove CacheMoves::decide(const CacheMoveQuery& query, MonotonicTime now) const {
  // Where none was named, servers hold the weights that they came with.
  const bool newest = !query.newestWeights || query.serverWeights == *query.newestWeights;
  const bool proven = now - query.weightsProvenAt <= settings_.weightsProofAge;
  if (!newest || !proven || !query.sharesPrompt) {
    return {};
  }
  CacheMove move;
  if (query.holder && query.holderWeights == query.serverWeights) {
    move.fetchFrom = query.holder;
  } else {
    move.fetchFrom = query.store;
  }
  // What the store holds already is not sent again, so that each request may save.
  move.saveTo = query.store;
  return move;
}

}  // namespace calicodrift::forward
