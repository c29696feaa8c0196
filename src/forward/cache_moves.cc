#include "forward/cache_moves.h"

#include "common/hashing.h"

namespace calicodrift::forward {
namespace {

/// Common parts whose save is remembered; all are forgotten beyond.
constexpr std::size_t kRememberedSaves = 16'384;
/// Saves that wait to be told to other nodes; others are not told.
constexpr std::size_t kMostUntold = 1024;

}  // namespace

std::uint64_t storeKeyOf(const Endpoint& store) {
  return hashBytes(store.toString());
}

CacheMove CacheMoves::decide(const CacheMoveQuery& query, MonotonicTime now) const {
  const bool tooShort = query.sharedKey == 0 || query.sharedTokens < settings_.leastTokens;
  if (!settings_.moves || tooShort) {
    return {};
  }
  const Save* known = saveOf(query.sharedKey, query.store);
  const bool proven = now - query.weightsProvenAt <= settings_.weightsProofAge;
  if (!query.outdatedSince && proven) {
    // A server may have pushed the part out; a store that got it a short time ago still has it.
    const bool fromHolder =
        known == nullptr && query.holder && query.holderWeights == query.serverWeights;
    const bool lies = known != nullptr && now - known->lastAt < settings_.saveTerm;
    const bool save = settings_.saves && !lies;
    return {fromHolder ? query.holder : query.store, save ? query.store : std::nullopt};
  }
  const MonotonicTime cleanUntil = query.outdatedSince.value_or(query.weightsProvenAt);
  if (known != nullptr && known->firstAt < cleanUntil) {
    return {query.store, std::nullopt};
  }
  return {};
}

const CacheMoves::Save* CacheMoves::saveOf(std::uint64_t sharedKey,
                                           const std::optional<Endpoint>& store) const {
  const auto found = saves_.find(sharedKey);
  const bool there = found != saves_.end() && store && found->second.storeKey == storeKeyOf(*store);
  return there ? &found->second : nullptr;
}

void CacheMoves::onSaved(std::uint64_t sharedKey, const Endpoint& store, MonotonicTime now) {
  const fleet::SavedPart saved{sharedKey, storeKeyOf(store)};
  remember(saved, now);
  if (untold_.size() < kMostUntold) {
    untold_.push_back(saved);
  }
}

void CacheMoves::learnSaved(const std::vector<fleet::SavedPart>& saves, MonotonicTime now) {
  for (const fleet::SavedPart& saved : saves) {
    const auto lost = lostAt_.find(saved.store);
    if (lost == lostAt_.end() || now - lost->second >= settings_.mistrustTerm) {
      remember(saved, now);
    }
  }
}

void CacheMoves::remember(const fleet::SavedPart& saved, MonotonicTime now) {
  if (saves_.size() >= kRememberedSaves) {
    saves_.clear();
  }
  const auto [known, added] = saves_.try_emplace(saved.part, Save{saved.store, now, now});
  if (!added && known->second.storeKey != saved.store) {
    known->second = Save{saved.store, now, now};
  }
  known->second.lastAt = now;
}

void CacheMoves::onStoreLost(const Endpoint& store, MonotonicTime now) {
  const std::uint64_t storeKey = storeKeyOf(store);
  lostAt_[storeKey] = now;
  std::erase_if(saves_, [storeKey](const auto& save) { return save.second.storeKey == storeKey; });
}

}  // namespace calicodrift::forward
