#include "service_rollout/observer.h"

#include <algorithm>

namespace calicodrift::service_rollout {

void Observer::onSent(OrderKey order, Track track) {
  OrderObservations& seen = accountOf(order).seen;
  ++seen.reached;
  if (track == Track::kCandidate) {
    ++seen.exposed;
  }
}

void Observer::onAnswer(OrderKey order, const AnswerObservation& answer) {
  const auto found = accounts_.find(order);
  if (found == accounts_.end()) {
    return;
  }
  RouteSample& sample = sampleOf(found->second, answer);
  ++sample.answered;
  if (answer.failed) {
    ++sample.failed;
  }
  if (answer.startRatio) {
    ++sample.start[ratioBucket(*answer.startRatio)];
  }
  if (answer.paceRatio) {
    ++sample.pace[ratioBucket(*answer.paceRatio)];
  }
}

void Observer::updateAge(OrderKey order, Milliseconds age, MonotonicTime now) {
  std::optional<MonotonicTime>& writtenAt = accountOf(order).writtenAt;
  writtenAt = std::min(writtenAt.value_or(now), now - age);
}

void Observer::reject(OrderKey order) {
  accountOf(order).seen.rejected = true;
}

void Observer::retainOnly(const std::set<OrderKey>& running) {
  std::erase_if(accounts_,
                [&running](const auto& account) { return !running.contains(account.first); });
}

ObservationTable Observer::snapshot(MonotonicTime now) const {
  ObservationTable table;
  for (const auto& [order, account] : accounts_) {
    OrderObservations& seen = table[order] = account.seen;
    if (account.writtenAt) {
      seen.age = std::chrono::duration_cast<Milliseconds>(now - *account.writtenAt);
    }
  }
  return table;
}

Observer::Account& Observer::accountOf(OrderKey order) {
  Account& account = accounts_[order];
  account.seen.order = order;
  return account;
}

RouteSample& Observer::sampleOf(Account& account, const AnswerObservation& answer) {
  auto& routes = account.seen.routes;
  RouteKey route = answer.route;
  if (!routes.contains(route) && routes.size() >= kMaxRoutes) {
    route = kOverflowRoute;
    ++overflowAnswers_;
  }
  return routes[route][static_cast<std::size_t>(answer.track)];
}

}  // namespace calicodrift::service_rollout
