#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "common/clock.h"
#include "config/bundle_holder.h"
#include "config/metrics.h"
#include "config/roster.h"
#include "config/vouching.h"
#include "object_api/object_api.h"

namespace calicodrift::config {

/// Who reads the store, and what a reader makes of its events: adopts newer bundles and confirms
/// the version in force. Does no I/O.
class StoreView {
 public:
  using Listener = std::function<void()>;

  /// @param onAdopted called after a bundle from the store came into force.
  StoreView(const Roster& roster, BundleHolder& holder, Vouching& vouching, ConfigMetrics& metrics,
            Listener onAdopted);

  /// Whether this node reads the store now: as a watcher, or as one of the next few in the order
  /// while no confirmation has come for half of the term. The latter bridges the time in which dead
  /// watchers are still believed alive; each successor waits a little longer than the one before,
  /// so that the first one's confirmations keep the others from reading.
  bool shouldRead(MonotonicTime now);
  void takeObject(const object_api::StoredObject& object);
  /// The store's state as of `readAt` is known; `versionThen` was in force here at that moment.
  void takeBookmark(MonotonicTime readAt, BundleVersion versionThen);

 private:
  static constexpr std::size_t kSuccessors = 4;
  static constexpr Milliseconds kSuccessorStep{500};

  const Roster& roster_;
  BundleHolder& holder_;
  Vouching& vouching_;
  ConfigMetrics& metrics_;
  Listener onAdopted_;
  std::optional<MonotonicTime> firstAsked_;
  /// What the store holds; digest 0 where that is no valid bundle.
  BundleVersion storeVersion_;
  BundleDigest storeDigest_;
};

}  // namespace calicodrift::config
