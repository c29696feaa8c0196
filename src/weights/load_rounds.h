#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "orders/rollout_planner.h"
#include "weights/load_schedule.h"
#include "weights/unresolved_orders.h"

namespace calicodrift::weights {

struct LoadRoundsSettings {
  LoadScheduleSettings schedule;
  UnresolvedOrdersSettings orders;
};

/// Decides in each round of a weights roll-out which servers are polled and which are ordered to
/// load. Performs no I/O; the caller passes the time. Combines the announcement of servers
/// (LoadSchedule) with the tracking of order outcomes (UnresolvedOrders).
///
/// Invariants:
/// - The expected number of concurrent loads over all models does not exceed the goal's limit. A
///   server that is observed loading counts in full, whenever its order was sent. An order counts
///   until its effect is known, a report shows that it was not accepted on arrival, or its slot
///   times out. If the answer was lost, it counts by the ratio of such orders that were recently
///   accepted on arrival, so lost answers don't delay other servers.
/// - A round sends no more orders than could all be accepted in addition to the loads shown by
///   reports.
/// - Two orders to a server differ in their conditions only if a report shows that the earlier
///   condition no longer holds, so the server executes at most one of them.
/// - Servers without an outstanding order precede those that may load without a further order.
class LoadRounds {
 public:
  explicit LoadRounds(LoadRoundsSettings settings)
      : schedule_(settings.schedule), unresolved_(settings.orders), lead_(settings.schedule.lead) {}

  /// Discards all state except the load time estimate. Called when there is nothing to order, or
  /// when another node was the order sender until now.
  void clear();
  /// Updates the set of servers that wait for an order.
  /// @param due servers that may be ordered within the lead, in order of priority.
  /// @param maxLoads maximum number of concurrent loads.
  void update(const std::vector<DueServer>& due, std::size_t maxLoads, MonotonicTime now);
  /// Servers to poll: those with an outstanding order, those to order now, and some whose earlier
  /// order may still be executed. Servers to order come first.
  std::vector<BackendId> serversToPoll(MonotonicTime now) const;
  void onReport(const BackendId& server, const LoadReport& report, MonotonicTime now);
  /// Returns the orders to send now and records each of them as sent.
  /// @param engines the poll results for serversToPoll().
  std::vector<orders::LoadOrder> plan(const orders::RolloutGoal& goal,
                                      const std::vector<orders::SurveyedEngine>& engines,
                                      MonotonicTime now);
  void onAnswer(const BackendId& server, OrderAnswer answer);
  /// Records that the server has the newest weights.
  void onLoaded(const BackendId& server, MonotonicTime now);
  /// Records that the server was removed or is no longer reachable at its address.
  void onGone(const BackendId& server);

  bool isOrdered(const BackendId& server) const { return schedule_.isOrdered(server); }
  /// Servers whose orders may still take effect.
  std::vector<BackendId> ordered() const;
  /// Servers that should receive no new requests.
  std::set<BackendId> reserved() const;
  Milliseconds loadTime() const { return schedule_.loadTime(); }
  /// Time between the announcement of a server and its order.
  Milliseconds lead() const { return lead_; }

 private:
  bool mayOrder(const BackendId& server, MonotonicTime now) const;
  /// Servers whose reports show a load. Records servers that did not respond.
  std::set<BackendId> findLoadingServers(const std::vector<orders::SurveyedEngine>& engines,
                                         MonotonicTime now);

  LoadSchedule schedule_;
  UnresolvedOrders unresolved_;
  Milliseconds lead_;
  std::size_t maxLoads_ = 0;
  /// Number of accepted orders in each server's last report.
  std::map<BackendId, std::uint64_t> orderCounts_;
};

}  // namespace calicodrift::weights
