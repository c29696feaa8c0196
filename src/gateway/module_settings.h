#pragma once

#include <string>
#include <vector>

#include "exchange/node_exchange.h"
#include "fleet/distance.h"
#include "forward/forward_settings.h"
#include "forward/request_gate.h"
#include "gateway/gateway_settings.h"
#include "gateway/store_schema.h"
#include "http/server.h"
#include "lease/lease_keeper.h"
#include "quota/allowance.h"
#include "relay/relay_settings.h"
#include "routes/route_table.h"
#include "server_paths/server_paths.h"
#include "server_paths/tunnel_service.h"
#include "stream_versions/version_core.h"
#include "weights/weights_loader.h"

/// What the settings of the node say for each of its modules.
namespace calicodrift::gateway {

/// @param holder the name under which this process holds leases.
lease::LeaseSettings leaseSettings(const GatewaySettings& settings, std::string holder);

forward::ForwardSettings forwardSettings(const GatewaySettings& settings);
forward::GateSettings gateSettings(const GatewaySettings& settings);

/// Of the server that callers reach.
http::ServerLimits frontLimits(const GatewaySettings& settings, const routes::CallerLimits& limits);

relay::RelaySettings relaySettings(const GatewaySettings& settings, const StoreSchema& schema);

exchange::NodeExchangeSettings exchangeSettings(const GatewaySettings& settings);

quota::QuotaBounds quotaBounds(const GatewaySettings& settings);

/// Groups of relays in the fleet.
std::size_t groupsOf(const GatewaySettings& settings);

/// Those of the fleet but this node's.
std::vector<std::string> otherGroups(const GatewaySettings& settings);

fleet::DistanceSettings distanceSettings(const GatewaySettings& settings);

server_paths::ServerPathsSettings pathSettings(const GatewaySettings& settings);
stream_versions::VersionCoreSettings streamVersionSettings(const GatewaySettings& settings);
server_paths::TunnelSettings tunnelSettings(const GatewaySettings& settings);

/// @param holder the name under which this process gives orders.
weights::WeightsLoaderSettings weightsLoaderSettings(const GatewaySettings& settings,
                                                     std::string holder);

}  // namespace calicodrift::gateway
