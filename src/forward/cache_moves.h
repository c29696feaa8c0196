#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/ids.h"
#include "fleet/saved_part.h"

namespace calicodrift::forward {

struct CacheMoveSettings {
  /// A view of the named weights that is older may miss that a roll-out has begun.
  Milliseconds weightsProofAge{700};
  /// Common parts below this are read as fast as they are moved, and their saves would fill the
  /// store's link.
  std::size_t leastTokens = 512;
  /// A part that is known to lie in the store is saved again only after this, as it may have been
  /// pushed out. Each save also brings the request's own part there, which nobody will fetch.
  Milliseconds saveTerm{60'000};
  /// After a store was lost, what others say of it may be from before.
  Milliseconds mistrustTerm{3000};
  /// Whether anything is moved at all, and saved.
  bool moves = true;
  bool saves = true;
};

/// What decides about moves for one dispatch.
struct CacheMoveQuery {
  WeightsVersion serverWeights;
  /// Since when newer weights than the server's are known; nothing where it has the newest.
  std::optional<MonotonicTime> outdatedSince;
  /// No newer weights were named before this time for certain.
  MonotonicTime weightsProvenAt{};
  /// A server that is believed to hold the common part, with its weights.
  std::optional<Endpoint> holder;
  WeightsVersion holderWeights;
  /// The store of kept cache for the common part, if one answers.
  std::optional<Endpoint> store;
  /// Names the common part and its cache scope; 0 where no other request may share any part.
  std::uint64_t sharedKey = 0;
  std::size_t sharedTokens = 0;
};

/// Names a store of kept cache between nodes.
std::uint64_t storeKeyOf(const Endpoint& store);

struct CacheMove {
  std::optional<Endpoint> fetchFrom;
  std::optional<Endpoint> saveTo;
};

/// Decides which cache is moved between model servers and the store of kept cache.
///
/// Invariant: no cache is fetched that other weights than the request's may have made. Cache is
/// found only under a scope that names the weights, and what a server makes under a scope could be
/// of other weights only while it loads newer ones, after these were named. So
/// - servers' cache is fetched, and cache is saved, only while no newer weights can have been named
///   unseen; orders to load wait longer than that (WeightsLoaderSettings::settleTime);
/// - the store's cache is fetched after that too, where this node knows it to have been saved
/// before
///   newer weights were named: the store keeps a part as it was first made.
class CacheMoves {
 public:
  explicit CacheMoves(CacheMoveSettings settings) : settings_(settings) {}

  CacheMove decide(const CacheMoveQuery& query, MonotonicTime now) const;
  /// A request that named the store to save to was answered in whole: its common part lies there.
  void onSaved(std::uint64_t sharedKey, const Endpoint& store, MonotonicTime now);
  /// Other nodes' requests did so, a short time ago.
  void learnSaved(const std::vector<fleet::SavedPart>& saves, MonotonicTime now);
  /// What this node's requests have saved since the last call.
  std::vector<fleet::SavedPart> takeSaves() { return std::exchange(untold_, {}); }
  /// The store may have restarted empty: what it gets from now on is kept as first made anew.
  void onStoreLost(const Endpoint& store, MonotonicTime now);

 private:
  CacheMoveSettings settings_;
  struct Save {
    std::uint64_t storeKey = 0;
    MonotonicTime firstAt{};
    MonotonicTime lastAt{};
  };
  /// Null where the part is not known to lie in this store.
  const Save* saveOf(std::uint64_t sharedKey, const std::optional<Endpoint>& store) const;
  void remember(const fleet::SavedPart& saved, MonotonicTime now);

  /// Where and when each common part was first known to be saved.
  std::unordered_map<std::uint64_t, Save> saves_;
  std::unordered_map<std::uint64_t, MonotonicTime> lostAt_;
  std::vector<fleet::SavedPart> untold_;
};

}  // namespace calicodrift::forward
