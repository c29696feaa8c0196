#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::weights {

/// Outcome of an order to load, as given by its answer.
enum class OrderAnswer {
  /// The server executes the order.
  kAccepted,
  /// The server rejected the order: its order count differs, or it executes another order.
  kConflict,
  /// The server rejected the order for another reason, or the order was not sent.
  kRefused,
  /// There was no answer: the order may have been accepted, or be executed later or never.
  kLost,
};

/// The part of a server's report that concerns its orders.
struct LoadReport {
  /// Incarnation of the reporting server.
  Incarnation incarnation;
  /// Number of orders accepted so far.
  std::uint64_t orderCount = 0;
  bool busy = false;
  /// Whether any of its models is older than the named weights.
  bool outdated = false;
  /// When the report was requested.
  MonotonicTime requestedAt;
};

/// Precondition of an order: the server executes the order only while this matches its state.
struct OrderCondition {
  Incarnation incarnation;
  std::uint64_t orderCount = 0;

  bool operator==(const OrderCondition&) const = default;
};

/// What a report shows about an order.
enum class ReportedEffect {
  /// Nothing new.
  kUnknown,
  /// The order was not accepted on arrival; it may be executed later or never.
  kNotAccepted,
  /// The order's condition no longer holds: the order was executed, or can no longer be.
  kResolved,
};

struct UnresolvedOrdersSettings {
  /// An order holds its slot for this time after it was sent, unless a report shows that it was not
  /// accepted. Longer than a load and its report take: a load of 0.6 s plus a report that is 0.2 s
  /// old.
  Milliseconds slotTimeout{1500};
  /// A report requested at least this long after an order shows whether the order was accepted on
  /// arrival. Reports are some hundred milliseconds old.
  Milliseconds maxReportAge{400};
  /// Interval between polls of a server whose order may still be executed.
  Milliseconds pollInterval{500};
  /// Interval between orders to a server whose last order may still be executed. Orders that arrive
  /// 2 to 12 s late take effect after 3 s on average if one is sent every 0.7 s.
  Milliseconds repeatInterval{700};
  /// Maximum number of consecutive orders to a server, each sent as soon as the previous answer is
  /// lost, before other servers take precedence; the server has been announced for them already.
  /// With 0.6 of all orders delayed, four servers out of five load within this number of orders.
  int maxConsecutiveOrders = 3;
  /// Loads are predictable while at least this ratio of recent orders is accepted on arrival.
  double predictableRatio = 0.3;
};

/// Tracks orders that were sent and whose effect is not known: unanswered orders, which may have
/// been accepted or may be executed seconds later or never, and orders rejected because of an
/// earlier one. Performs no I/O; the caller passes the time.
///
/// An order is executed only while its condition holds, and the condition of an executed order
/// never holds again. The effect is therefore known as soon as a report shows that the condition
/// does not hold, and a server executes at most one of several orders with the same condition.
/// Repeating an order is safe and only brings the load forward.
class UnresolvedOrders {
 public:
  explicit UnresolvedOrders(UnresolvedOrdersSettings settings) : settings_(settings) {}

  /// Discards all state. Called when there is nothing to order, or when another node was the order
  /// sender until now.
  void clear();
  void onSent(const BackendId& server, OrderCondition condition, MonotonicTime now);
  /// Records that the server does not respond. It may be executing an order of a previous order
  /// sender.
  void onNoResponse(const BackendId& server, MonotonicTime now);
  void onAnswer(const BackendId& server, OrderAnswer answer);
  /// Returns what the report newly shows about the server's order.
  ReportedEffect onReport(const BackendId& server, const LoadReport& report);
  /// Stops tracking the server: it was removed or has the newest weights.
  void forget(const BackendId& server) { orders_.erase(server); }
  /// Releases the slots of orders that have timed out, and returns their servers.
  std::vector<BackendId> releaseExpired(MonotonicTime now);
  /// Whether an order to the server at time `at` could still have an effect and is within the
  /// limits on repeated orders.
  bool mayOrder(const BackendId& server, MonotonicTime at) const;
  /// Servers whose orders hold no slot any more but may still be executed, and that were not polled
  /// recently. Returns at most `limit` servers, the least recently polled ones first.
  std::vector<BackendId> serversToPoll(std::size_t limit, MonotonicTime now) const;
  /// Servers whose orders are assumed to be in progress.
  std::set<BackendId> slotHolders() const;
  /// Whether most orders are accepted on arrival. Otherwise an order says little about when its
  /// server will load, so loads are not announced and no order delays the next one.
  bool loadsPredictable() const { return acceptedRatio_ >= settings_.predictableRatio; }
  /// Probability, from 0 to 1, that the server is loading because of its order: 1 if the order was
  /// accepted; if its answer was lost, the ratio of such orders that were recently accepted on
  /// arrival.
  double loadProbability(const BackendId& server) const;
  /// Probability, from 0 to 1, that an order sent now starts a load.
  double newLoadProbability() const { return loadsPredictable() ? 1 : acceptedRatio_; }
  /// When the server's order was sent; empty if its effect is known.
  std::optional<MonotonicTime> sentAt(const BackendId& server) const;
  std::vector<BackendId> servers() const;

 private:
  struct Order {
    /// Empty if the server did not respond to a poll: any report then shows whether it is idle or
    /// loading.
    std::optional<OrderCondition> condition;
    MonotonicTime sentAt;
    MonotonicTime lastPolledAt;
    /// Number of consecutive orders for which the server has held its slot.
    int sent = 1;
    /// When the first of those orders was sent that is not yet included in the accepted ratio.
    MonotonicTime firstUncountedSentAt;
    /// Whether the order is included in the accepted ratio.
    bool recorded = false;
    /// Whether an earlier order with the same condition may be executed as well.
    bool repeated = false;
    /// Empty while the answer may still arrive.
    std::optional<OrderAnswer> answer;
    /// Whether the order is still assumed to be in progress.
    bool holdsSlot = true;
  };

  void recordArrival(Order& order, bool accepted);
  int maxConsecutiveOrders() const;

  UnresolvedOrdersSettings settings_;
  /// Moving average of the ratio of orders accepted on arrival, over those whose arrival is known.
  double acceptedRatio_ = 1;
  /// The same ratio over orders whose answers were lost.
  double unansweredAcceptedRatio_ = 1;
  std::map<BackendId, Order> orders_;
};

}  // namespace calicodrift::weights
