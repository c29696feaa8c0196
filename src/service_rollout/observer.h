#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "common/clock.h"
#include "service_rollout/observations.h"

namespace calicodrift::service_rollout {

/// Collects this node's own observations of the running orders, which are summed over all nodes.
/// Performs no I/O; the caller passes the time where needed.
///
/// Invariant: memory is bounded by the number of running orders and kMaxRoutes for each, because an
/// answer is counted only while its order is known and retainOnly() drops all other orders.
class Observer {
 public:
  /// Maximum number of routes that are judged separately for an order; further routes are counted
  /// together as kOverflowRoute. A service has a handful of routes; at 300 bytes each, 64 take 20
  /// KB per order.
  static constexpr std::size_t kMaxRoutes = 64;
  inline static const RouteKey kOverflowRoute{0};

  /// Counts a request sent to a version of the service; retries are included.
  void onSent(OrderKey order, Track track);
  /// Counts an answer. Ignored if the order has ended or no request was sent for it.
  void onAnswer(OrderKey order, const AnswerObservation& answer);
  /// Records that the order was written `age` ago, as read by this node or reported by others. The
  /// greatest age applies; it increases with the node's clock and is passed on to others.
  void updateAge(OrderKey order, Milliseconds age, MonotonicTime now);
  /// Records that the candidate is bad, as found by this node or learned from others. Never reset
  /// while the order runs.
  void reject(OrderKey order);
  /// Drops all orders but the running ones.
  void retainOnly(const std::set<OrderKey>& running);

  ObservationTable snapshot(MonotonicTime now) const;
  /// Number of answers counted under kOverflowRoute, for the metrics.
  std::uint64_t overflowAnswers() const { return overflowAnswers_; }

 private:
  struct Account {
    OrderObservations seen;
    /// When the order was written; empty if its age is unknown.
    std::optional<MonotonicTime> writtenAt;
  };

  Account& accountOf(OrderKey order);
  RouteSample& sampleOf(Account& account, const AnswerObservation& answer);

  std::map<OrderKey, Account> accounts_;
  std::uint64_t overflowAnswers_ = 0;
};

}  // namespace calicodrift::service_rollout
