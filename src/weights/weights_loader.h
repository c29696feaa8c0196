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
  /// Name under which this process gives orders; each start has another.
  std::string holder;
  /// At least, and one more for each so many servers that have models.
  std::int64_t maxConcurrentLoads = 2;
  std::int64_t serversPerLoad = 6;
  /// A server is ordered so long after this node heard of newer weights, and later by the longest
  /// queue of any server: by then no node moves cache of the older ones any more. A node moves
  /// cache by a proof of the named weights that is CacheMoveSettings::weightsProofAge old at most,
  /// and a move begins when the request has come through its server's queue.
  Milliseconds settleTime{1000};
  /// No queue delays it further: a move that would wait for more than two seconds is not begun.
  Milliseconds longestSettleTime{2700};
  /// Pause between two rounds.
  Milliseconds interval{120};
  Milliseconds callTimeout{250};
  /// Whether other nodes are told before a server is ordered.
  bool announces = true;
  LoadRoundsSettings rounds;
};

/// Gives orders to load the newest weights, while this node holds the lease. Only servers that load
/// or are next are asked for their state, so that a round costs a few calls whatever the fleet's
/// size; the list tells of the others.
class WeightsLoader {
 public:
  WeightsLoader(boost::asio::any_io_executor executor, forward::ServerCalls& calls,
                const forward::ServerProtocol& protocol, fleet::ServerPool& pool,
                const WeightsTargets& targets, lease::LeaseKeeper& lease,
                orders::OrderMetrics& metrics, WeightsLoaderSettings settings);

  void start();
  /// A server changed: what comes next is decided at once, not at the next round.
  void wake();
  /// The server started again: the order under way there and the count of its orders were the
  /// earlier run's.
  void onRestarted(const BackendId& server);
  /// Whether any server is behind the weights that were named for its model.
  bool needed() const;

 private:
  struct Survey;
  /// Orders that one run of a server had taken at its last report.
  struct OrderCount {
    Incarnation run;
    std::uint64_t orders = 0;
  };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> round(FencingToken token);
  boost::asio::awaitable<std::vector<orders::SurveyedEngine>> survey();
  boost::asio::awaitable<void> surveyOne(std::shared_ptr<Survey> survey, std::size_t index,
                                         fleet::Server server);
  /// Whether the report is of the run that `server` shows. A later one's replaces the known run, an
  /// earlier one's or one that can't be placed proves nothing.
  bool placeReport(const fleet::Server& server, const forward::ServerReport& report);
  /// The server's report is of no use: its place goes to another. Logged once for each change of
  /// the cause.
  void noteUnusedReport(const BackendId& server, const std::string& cause);
  /// Takes over what a server's report tells; its engines stand in the survey from `index` on.
  void noteReport(Survey& survey, std::size_t index, const fleet::Server& server,
                  const forward::ServerReport& report, MonotonicTime askedAt);
  orders::EngineReport engineReport(const fleet::Server& server,
                                    const forward::ServerReport& report,
                                    const fleet::LoadedModel& loaded) const;
  /// The condition of the order: what the run that it is meant for has taken. Nothing where
  /// another run has replaced that one.
  std::optional<std::uint64_t> expectedOrders(const orders::LoadOrder& order) const;
  boost::asio::awaitable<void> sendOrder(orders::LoadOrder order, fleet::Server server,
                                         FencingToken token);
  /// The server does not live at its address any more, though the list still shows it: its place
  /// goes to another until a probe finds it again.
  void giveUp(const fleet::Server& server);
  orders::RolloutGoal goal() const;
  /// Takes over which servers have loaded, and decides which are announced next.
  void updateSchedule();
  /// Tells all nodes which servers get no new work for a load.
  void announce();
  /// Servers that may be ordered to load within the lead, the first first.
  std::vector<DueServer> dueServers(MonotonicTime now) const;
  /// Whether its weights have run out, so that no node sends it requests.
  bool expired(const fleet::Server& server) const;
  /// Servers to ask: those with an order under way, and those to order now.
  std::vector<fleet::Server> serversToAsk() const;
  bool behind(const fleet::Server& server) const;
  /// Whether it is behind at this time for so long that it may be ordered to load.
  bool due(const fleet::Server& server, MonotonicTime at, Milliseconds settle) const;
  /// How long moves of older cache may still be under way, by what the servers' queues are now.
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
  /// What was announced last.
  std::map<BackendId, WeightsVersion> announced_;
  FencingToken tenure_;
  std::map<BackendId, OrderCount> orderCounts_;
  /// Why the last report of a server was of no use.
  std::map<BackendId, std::string> unusedReports_;
};

}  // namespace calicodrift::weights
