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
  /// A view of the named weights older than this may miss that a roll-out has begun.
  Milliseconds weightsProofAge{700};
  /// Shorter common prefixes are prefilled as fast as they are transferred, and saving them would
  /// saturate the store's link.
  std::size_t minTokens = 512;
  /// A prefix known to be in the store is saved again only after this time, because it may have
  /// been evicted. Each save also uploads the request's own part, which no other request fetches.
  Milliseconds resaveInterval{60'000};
  /// For this time after a store was lost, reports of other nodes about it may predate the loss.
  Milliseconds distrustPeriod{3000};
  /// Whether cache is transferred at all, and whether it is also saved to the store.
  bool moves = true;
  bool saves = true;
};

/// Input of the cache transfer decision for one dispatch.
struct CacheMoveQuery {
  WeightsVersion serverWeights;
  /// When newer weights than the server's became known; empty if the server has the newest.
  std::optional<MonotonicTime> outdatedSince;
  /// Until this time it is certain that no newer weights were named.
  MonotonicTime weightsProvenAt{};
  /// A server that is believed to hold the common prefix, and its weights.
  std::optional<Endpoint> holder;
  WeightsVersion holderWeights;
  /// The cache store responsible for the common prefix, if one responds.
  std::optional<Endpoint> store;
  /// Identifies the common prefix and its cache scope; 0 if no other request may share any part.
  std::uint64_t sharedKey = 0;
  std::size_t sharedTokens = 0;
};

/// Returns the hash that identifies a cache store between nodes.
std::uint64_t storeKeyOf(const Endpoint& store);

struct CacheMove {
  std::optional<Endpoint> fetchFrom;
  std::optional<Endpoint> saveTo;
};

/// Decides which cache is transferred between model servers and the cache store.
///
/// Invariant: no cache is fetched that weights other than the request's may have produced. Cache is
/// found only under a scope that names the weights, and a server can produce cache under a scope
/// with other weights only while it loads newer ones, after these were named. Therefore:
/// - cache is fetched from servers, and saved, only while no newer weights can have been named
///   without this node knowing; load orders wait longer than that
///   (WeightsLoaderSettings::settleTime);
/// - cache is fetched from the store after that too if this node knows that it was saved before
///   newer weights were named, because the store keeps the first version of each part.
class CacheMoves {
 public:
  explicit CacheMoves(CacheMoveSettings settings) : settings_(settings) {}

  CacheMove decide(const CacheMoveQuery& query, MonotonicTime now) const;
  /// Records that a request with this save target was answered completely, so the store holds its
  /// common prefix.
  void onSaved(std::uint64_t sharedKey, const Endpoint& store, MonotonicTime now);
  /// Records saves of other nodes' requests that were completed a short time ago.
  void applyPeerSaves(const std::vector<fleet::SavedPart>& saves, MonotonicTime now);
  /// Returns and clears the saves of this node's requests since the last call.
  std::vector<fleet::SavedPart> takeSaves() { return std::exchange(unreportedSaves_, {}); }
  /// Forgets the saves of a store that may have restarted empty: it then keeps the first version it
  /// receives after the restart.
  void onStoreLost(const Endpoint& store, MonotonicTime now);

 private:
  CacheMoveSettings settings_;
  struct Save {
    std::uint64_t storeKey = 0;
    MonotonicTime firstAt{};
    MonotonicTime lastAt{};
  };
  /// Returns null if the part is not known to be in this store.
  const Save* findSave(std::uint64_t sharedKey, const std::optional<Endpoint>& store) const;
  void remember(const fleet::SavedPart& saved, MonotonicTime now);

  /// The store that holds each common prefix, and when the save was first known.
  std::unordered_map<std::uint64_t, Save> saves_;
  std::unordered_map<std::uint64_t, MonotonicTime> storeLostAt_;
  std::vector<fleet::SavedPart> unreportedSaves_;
};

}  // namespace calicodrift::forward
