#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <random>
#include <vector>

#include "config/bundle_holder.h"
#include "config/metrics.h"
#include "config/roster.h"
#include "config/store_view.h"
#include "config/vouching.h"
#include "http/client.h"
#include "object_api/object_api.h"

namespace calicodrift::config {

struct StoreWatcherSettings {
  std::vector<Endpoint> objectApi;
  /// Length of one watch; each new one confirms the version in force.
  Milliseconds watchDuration{1000};
  /// Whether other nodes may be known soon; then the first read waits for them, so that a herd of
  /// restarted nodes doesn't read the store all at once.
  bool joinsPeers = false;
  std::uint64_t seed = 0;
};

/// Watches the bundle in the store while StoreView::shouldRead() says so. Writes
/// nothing, so that two nodes that both believe to be the watcher do no harm.
class StoreWatcher {
 public:
  StoreWatcher(boost::asio::any_io_executor executor, StoreWatcherSettings settings,
               http::Client& client, Roster& roster, BundleHolder& holder, Vouching& vouching,
               ConfigMetrics& metrics, StoreView::Listener onAdopted);

  void start();

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> pause(Milliseconds shortest, Milliseconds longest);
  /// One watch until its end; false where the store failed.
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
  /// How far the store's changes were seen; 0 before the first read.
  object_api::ResourceVersion seen_;
};

}  // namespace calicodrift::config
