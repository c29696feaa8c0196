#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "common/clock.h"
#include "service_rollout/observations.h"

namespace calicodrift::service_rollout {

/// What this node itself has seen of the running orders, for the sums over all nodes. No I/O; calls
/// that need the time are told it.
///
/// Invariant: memory is bounded by the orders that run and by kMostRoutes for each, because an
/// answer is counted only while its order is known, and keepOnly() drops the others.
class Observer {
 public:
  /// Routes that an order is judged by one by one; further ones are counted together as
  /// kFurtherRoutes. A service has a handful; at 300 bytes a route 64 take 20 KB an order.
  static constexpr std::size_t kMostRoutes = 64;
  inline static const RouteKey kFurtherRoutes{0};

  /// A request was sent to a version of the service, second tries as well.
  void onSent(OrderKey order, Track track);
  /// An answer of an order that has ended, or that nothing was sent for, is not counted.
  void onAnswer(OrderKey order, const AnswerObservation& answer);
  /// The order was written so long ago, as this node read it or heard it from others. The highest
  /// counts, grows with the node's clock, and is told on.
  void learnAge(OrderKey order, Milliseconds age, MonotonicTime now);
  /// The candidate is bad, as this node found or heard. Never taken back while the order runs.
  void reject(OrderKey order);
  /// Drops the orders that have ended.
  void keepOnly(const std::set<OrderKey>& running);

  ObservationTable own(MonotonicTime now) const;
  /// Answers that were counted under kFurtherRoutes, for the metrics.
  std::uint64_t answersOfFurtherRoutes() const { return answersOfFurtherRoutes_; }

 private:
  struct Account {
    OrderObservations seen;
    /// When the order was written, as far as its age is known.
    std::optional<MonotonicTime> writtenAt;
  };

  Account& accountOf(OrderKey order);
  RouteSample& sampleOf(Account& account, const AnswerObservation& answer);

  std::map<OrderKey, Account> accounts_;
  std::uint64_t answersOfFurtherRoutes_ = 0;
};

}  // namespace calicodrift::service_rollout
