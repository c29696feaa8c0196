#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>

#include "bundle/bundle.h"
#include "http/client.h"
#include "limits/limiter.h"
#include "router/backend_table.h"
#include "router/claim_gate.h"
#include "router/metrics.h"
#include "router/node_settings.h"
#include "router/policy_set.h"

namespace calicodrift::router {

/// What the request handlers share. All of it lives as long as the node, on the node's one thread.
struct RouteContext {
  const NodeSettings& settings;
  boost::asio::any_io_executor executor;
  http::Client& client;
  BackendTable& backends;
  PolicySet& policies;
  RouterMetrics& metrics;
  ClaimGate& claims;
  /// Set before the node serves.
  limits::Limiter* limits = nullptr;
};

}  // namespace calicodrift::router
