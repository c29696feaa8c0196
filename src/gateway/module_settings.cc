#include "gateway/module_settings.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace calicodrift::gateway {
namespace {

/// Nodes with fewer followers start to look for a root later, up to kLongestStartDelay. A root's
/// place costs the most memory and bandwidth of all, and is kept for as long as its node lives.
Milliseconds extraStartDelay(std::int64_t maxFollowers) {
  constexpr std::int64_t kFollowersOfARoot = 32;
  constexpr Milliseconds kLongestStartDelay{200};
  const std::int64_t lacking = kFollowersOfARoot - std::min(maxFollowers, kFollowersOfARoot);
  return kLongestStartDelay * lacking / kFollowersOfARoot;
}

}  // namespace

lease::LeaseSettings leaseSettings(const GatewaySettings& settings, std::string holder) {
  constexpr int kRetriesPerRenewal = 4;
  lease::LeaseSettings lease;
  lease.holder = std::move(holder);
  lease.duration = settings.leaseDuration;
  lease.renewInterval = settings.leaseRenewInterval;
  lease.retryInterval = settings.leaseRenewInterval / kRetriesPerRenewal;
  return lease;
}

forward::ForwardSettings forwardSettings(const GatewaySettings& settings) {
  constexpr double kPercent = 100;
  constexpr double kFloorWindowSeconds = 10;
  forward::ForwardSettings forward;
  forward.modelPolicy = settings.modelPolicy;
  forward.servicePolicy = settings.servicePolicy;
  forward.connectTimeout = settings.connectTimeout;
  forward.unacknowledgedTimeout = settings.unacknowledgedTimeout;
  forward.refusalPause = settings.refusalPause;
  const Mechanisms& mechanisms = settings.mechanisms;
  if (!mechanisms.refusalPause) {
    forward.refusalPause = Milliseconds(0);
    forward.weightsLoadPause = Milliseconds(0);
  }
  forward.cacheMoves.moves = mechanisms.cacheMoves;
  forward.cacheMoves.saves = mechanisms.cacheSaves;
  forward.queueAdmission = mechanisms.queueAdmission;
  forward.learnPrefillRates = mechanisms.learntRates;
  forward.failoverOnSilence = mechanisms.patience;
  forward.retries = mechanisms.retries;
  constexpr std::size_t kBytesPerKb = 1024;
  forward.maxHeldAnswerBytes = static_cast<std::size_t>(settings.heldAnswerKb) * kBytesPerKb;
  forward.retryAfter = settings.retryAfter;
  forward.outdatedStartBound = settings.weightsBound;
  forward.retryFraction = static_cast<double>(settings.retryPercent) / kPercent;
  forward.retryFloorBurst = static_cast<double>(settings.retryFloor);
  forward.retryFloorPerSecond = forward.retryFloorBurst / kFloorWindowSeconds;
  return forward;
}

forward::GateSettings gateSettings(const GatewaySettings& settings) {
  return {settings.keyProofAge, settings.absenceProofAge, settings.configBound};
}

http::ServerLimits frontLimits(const GatewaySettings& settings,
                               const routes::CallerLimits& limits) {
  http::ServerLimits server;
  server.maxHeaderBytes = limits.maxHeaderBytes;
  server.maxBodyBytes = limits.maxBodyBytes;
  server.readTimeout = limits.headerTimeout;
  server.idleTimeout = limits.idleTimeout;
  constexpr std::size_t kBytesPerMb = 1'048'576;
  server.maxHeldBodyBytes = static_cast<std::size_t>(settings.heldRequestsMb) * kBytesPerMb;
  server.maxConnections = static_cast<std::size_t>(settings.maxConnections);
  server.writeTimeout = settings.writeTimeout;
  server.maxLoopDelay = settings.maxLoopDelay;
  return server;
}

