#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>

#include "config/configuration.h"
#include "control/control_plane.h"
#include "http/client.h"
#include "http/server.h"
#include "lease/candidates.h"
#include "lease/lease_keeper.h"
#include "lease/object_api_lease_store.h"
#include "limits/limiter.h"
#include "orders/order_driver.h"
#include "peer/udp_transport.h"
#include "router/backend_table.h"
#include "router/claim_gate.h"
#include "router/completion_handler.h"
#include "router/discovery.h"
#include "router/metrics.h"
#include "router/node_settings.h"
#include "router/policy_set.h"
#include "router/route_context.h"
#include "router/service_handler.h"

namespace calicodrift::router {

/// One router node: wires the parts together and answers every path. Everything runs on the one
/// thread of `context`, so that no part needs a lock.
class Node {
 public:
  Node(boost::asio::io_context& context, NodeSettings settings, bundle::SigningRule signingRule);

  /// Starts to serve. Fails with kSettingsInvalid where the address can't be bound.
  Result<Endpoint> start();
  /// UDP address of the peer transport; valid after start().
  const Endpoint& peerEndpoint() const { return peerEndpoint_; }
  /// Planned stop: refuses new work at once, lets running requests end, then stops the context.
  void drain();

 private:
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<void> handleWork(http::Request& request, http::ResponseWriter& writer);
  /// Health, readiness, metrics and status.
  http::Response handleAdmin(const http::Request& request);
  http::Response drainOnRequest(const http::Request& request);
  http::Response readiness() const;
  http::Response listModels() const;
  /// Starts membership and configuration once the peer endpoint is known.
  void startControl();
  /// Starts the tenant limits once the peer endpoint is known.
  void startLimits();
  boost::asio::awaitable<void> runLimits();
  boost::asio::awaitable<void> waitForLastRequest();
  bool mayAcquireOrderLease();
  orders::OrderSources orderSources();
  /// Until no connection is within a request, but `atLeast` and never beyond `end`.
  boost::asio::awaitable<void> waitUntilQuiet(Milliseconds atLeast, MonotonicTime end);
  void onBundleAdopted(const bundle::Bundle& bundle);
  void onBackendLost(const BackendId& backend, BackendLoss loss);

  boost::asio::io_context& context_;
  NodeSettings settings_;
  prometheus::Registry registry_;
  RouterMetrics metrics_;
  http::Client client_;
  peer::UdpTransport peers_;
  Endpoint peerEndpoint_;
  membership::MembershipMetrics membershipMetrics_;
  std::unique_ptr<control::ControlPlane> control_;
  limits::LimitsMetrics limitsMetrics_;
  std::unique_ptr<limits::Limiter> limiter_;
  PolicySet policies_;
  BackendTable backends_;
  bundle::SigningRule signingRule_;
  /// Part of `control_`; null until start().
  config::Configuration* configuration_ = nullptr;
  ClaimGate claims_;
  Discovery discovery_;
  RouteContext route_;
  CompletionHandler completions_;
  ServiceHandler services_;
  std::optional<lease::Candidacy> orderCandidacy_;
  lease::ObjectApiLeaseStore leaseStore_;
  lease::LeaseKeeper orderLease_;
  orders::OrderMetrics orderMetrics_;
  orders::OrderDriver orders_;
  http::Server server_;
  bool draining_ = false;
};

}  // namespace calicodrift::router
