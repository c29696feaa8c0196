#include "forward/cache_moves.h"

namespace calicodrift::forward {
namespace {

/// Common parts whose save is remembered; all are forgotten beyond.
constexpr std::size_t kRememberedSaves = 16'384;

}  // namespace

CacheMove CacheMoves::decide(const CacheMoveQuery& query, MonotonicTime now) const {
  if (query.sharedKey == 0 || query.sharedTokens < settings_.leastTokens) {
    return {};
  }
  const bool proven = now - query.weightsProvenAt <= settings_.weightsProofAge;
  if (!query.outdatedSince && proven) {
    const bool fromHolder = query.holder && query.holderWeights == query.serverWeights;
    // What the store holds already is not sent again, so that each request may save.
    return {fromHolder ? query.holder : query.store, query.store};
  }
  const MonotonicTime cleanUntil = query.outdatedSince.value_or(query.weightsProvenAt);
  const auto saved = savedAt_.find(query.sharedKey);
  if (saved != savedAt_.end() && saved->second < cleanUntil) {
    return {query.store, std::nullopt};
  }
  return {};
}

void CacheMoves::onSaved(std::uint64_t sharedKey, MonotonicTime now) {
  if (savedAt_.size() >= kRememberedSaves) {
    savedAt_.clear();
  }
  savedAt_.emplace(sharedKey, now);
}

}  // namespace calicodrift::forward
