#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "fleet/server_pool.h"
#include "forward/protocol.h"
#include "forward/server_calls.h"
#include "lease/lease_keeper.h"
#include "orders/order_metrics.h"
#include "orders/rollout_planner.h"
#include "weights/load_rounds.h"
#include "weights/weights_targets.h"

namespace calicodrift::weights {

struct WeightsLoaderSettings {
  /// Name under which this process sends orders; unique for each start.
  std::string holder;
  /// Limit on concurrent loads; raised to one per `serversPerLoad` servers with models if that is
  /// more.
  std::int64_t maxConcurrentLoads = 2;
  std::int64_t serversPerLoad = 6;
  /// Minimum time between this node learning of newer weights and an order to a server; the longest
  /// queue of any server is added. After it no node moves cache of the older weights any more: a
  /// node moves cache based on a proof of the named weights that is at most
  /// CacheMoveSettings::weightsProofAge old, and a move begins when its request has passed its
  /// server's queue.
  Milliseconds settleTime{1000};
  /// Upper limit of the settle time with queues included: a move that would wait for more than two
  /// seconds is not begun.
  Milliseconds maxSettleTime{2700};
  /// Interval between two rounds.
  Milliseconds interval{120};
  Milliseconds callTimeout{250};
  /// Whether other nodes are informed before a server is ordered.
  bool announceLoads = true;
  LoadRoundsSettings rounds;
};

/// Orders servers to load the newest weights while this node holds the lease. Only servers that
/// load or are next are polled, so a round costs a few calls whatever the size of the fleet; the
/// list shows the state of the others.
class WeightsLoader {
 public:
  WeightsLoader(boost::asio::any_io_executor executor, forward::ServerCalls& calls,
                const forward::ServerProtocol& protocol, fleet::ServerPool& pool,
                const WeightsTargets& targets, lease::LeaseKeeper& lease,
                orders::OrderMetrics& metrics, WeightsLoaderSettings settings);

  void start();
  /// Called when a server changed: starts the next round immediately.
  void wake();
  /// Called when a server restarted: discards its outstanding order and order count, which belonged
  /// to the earlier run.
  void onRestarted(const BackendId& server);
  /// Whether any server has older weights than those named for its model.
  bool hasOutdatedServers() const;

 private:
  struct Survey;
  /// Number of orders that a run of a server had accepted at its last report.
  struct OrderCount {
    Incarnation run;
    std::uint64_t orders = 0;
  };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> round(FencingToken token);
  boost::asio::awaitable<std::vector<orders::SurveyedEngine>> survey();
  boost::asio::awaitable<void> surveyServer(std::shared_ptr<Survey> survey, std::size_t index,
                                            fleet::Server server);
  /// Whether the report is from the run that `server` shows. A report from a later run replaces the
  /// known run; one from an earlier or undeterminable run is not used.
  bool checkReportedRun(const fleet::Server& server, const forward::ServerReport& report);
  /// Handles an unusable report: frees the server's slot for another one. Logs once for each change
  /// of the cause.
  void onUnusableReport(const BackendId& server, const std::string& cause);
  /// Applies a server's report; its engines are in the survey from `index` on.
  void applyReport(Survey& survey, std::size_t index, const fleet::Server& server,
                   const forward::ServerReport& report, MonotonicTime requestedAt);
  orders::EngineReport engineReport(const fleet::Server& server,
                                    const forward::ServerReport& report,
                                    const fleet::LoadedModel& loaded) const;
  /// The condition of the order: the order count of the run that it is meant for. Empty if another
  /// run has replaced that one.
  std::optional<std::uint64_t> expectedOrders(const orders::LoadOrder& order) const;
  boost::asio::awaitable<void> sendOrder(orders::LoadOrder order, fleet::Server server,
                                         FencingToken token);
  /// Frees the slot of a server that can't be reached at its listed address, until a probe finds it
  /// again.
  void onServerUnreachable(const fleet::Server& server);
  orders::RolloutGoal goal() const;
  /// Records which servers have loaded, and determines which are announced next.
  void updateSchedule();
  /// Informs all nodes which servers receive no new requests because of a load.
  void announce();
  /// Servers that may be ordered to load within the lead, in order of priority.
  std::vector<DueServer> dueServers(MonotonicTime now) const;
  /// Whether its weights have expired, so that no node sends it requests.
  bool expired(const fleet::Server& server) const;
  /// Servers to poll: those with an outstanding order, those to order now, and some whose earlier
  /// order may still be executed.
  std::vector<fleet::Server> serversToSurvey() const;
  bool isOutdated(const fleet::Server& server) const;
  /// Whether at time `at` it has been outdated for at least `settle`, so that it may be ordered to
  /// load.
  bool isDue(const fleet::Server& server, MonotonicTime at, Milliseconds settle) const;
  /// How long moves of older cache may still be in progress, given the servers' current queues.
  Milliseconds settleTime() const;
  std::int64_t maxConcurrentLoads() const;

  boost::asio::any_io_executor executor_;
  boost::asio::steady_timer timer_;
  forward::ServerCalls& calls_;
  const forward::ServerProtocol& protocol_;
  fleet::ServerPool& pool_;
  const WeightsTargets& targets_;
  lease::LeaseKeeper& lease_;
  orders::OrderMetrics& metrics_;
  WeightsLoaderSettings settings_;
  LoadRounds rounds_;
  /// The loads that were announced last.
  std::map<BackendId, WeightsVersion> announced_;
  FencingToken leaseToken_;
  std::map<BackendId, OrderCount> orderCounts_;
  /// Why the last report of a server was unusable.
  std::map<BackendId, std::string> unusableReports_;
};

}  // namespace calicodrift::weights
