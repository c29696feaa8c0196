#pragma once

#include <functional>
#include <string>

#include "service_rollout/observations.h"
#include "service_rollout/traffic_rules.h"

namespace calicodrift::forward {

/// Interface of the data path to service rollouts: which version of a service a request may go to,
/// and the results. Empty functions are not called; without `rule` all servers of a service are
/// treated alike.
struct RolloutHooks {
  using OrderKey = service_rollout::OrderKey;
  using RouteKey = service_rollout::RouteKey;

  /// Returns which versions may run requests now. Called for each choice of a server.
  std::function<service_rollout::TrafficRule(const std::string& service)> rule;
  /// Whether this request is a canary request; called at most once per request, at its first
  /// dispatch.
  std::function<bool(OrderKey, RouteKey)> takeCanary;
  /// Called if a request for which the canary budget was asked got no server.
  std::function<void(OrderKey, RouteKey)> onRefused;
  /// Called if a request of a service with an order in progress was sent: to the candidate each
  /// time, to the stable version the first time only, so that retries don't raise the permitted
  /// exposure.
  std::function<void(const std::string& service, OrderKey, service_rollout::Track)> onSent;
  /// Called for an answer of a server of such a service.
  std::function<void(OrderKey, const service_rollout::AnswerObservation&)> onAnswer;
  /// Fraction of the candidate's servers that canary requests go to: about the fraction of requests
  /// that are canary requests, so that each of these servers carries the load of a stable one.
  double canaryServerShare = 0.05;
};

}  // namespace calicodrift::forward
