#pragma once

#include <cstddef>
#include <functional>
#include <optional>

#include "common/clock.h"
#include "config/bundle_holder.h"
#include "config/freshness_tracker.h"
#include "config/metrics.h"
#include "config/roster.h"
#include "object_api/object_api.h"

namespace calicodrift::config {

/// Decides whether this node reads the store and processes the events read: adopts newer bundles
/// and confirms the active version. Performs no I/O.
class StoreView {
 public:
  using Listener = std::function<void()>;

  /// @param onAdopted called after a bundle from the store was adopted.
  StoreView(const Roster& roster, BundleHolder& holder, FreshnessTracker& freshness,
            ConfigMetrics& metrics, Listener onAdopted);

  /// True if this node should read the store now: as a watcher, or as one of the next few nodes in
  /// the order if no confirmation has arrived for half of the term. The latter covers the time in
  /// which dead watchers are still considered alive. Each successor waits a little longer than the
  /// one before it, so that the confirmations of the first one keep the others from reading.
  bool shouldRead(MonotonicTime now);
  void handleObject(const object_api::StoredObject& object);
  /// Handles a bookmark: the state of the store as of `readAt` is known. `versionThen` was active
  /// at this node at that time.
  void handleBookmark(MonotonicTime readAt, BundleVersion versionThen);

 private:
  static constexpr std::size_t kSuccessors = 4;
  static constexpr Milliseconds kSuccessorStep{500};

  const Roster& roster_;
  BundleHolder& holder_;
  FreshnessTracker& freshness_;
  ConfigMetrics& metrics_;
  Listener onAdopted_;
  std::optional<MonotonicTime> firstCheckedAt_;
  /// Version and digest in the store; the digest is 0 if the store holds no valid bundle.
  BundleVersion storeVersion_;
  BundleDigest storeDigest_;
};

}  // namespace calicodrift::config
