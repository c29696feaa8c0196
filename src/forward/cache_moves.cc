#include "forward/cache_moves.h"

#include "common/hashing.h"

namespace calicodrift::forward {
namespace {

/// Common prefixes whose save is remembered; beyond this number all are forgotten.
constexpr std::size_t kMaxRememberedSaves = 16'384;
/// Saves that wait to be reported to other nodes; further ones are not reported.
constexpr std::size_t kMaxUnreportedSaves = 1024;

}  // namespace

std::uint64_t storeKeyOf(const Endpoint& store) {
  return hashBytes(store.toString());
}

CacheMove CacheMoves::decide(const CacheMoveQuery& query, MonotonicTime now) const {
  const bool tooShort = query.sharedKey == 0 || query.sharedTokens < settings_.minTokens;
  if (!settings_.moves || tooShort) {
    return {};
  }
  const Save* known = findSave(query.sharedKey, query.store);
  const bool proven = now - query.weightsProvenAt <= settings_.weightsProofAge;
  if (!query.outdatedSince && proven) {
    // A server may have evicted the prefix; a store that received it recently still has it.
    const bool fromHolder =
        known == nullptr && query.holder && query.holderWeights == query.serverWeights;
    const bool inStore = known != nullptr && now - known->lastAt < settings_.resaveInterval;
    const bool save = settings_.saves && !inStore;
    return {fromHolder ? query.holder : query.store, save ? query.store : std::nullopt};
  }
  const MonotonicTime validBefore = query.outdatedSince.value_or(query.weightsProvenAt);
  if (known != nullptr && known->firstAt < validBefore) {
    return {query.store, std::nullopt};
  }
  return {};
}

const CacheMoves::Save* CacheMoves::findSave(std::uint64_t sharedKey,
                                             const std::optional<Endpoint>& store) const {
  const auto found = saves_.find(sharedKey);
  const bool matches =
      found != saves_.end() && store && found->second.storeKey == storeKeyOf(*store);
  return matches ? &found->second : nullptr;
}

void CacheMoves::onSaved(std::uint64_t sharedKey, const Endpoint& store, MonotonicTime now) {
  const fleet::SavedPart saved{sharedKey, storeKeyOf(store)};
  remember(saved, now);
  if (unreportedSaves_.size() < kMaxUnreportedSaves) {
    unreportedSaves_.push_back(saved);
  }
}

void CacheMoves::applyPeerSaves(const std::vector<fleet::SavedPart>& saves, MonotonicTime now) {
  for (const fleet::SavedPart& saved : saves) {
    const auto lost = storeLostAt_.find(saved.store);
    if (lost == storeLostAt_.end() || now - lost->second >= settings_.distrustPeriod) {
      remember(saved, now);
    }
  }
}

void CacheMoves::remember(const fleet::SavedPart& saved, MonotonicTime now) {
  if (saves_.size() >= kMaxRememberedSaves) {
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
  storeLostAt_[storeKey] = now;
  std::erase_if(saves_, [storeKey](const auto& save) { return save.second.storeKey == storeKey; });
}

}  // namespace calicodrift::forward
