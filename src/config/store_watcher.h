#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <random>
#include <vector>

#include "config/bundle_holder.h"
#include "config/freshness_tracker.h"
#include "config/metrics.h"
#include "config/roster.h"
#include "config/store_view.h"
#include "http/client.h"
#include "object_api/object_api.h"

namespace calicodrift::config {

struct StoreWatcherSettings {
  std::vector<Endpoint> objectApi;
  /// Duration of one watch; each new watch confirms the active version.
  Milliseconds watchDuration{1000};
  /// True if other nodes may be discovered soon. The first read then waits for them, so that nodes
  /// restarting at the same time do not all read the store at once.
  bool waitForPeers = false;
  std::uint64_t seed = 0;
};

/// Watches the bundle in the store while StoreView::shouldRead() returns true. It never writes, so
/// two nodes that both consider themselves watchers do no harm.
class StoreWatcher {
 public:
  StoreWatcher(boost::asio::any_io_executor executor, StoreWatcherSettings settings,
               http::Client& client, Roster& roster, BundleHolder& holder,
               FreshnessTracker& freshness, ConfigMetrics& metrics, StoreView::Listener onAdopted);

  void start();

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> sleepRandomly(Milliseconds shortest, Milliseconds longest);
  /// Runs one watch until it ends. Returns false if the store failed.
  boost::asio::awaitable<bool> watchOnce();
  const Endpoint& endpoint() const;

  boost::asio::any_io_executor executor_;
  StoreWatcherSettings settings_;
  http::Client& client_;
  Roster& roster_;
  BundleHolder& holder_;
  ConfigMetrics& metrics_;
  StoreView view_;
  std::mt19937_64 random_;
  std::size_t failures_ = 0;
  /// Resource version up to which changes of the store were seen; 0 before the first read.
  object_api::ResourceVersion lastSeenVersion_;
};

}  // namespace calicodrift::config
