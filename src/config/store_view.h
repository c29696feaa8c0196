#pragma once

#include <functional>

#include "common/clock.h"
#include "config/bundle_holder.h"
#include "config/metrics.h"
#include "config/vouching.h"
#include "platform/object_api.h"

namespace calicodrift::config {

/// What a watcher makes of the store's events: adopts newer bundles and confirms the version in
/// force. Does no I/O.
class StoreView {
 public:
  using Listener = std::function<void()>;

  /// @param onAdopted called after a bundle from the store came into force.
  StoreView(BundleHolder& holder, Vouching& vouching, ConfigMetrics& metrics, Listener onAdopted);

  void takeObject(const platform::StoredObject& object);
  /// The store's state as of `readAt` is known; `versionThen` was in force here at that moment.
  void takeBookmark(MonotonicTime readAt, BundleVersion versionThen);

 private:
  BundleHolder& holder_;
  Vouching& vouching_;
  ConfigMetrics& metrics_;
  Listener onAdopted_;
  /// What the store holds; digest 0 where that is no valid bundle.
  BundleVersion storeVersion_;
  BundleDigest storeDigest_;
};

}  // namespace calicodrift::config