relay::RelaySettings relaySettings(const GatewaySettings& settings, const StoreSchema& schema) {
  relay::RelaySettings relay;
  relay.node = NodeId(settings.nodeId);
  relay.zone = ZoneId(settings.zone);
  relay.group = settings.relayGroup.empty() ? settings.zone : settings.relayGroup;
  relay.endpoint = settings.relayListen;
  relay.maxChildren = static_cast<std::size_t>(settings.relayMaxFollowers);
  relay.staleFirstRead = true;
  if (settings.firstStart) {
    relay.extraStartDelay = extraStartDelay(settings.relayMaxFollowers);
  }
  relay.proofAge = settings.relayProofAge;
  relay.readAges = {
      {schema.configurationKind(), settings.configReadAge},
      {schema.serverKind(), settings.serverReadAge},
      // As a naming that is heard late is counted late.
      {schema.weightsKind(), std::min(settings.configReadAge, settings.serverReadAge)}};
  return relay;
}

exchange::NodeExchangeSettings exchangeSettings(const GatewaySettings& settings) {
  exchange::NodeExchangeSettings exchange;
  exchange.node = settings.nodeId;
  exchange.endpoint = settings.relayListen;
  return exchange;
}

quota::QuotaBounds quotaBounds(const GatewaySettings& settings) {
  constexpr double kMsPerSecond = 1000;
  quota::QuotaBounds bounds;
  bounds.window = Milliseconds(std::llround(settings.limitWindowSeconds * kMsPerSecond));
  bounds.overshoot = settings.limitOvershoot;
  bounds.slack = settings.limitSlack;
  return bounds;
}

std::size_t groupsOf(const GatewaySettings& settings) {
  const std::set<std::string> groups(settings.relayGroups.begin(), settings.relayGroups.end());
  return std::max<std::size_t>(1, groups.size());
}

std::vector<std::string> otherGroups(const GatewaySettings& settings) {
  std::set<std::string> groups(settings.relayGroups.begin(), settings.relayGroups.end());
  groups.erase(settings.relayGroup.empty() ? settings.zone : settings.relayGroup);
  return {groups.begin(), groups.end()};
}

fleet::DistanceSettings distanceSettings(const GatewaySettings& settings) {
  fleet::DistanceSettings distance;
  distance.zone = ZoneId(settings.zone);
  distance.regions = fleet::parseZoneRegions(settings.zoneRegions);
  if (!distance.regions.empty() && !settings.relayGroup.empty()) {
    distance.regions.try_emplace(distance.zone, settings.relayGroup);
  }
  distance.crossRegionRtt = settings.regionWay;
  distance.preferOwnRegion = settings.mechanisms.regionHomes;
  return distance;
}

server_paths::ServerPathsSettings pathSettings(const GatewaySettings& settings) {
  server_paths::ServerPathsSettings paths;
  paths.node = settings.nodeId;
  if (settings.mechanisms.relayedPaths) {
    paths.endpoint = settings.relayListen;
  }
  return paths;
}

stream_versions::VersionCoreSettings streamVersionSettings(const GatewaySettings& settings) {
  stream_versions::VersionCoreSettings versions;
  versions.endpoint = settings.relayListen;
  versions.streamLife = settings.streamLife;
  return versions;
}

server_paths::TunnelSettings tunnelSettings(const GatewaySettings& settings) {
  server_paths::TunnelSettings tunnels;
  tunnels.maxOpen = static_cast<std::size_t>(settings.maxTunnels);
  return tunnels;
}

weights::WeightsLoaderSettings weightsLoaderSettings(const GatewaySettings& settings,
                                                     std::string holder) {
  weights::WeightsLoaderSettings loader;
  loader.holder = std::move(holder);
  loader.maxConcurrentLoads = settings.maxConcurrentLoads;
  if (!settings.mechanisms.loadAnnouncements) {
    loader.announceLoads = false;
    loader.rounds.schedule.lead = Milliseconds(0);
  }
  if (!settings.mechanisms.settleByQueues) {
    loader.settleTime = loader.maxSettleTime;
  }
  return loader;
}

}  // namespace calicodrift::gateway
