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
  const auto saved = saves_.find(query.sharedKey);
  if (saved != saves_.end() && saved->second.store == query.store &&
      saved->second.at < cleanUntil) {
    return {query.store, std::nullopt};
  }
  return {};
}

void CacheMoves::onSaved(std::uint64_t sharedKey, const Endpoint& store, MonotonicTime now) {
  if (saves_.size() >= kRememberedSaves) {
    saves_.clear();
  }
  const auto known = saves_.find(sharedKey);
  if (known == saves_.end() || known->second.store != store) {
    saves_.insert_or_assign(sharedKey, Save{store, now});
  }
}

void CacheMoves::onStoreLost(const Endpoint& store) {
  std::erase_if(saves_, [&store](const auto& save) { return save.second.store == store; });
}

}  // namespace calicodrift::forward
