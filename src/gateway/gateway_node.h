#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>

#include "exchange/node_exchange.h"
#include "fleet/server_pool.h"
#include "forward/forwarder.h"
#include "forward/server_calls.h"
#include "gateway/cache_stores.h"
#include "gateway/gateway_settings.h"
#include "gateway/loss_log.h"
#include "gateway/server_prober.h"
#include "gateway/service_rollouts.h"
#include "gateway/store_schema.h"
#include "gateway/store_views.h"
#include "gateway/weights_floor.h"
#include "http/client.h"
#include "http/path_handlers.h"
#include "http/server.h"
#include "lease/lease_keeper.h"
#include "lease/object_store_lease_store.h"
#include "orders/order_metrics.h"
#include "quarantine/quarantine_node.h"
#include "quota/quota_node.h"
#include "relay/relay_node.h"
#include "relay/remote_group_roots.h"
#include "server_limits/server_limit_node.h"
#include "server_paths/server_paths.h"
#include "server_paths/tunnel_service.h"
#include "stream_versions/stream_version_node.h"
#include "weights/weights_loader.h"
#include "weights/weights_targets.h"

/// A router node whose callers, servers and store speak whatever its ports translate.
namespace calicodrift::gateway {

/// The implementations of the ports; they outlive the node.
struct GatewayPorts {
  store::ObjectStore& store;
  const StoreSchema& schema;
  const forward::CallerProtocol& callers;
  const forward::ServerProtocol& servers;
};

/// One node: keeps views of the store, serves callers and takes part in roll-outs. Everything runs
/// on the one thread of `context`, so that no part needs a lock. It keeps nothing that must last.
class GatewayNode {
 public:
  GatewayNode(boost::asio::io_context& context, http::Client& client, GatewayPorts ports,
              GatewaySettings settings);

  /// Starts to serve. Fails with kSettingsInvalid where an address can't be bound.
  Result<void> start();
  /// Planned stop: says that it isn't ready, serves what still comes, then stops the context.
  void drain();
  bool ready() const;
  /// Where callers are served; valid after start().
  const Endpoint& endpoint() const { return endpoint_; }

 private:
  exchange::NodeExchangeContext exchangeContext();
  ServiceRolloutsContext rolloutsContext();
  quota::QuotaNodeContext quotaContext();
  relay::TreePosition treePosition();
  quarantine::QuarantineContext quarantineContext();
  server_limits::ServerLimitContext serverLimitContext();
  server_paths::ServerPathsContext pathsContext();
  server_paths::TunnelContext tunnelContext();
  stream_versions::StreamVersionContext streamVersionContext();
  /// The software versions of the listed servers.
  stream_versions::VersionListing versionListing() const;
  /// Whether a server or cache store is listed with this address.
  bool isListed(const Endpoint& endpoint) const;
  /// Prefers other servers for a while to one that answers on no path.
  void onServerSilent(const Endpoint& endpoint);
  /// Nodes that this one knows from its place in the relay tree.
  std::vector<Endpoint> neighbours() const;
  boost::asio::awaitable<void> handlePeer(http::Request& request, http::ResponseWriter& writer);
  /// Probes a server's health, for the data in the head of its answer.
  boost::asio::awaitable<void> askForNotices(fleet::Server server);
  /// Takes a unit for a health probe if the server names a limit.
  boost::asio::awaitable<bool> mayProbe(fleet::Server server);
  void onProbed(const fleet::Server& server, bool answered);
  /// Role and share of this node in the tree that enforces the tenants' limits.
  quota::QuotaRoleShare quotaRole();
  void onTable(const routes::RouteTable& table);
  void onServerLost(const fleet::Server& server, fleet::ServerLoss loss);
  boost::asio::awaitable<void> answerReady(http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<void> answerMetrics(http::Request& request, http::ResponseWriter& writer);
  boost::asio::awaitable<void> finishDrain();

  boost::asio::io_context& context_;
  http::Client& client_;
  GatewayPorts ports_;
  GatewaySettings settings_;
  /// Under which this start holds the lease and gives orders.
  std::string processName_;
  prometheus::Registry registry_;
  forward::ForwardMetrics metrics_;
  orders::OrderMetrics orderMetrics_;
  GatewayMetrics gatewayMetrics_;
  UnreadableObjects unreadable_;
  LossLog lossLog_;
  fleet::Distances distances_;
  fleet::ServerPool pool_;
  server_paths::ServerPathMetrics pathMetrics_;
  server_paths::ServerPaths serverPaths_;
  server_paths::TunnelService tunnels_;
  CacheStores cacheStores_;
  relay::RelayNode relay_;
  exchange::NodeExchange exchange_;
  /// Roots of the other regions' trees.
  relay::RemoteGroupRoots remoteGroupRoots_;
  quota::QuotaMetrics quotaMetrics_;
  quota::QuotaNode quota_;
  server_limits::ServerLimitMetrics serverLimitMetrics_;
  server_limits::ServerLimitNode serverLimits_;
  /// Permits of probes under way.
  std::map<BackendId, std::uint64_t> probePermits_;
  forward::ServerCalls serverCalls_;
  quarantine::QuarantineMetrics quarantineMetrics_;
  quarantine::QuarantineNode quarantine_;
  http::PathHandlers peerPaths_;
  weights::WeightsTargets targets_;
  StoreViews views_;
  WeightsFloorRecorder weightsFloor_;
  lease::ObjectStoreLeaseStore leaseStore_;
  service_rollout::RolloutMetrics rolloutMetrics_;
  ServiceRollouts serviceRollouts_;
  stream_versions::StreamVersionMetrics streamVersionMetrics_;
  stream_versions::StreamVersionNode streamVersions_;
  forward::RequestGate gate_;
  forward::Forwarder forwarder_;
  lease::LeaseKeeper lease_;
  weights::WeightsLoader weightsLoader_;
  ServerProber prober_;
  http::Server front_;
  http::Server readyServer_;
  http::Server metricsServer_;
  /// For other nodes.
  http::Server peerServer_;
  Endpoint endpoint_;
  bool draining_ = false;
};

}  // namespace calicodrift::gateway
