#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/background_worker.h"
#include "fleet/server_pool.h"
#include "forward/forwarder.h"
#include "gateway/gateway_settings.h"
#include "gateway/server_entries.h"
#include "gateway/store_schema.h"
#include "gateway/unreadable_objects.h"
#include "store/kind_watcher.h"
#include "weights/weights_targets.h"

namespace calicodrift::gateway {

/// What the node does when its views change.
struct ViewListeners {
  std::function<void(const routes::RouteTable&)> onTable;
  /// Called often, changed or not: no request may wait any longer for a beginning on weights below
  /// these.
  std::function<void(const ModelId&, WeightsVersion least)> onLeastWaiting;
  /// The list of servers has changed.
  std::function<void()> onServers;
  /// A server is listed anew or has another entry, which a later change of the same batch may have
  /// replaced; called before onServers.
  std::function<void(const fleet::Server&)> onServerEntry = [](const fleet::Server&) {};
  /// Servers may have come and gone unseen, as the list was read as a whole once more; called
  /// before onServers.
  std::function<void()> onServersMissed = [] {};
  /// serversProvenAt() may have risen.
  std::function<void()> onServersProven = [] {};
};

/// What a node knows from the store: the configuration in force, the list of servers and the
/// weights that were named. Keeps the pool and the targets in line with it.
///
/// Invariant: the configuration's version never falls while the process runs, as an object with a
/// version that is not above the one in force is not adopted.
class StoreViews {
 public:
  StoreViews(boost::asio::any_io_executor executor, store::ObjectStore& store,
             const StoreSchema& schema, const GatewaySettings& settings, fleet::ServerPool& pool,
             weights::WeightsTargets& targets, UnreadableObjects& unreadable,
             ViewListeners listeners);

  void start();
  /// The store is read by another way: pauses after failed calls end.
  void retryNow();
  forward::ConfigurationView configuration() const {
    return {table_, loadingSince_.value_or(configWatcher_.provenAt()),
            store_.lastBytesAt(schema_.configurationKind())};
  }
  /// Null until the first configuration was read.
  std::shared_ptr<const routes::RouteTable> table() const { return table_; }
  forward::WeightsView weights(const ModelId& model, WeightsVersion version) const;
  /// Ages of namings were corrected.
  void onNamingsLearnt() { refreshLeastWeights(); }
  /// Removes versions whose term has expired; called before a choice, because the timer of a busy
  /// node is late.
  void removeExpiredWeights();
  /// Whether the list of servers and the named weights were read: before that nothing is known of
  /// which servers may get requests.
  bool synchronized() const {
    return serverWatcher_.synchronized() && weightsWatcher_.synchronized();
  }
  /// Until when the list of servers is known to have been the newest.
  MonotonicTime serversProvenAt() const { return serverWatcher_.provenAt(); }
  /// The named weights as they were read last.
  const std::map<ModelId, StoredWeights>& storedWeights() const { return storedWeights_; }

 private:
  store::KindWatcherSettings watcherSettings(std::string kind, Milliseconds wait) const;
  store::KindWatcherSettings configWatcherSettings() const;
  store::KindWatcherSettings serverWatcherSettings() const;
  /// Applies a listing of servers in steps, so that a long one does not hold up other work.
  boost::asio::awaitable<void> applyServers(const store::Listing& listing);
  store::KindListener configListener();
  store::KindListener serverListener();
  store::KindListener weightsListener();
  void applyConfiguration(const store::Object& object);
  /// Reads a large configuration, and those that come meanwhile, without holding the loop.
  boost::asio::awaitable<void> loadConfigurations(store::Object object);
  using BuiltTable = Result<std::shared_ptr<const routes::RouteTable>>;
  BuiltTable buildTable(const store::Object& object) const;
  void adoptTable(const store::Object& object, const BuiltTable& built);
  /// Whether a version was seen to be named, or was found.
  enum class WeightsSource { kChange, kListing };
  void applyWeights(const store::Object& object, WeightsSource source);
  /// The named weights were removed: what is known of their versions stays, but nothing is written
  /// beside them any more.
  void forgetStored(const std::string& object);
  /// A version that was not known is taken over.
  /// @param inTime it came in a change, and the object was readable or not there before.
  /// @param provenAt it was not named before this time for certain; the epoch where that is
  /// unknown.
  void noteNaming(const fleet::LoadedModel& named, bool inTime, MonotonicTime provenAt);
  /// Until when what is known of the object was proven to be its newest state.
  MonotonicTime provenUntil(const std::string& object) const;
  /// Oldest proof of the named weights where the store and all parents answer.
  Milliseconds longestCalmProof() const;
  void refreshLeastWeights();
  /// Older weights run out by time alone, and sooner where queues grow.
  boost::asio::awaitable<void> keepLeastWeights();

  boost::asio::any_io_executor executor_;
  store::ObjectStore& store_;
  const StoreSchema& schema_;
  const GatewaySettings& settings_;
  fleet::ServerPool& pool_;
  weights::WeightsTargets& targets_;
  UnreadableObjects& unreadable_;
  ServerEntries servers_;
  ViewListeners listeners_;
  std::shared_ptr<const routes::RouteTable> table_;
  store::KindWatcher configWatcher_;
  store::KindWatcher serverWatcher_;
  store::KindWatcher weightsWatcher_;
  BackgroundWorker worker_;
  /// Revision of the large configuration that was read last.
  store::Revision loadedRevision_;
  /// Until when the table was known to be the newest; set while a newer one is being read.
  std::optional<MonotonicTime> loadingSince_;
  /// A large configuration that came while another one is being read.
  struct WaitingLoad {
    store::Object object;
    /// Until when the one before it was known to be the newest.
    MonotonicTime provenBefore;
  };
  std::optional<WaitingLoad> waitingLoad_;
  /// When the next term ends that has not been seen to.
  std::optional<MonotonicTime> nextTermEnd_;
  boost::asio::steady_timer termTimer_;
  std::map<ModelId, StoredWeights> storedWeights_;
  /// For objects that can't be read now: the last proof before.
  std::map<std::string, MonotonicTime> readableUntil_;
};

}  // namespace calicodrift::gateway
