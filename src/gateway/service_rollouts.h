#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/server_pool.h"
#include "forward/rollout_hooks.h"
#include "gateway/gateway_settings.h"
#include "gateway/store_schema.h"
#include "gateway/unreadable_objects.h"
#include "lease/lease_keeper.h"
#include "relay/relayed_store.h"
#include "service_rollout/canary_analyzer.h"
#include "service_rollout/canary_budget.h"
#include "service_rollout/metrics.h"
#include "service_rollout/observer.h"
#include "service_rollout/rollout_controller.h"
#include "service_rollout/traffic_rules.h"
#include "store/kind_watcher.h"

namespace calicodrift::gateway {

/// What the roll-outs need of the node. All of it outlives them, on one thread.
struct ServiceRolloutsContext {
  boost::asio::any_io_executor executor;
  /// Orders and records are read here, along the relay tree.
  relay::RelayedStore& views;
  /// Records and states are written here.
  store::ObjectStore& store;
  const StoreSchema& schema;
  fleet::ServerPool& pool;
  lease::LeaseStore& leases;
  UnreadableObjects& unreadable;
  /// Whether this node may decide: it reads the store itself and does not stop.
  std::function<bool()> mayDecide;
};

/// Roll-outs of services at this node: keeps the views of orders and records, tells the pool which
/// versions may run requests, judges candidates with the other nodes, and as the lease holder
/// writes records and states. docs/design/service-rollouts.md has the protocol.
///
/// Does nothing where the deployment allows candidates no requests: versions are then not told
/// apart, and the store is not asked for orders.
class ServiceRollouts {
 public:
  ServiceRollouts(ServiceRolloutsContext context, const GatewaySettings& settings,
                  lease::LeaseSettings lease, service_rollout::RolloutMetrics& metrics,
                  std::uint64_t seed);

  void start();
  /// The store is read by another way: pauses after failed calls end.
  void retryNow();
  /// The list of servers has changed: versions that are new in it get nothing before an order.
  void onServersChanged() { refreshRules(); }
  /// Brings the gauges in line with what this node knows.
  void showMetrics();
  /// For a planned stop.
  boost::asio::awaitable<void> release() { return lease_.release(); }

  /// What the data path asks and tells.
  forward::RolloutHooks hooks();
  /// What this node has seen of running orders, for the other nodes.
  service_rollout::ObservationTable own() const;
  /// The sum of what all other nodes have seen.
  void onOthers(const service_rollout::ObservationTable& others);

 private:
  /// Requests that had reached a service at a time, for their rate.
  struct ReachedAt {
    MonotonicTime at;
    std::uint64_t reached = 0;
  };
  struct FirstSight {
    SoftwareVersion target;
    MonotonicTime at;
    bool hadState = false;
  };
  /// State that this node keeps of an active order.
  struct Progress {
    explicit Progress(service_rollout::CanaryAnalyzerSettings settings) : analyzer(settings) {}

    service_rollout::CanaryAnalyzer analyzer;
    service_rollout::OrderObservations sum;
    std::deque<ReachedAt> reached;
    service_rollout::Verdict verdict = service_rollout::Verdict::kUndecided;
  };

  store::KindWatcherSettings watcherSettings(std::string kind) const;
  store::KindListener orderListener();
  store::KindListener recordListener();
  void applyOrder(const store::Object& object);
  void applyRecord(const store::Object& object);
  /// The record, or nothing where it can't be read: the last one that could stays in force.
  std::optional<service_rollout::ServiceRecord> readRecord(const store::Object& object);
  boost::asio::awaitable<void> pulse();
  /// Orders and records are watched closely while an order is under way, as permits hang on the
  /// age of the views, and seldom otherwise.
  void adjustWatches();
  void refreshRules();
  void logRule(const std::string& service, const service_rollout::TrafficRule& rule);
  void judgeAll();
  void judgeOne(const std::string& service, const service_rollout::TrafficRule& rule,
                MonotonicTime now);
  /// Tells the observer how old the order is that the record accepted: since this node first saw
  /// it, where no other node knows better.
  void noteAge(const std::string& service, service_rollout::OrderKey key, MonotonicTime now);
  void reject(const std::string& service, service_rollout::OrderKey order, std::string_view source);
  service_rollout::TrafficRule ruleFor(const std::string& service) const;
  /// Orders under way, by this node's records.
  std::set<service_rollout::OrderKey> underWay() const;
  /// Whether an order waits for a decision or for its state.
  bool anyUnfinished() const;
  MonotonicTime provenAt() const;
  /// Whether orders and records were both read.
  bool synchronized() const {
    return orderWatcher_.synchronized() && recordWatcher_.synchronized();
  }
  service_rollout::RolloutPorts ports();
  service_rollout::RolloutControllerSettings controllerSettings(std::uint64_t seed) const;
  std::map<std::string, service_rollout::PlanInput> planInputs() const;
  service_rollout::PlanInput planInput(const std::string& service) const;
  /// Servers, requests under way and what was seen of the record's order.
  void addTraffic(const service_rollout::ServiceRecord& record,
                  service_rollout::PlanInput& input) const;
  std::map<SoftwareVersion, std::size_t> listedVersionsOf(const std::string& service) const;
  service_rollout::RolloutStatus statusOf(const std::string& service) const;
  static double rateOf(const Progress& progress);
  boost::asio::awaitable<Result<store::Revision>> writeRecord(
      service_rollout::ServiceRecord record);
  boost::asio::awaitable<Result<store::Revision>> writeState(service_rollout::Order order,
                                                             service_rollout::OrderState state);

  ServiceRolloutsContext context_;
  bool enabled_;
  service_rollout::PlanSettings plan_;
  std::string nodeId_;
  service_rollout::RolloutMetrics& metrics_;
  service_rollout::TrafficRules rules_;
  service_rollout::CanaryBudget budget_;
  service_rollout::Observer observer_;
  service_rollout::ObservationTable others_;
  std::map<service_rollout::OrderKey, Progress> progress_;
  std::map<std::string, service_rollout::TrafficRule> loggedRules_;
  /// When each order was first seen here with its present target.
  std::map<std::string, FirstSight> firstSights_;
  /// Records whose objects can't be read, with the objects' revisions: the holder of the lease
  /// writes the next ones under these.
  std::map<std::string, store::Revision> unreadableRecords_;
  Milliseconds idleWatch_;
  store::KindWatcher orderWatcher_;
  store::KindWatcher recordWatcher_;
  lease::LeaseKeeper lease_;
  service_rollout::RolloutController controller_;
  boost::asio::steady_timer timer_;
};

}  // namespace calicodrift::gateway
