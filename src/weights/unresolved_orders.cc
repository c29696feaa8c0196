#include "weights/unresolved_orders.h"

#include <algorithm>

namespace calicodrift::weights {

void UnresolvedOrders::clear() {
  orders_.clear();
  acceptedRatio_ = 1;
  unansweredAcceptedRatio_ = 1;
}

void UnresolvedOrders::onSent(const BackendId& server, OrderCondition condition,
                              MonotonicTime now) {
  Order order;
  order.condition = condition;
  order.sentAt = now;
  order.lastPolledAt = now;
  order.firstUncountedSentAt = now;
  const auto found = orders_.find(server);
  if (found != orders_.end() && found->second.holdsSlot) {
    order.sent = found->second.sent + 1;
    order.firstUncountedSentAt = found->second.recorded ? now : found->second.firstUncountedSentAt;
    order.repeated = found->second.repeated;
  } else {
    order.repeated = found != orders_.end() && found->second.condition == condition;
  }
  orders_[server] = order;
}

void UnresolvedOrders::onNoResponse(const BackendId& server, MonotonicTime now) {
  Order unknown;
  unknown.sentAt = now;
  unknown.lastPolledAt = now;
  unknown.firstUncountedSentAt = now;
  unknown.recorded = true;
  orders_.try_emplace(server, unknown);
}

void UnresolvedOrders::onAnswer(const BackendId& server, OrderAnswer answer) {
  const auto found = orders_.find(server);
  if (found == orders_.end()) {
    return;
  }
  Order& order = found->second;
  order.answer = answer;
  if (answer == OrderAnswer::kAccepted) {
    recordArrival(order, true);
  }
  if (answer == OrderAnswer::kRefused) {
    order.holdsSlot = false;
  }
}

ReportedEffect UnresolvedOrders::onReport(const BackendId& server, const LoadReport& report) {
  const auto found = orders_.find(server);
  if (found == orders_.end()) {
    return ReportedEffect::kUnknown;
  }
  Order& order = found->second;
  order.lastPolledAt = report.requestedAt;
  if (order.condition != OrderCondition{report.incarnation, report.orderCount}) {
    if (order.holdsSlot && !order.repeated) {
      recordArrival(order, true);
    }
    orders_.erase(found);
    return ReportedEffect::kResolved;
  }
  if (report.busy || order.answer != OrderAnswer::kLost) {
    return ReportedEffect::kUnknown;
  }
  if (report.requestedAt - order.firstUncountedSentAt >= settings_.maxReportAge) {
    recordArrival(order, false);
  }
  const bool shows = report.requestedAt - order.sentAt >= settings_.maxReportAge;
  if (!shows || !order.holdsSlot) {
    return ReportedEffect::kUnknown;
  }
  order.holdsSlot = false;
  return ReportedEffect::kNotAccepted;
}

void UnresolvedOrders::recordArrival(Order& order, bool accepted) {
  /// Weight of the latest order in the moving averages.
  constexpr double kSmoothingFactor = 0.35;
  if (order.recorded) {
    return;
  }
  order.recorded = true;
  const double latest = accepted ? 1 : 0;
  acceptedRatio_ += (latest - acceptedRatio_) * kSmoothingFactor;
  if (order.answer == OrderAnswer::kLost) {
    unansweredAcceptedRatio_ += (latest - unansweredAcceptedRatio_) * kSmoothingFactor;
  }
}

double UnresolvedOrders::loadProbability(const BackendId& server) const {
  const auto found = orders_.find(server);
  if (found == orders_.end() || !found->second.holdsSlot) {
    return 0;
  }
  const Order& order = found->second;
  if (!order.answer && order.condition) {
    return newLoadProbability();
  }
  return order.answer == OrderAnswer::kLost ? unansweredAcceptedRatio_ : 1;
}

std::vector<BackendId> UnresolvedOrders::releaseExpired(MonotonicTime now) {
  std::vector<BackendId> expired;
  for (auto& [server, order] : orders_) {
    if (order.holdsSlot && now - order.sentAt >= settings_.slotTimeout) {
      order.holdsSlot = false;
      expired.push_back(server);
    }
  }
  return expired;
}

int UnresolvedOrders::maxConsecutiveOrders() const {
  return loadsPredictable() ? settings_.maxConsecutiveOrders : 1;
}

bool UnresolvedOrders::mayOrder(const BackendId& server, MonotonicTime at) const {
  const auto found = orders_.find(server);
  if (found == orders_.end()) {
    return true;
  }
  const Order& order = found->second;
  if (!order.condition) {
    return true;
  }
  if (order.holdsSlot) {
    return order.answer == OrderAnswer::kLost && order.sent < maxConsecutiveOrders();
  }
  return at - order.sentAt >= settings_.repeatInterval;
}

std::vector<BackendId> UnresolvedOrders::serversToPoll(std::size_t limit, MonotonicTime now) const {
  std::vector<std::pair<MonotonicTime, BackendId>> waiting;
  for (const auto& [server, order] : orders_) {
    if (!order.holdsSlot && now - order.lastPolledAt >= settings_.pollInterval) {
      waiting.emplace_back(order.lastPolledAt, server);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  std::vector<BackendId> servers;
  for (const auto& [lastPolledAt, server] : waiting) {
    if (servers.size() < limit) {
      servers.push_back(server);
    }
  }
  return servers;
}

std::set<BackendId> UnresolvedOrders::slotHolders() const {
  std::set<BackendId> servers;
  for (const auto& [server, order] : orders_) {
    if (order.holdsSlot) {
      servers.insert(server);
    }
  }
  return servers;
}

std::optional<MonotonicTime> UnresolvedOrders::sentAt(const BackendId& server) const {
  const auto found = orders_.find(server);
  return found == orders_.end() ? std::nullopt : std::optional(found->second.sentAt);
}

std::vector<BackendId> UnresolvedOrders::servers() const {
  std::vector<BackendId> servers;
  servers.reserve(orders_.size());
  for (const auto& [server, order] : orders_) {
    servers.push_back(server);
  }
  return servers;
}

}  // namespace calicodrift::weights
