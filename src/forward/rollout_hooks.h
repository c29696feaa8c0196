#pragma once

#include <functional>
#include <string>

#include "service_rollout/observations.h"
#include "service_rollout/traffic_rules.h"

namespace calicodrift::forward {

/// How the data path asks which version of a service a request may go to, and tells what came of
/// it. Where a function is empty nothing is asked or told; without `rule` all servers of a service
/// are alike.
struct RolloutHooks {
  using OrderKey = service_rollout::OrderKey;
  using RouteKey = service_rollout::RouteKey;

  /// Which versions may run requests at this moment. Asked at each choice of a server.
  std::function<service_rollout::TrafficRule(const std::string& service)> rule;
  /// Whether this request goes to the candidate's canary; asked once a request, at its first
  /// dispatch.
  std::function<bool(OrderKey, RouteKey)> takeCanary;
  /// A request for which the budget was asked got no server.
  std::function<void(OrderKey, RouteKey)> onRefused;
  /// A request of a service whose order is under way was sent: to the candidate each time, to the
  /// stable version the first time only, so that tries do not add to what may be exposed.
  std::function<void(const std::string& service, OrderKey, service_rollout::Track)> onSent;
  /// A server of such a service answered.
  std::function<void(OrderKey, const service_rollout::AnswerObservation&)> onAnswer;
  /// Part of the candidate's servers that the canary goes to: about the share of the requests that
  /// it gets, so that each of them carries what a server of the stable version does.
  double canaryServerShare = 0.05;
};

}  // namespace calicodrift::forward
