#include "router/node_settings.h"

#include "common/hashing.h"

namespace calicodrift::router {
namespace {

constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kHourMs = 60 * kMinuteMs;
constexpr std::int64_t kGigabyte = 1'000'000'000;

}  // namespace

namespace {

using Rows = settings::SettingsTable<NodeSettings>;
using N = NodeSettings;

/// Where the node stands and whom it talks to.
Rows placeRows() {
  return {
      {{"node-id", "router-1", 0, 0, "", "name of this node; the same after a restart"},
       &N::nodeId},
      {{"zone", "z1", 0, 0, "", "zone that this node stands in"}, &N::zone},
      {{"region", "r1", 0, 0, "", "region that the zone belongs to"}, &N::region},
      {{"listen", "127.0.0.1:8080", 0, 0, "", "address for callers; port 0 lets the system choose"},
       &N::listen},
      {{"peer-listen", "127.0.0.1:0", 0, 0, "",
        "UDP address for other nodes; port 0: system's choice"},
       &N::peerListen},
      {{"seeds", "", 0, 0, "", "UDP addresses of some other nodes, to join the fleet by"},
       &N::seeds},
      {{"object-api", "", 0, 0, "", "address of the platform's object API"}, &N::objectApi},
      {{"machine-list", "", 0, 0, "", "address of the platform's machine list"}, &N::machineList},
  };
}

/// Bounds towards callers.
Rows callerRows() {
  return {
      {{"max-attempts", "3", 1, 10, "count", "dispatches of one repeatable request"},
       &N::maxAttempts},
      {{"max-body-bytes", "8388608", 1024, kGigabyte, "bytes", "largest request body"},
       &N::maxBodyBytes},
      {{"max-header-bytes", "16384", 1024, 1'048'576, "bytes", "largest request header"},
       &N::maxHeaderBytes},
      {{"max-connections", "10000", 1, 1'000'000, "count", "open caller connections"},
       &N::maxConnections},
      {{"read-timeout-ms", "30000", 10, kHourMs, "ms", "for a whole request to arrive"},
       &N::readTimeout},
      {{"idle-timeout-ms", "60000", 10, kHourMs, "ms", "between requests of a connection"},
       &N::idleTimeout},
      {{"write-timeout-ms", "30000", 10, kHourMs, "ms", "for a slow caller to take bytes"},
       &N::writeTimeout},
      {{"drain-timeout-ms", "600000", 10, kHourMs, "ms", "longest planned stop"}, &N::drainTimeout},
  };
}

/// Discovery, probes and dispatches.
Rows backendRows() {
  return {
      {{"store-poll-interval-ms", "1000", 10, kMinuteMs, "ms",
        "length of one watch of the store by a zone's watchers; each confirms the version"},
       &N::storePollInterval},
      {{"machine-list-interval-ms", "500", 10, kMinuteMs, "ms", "pause between list reads"},
       &N::machineListInterval},
      {{"probe-interval-ms", "250", 10, kMinuteMs, "ms", "pause between probes of a back end"},
       &N::probeInterval},
      {{"probe-timeout-ms", "500", 10, kMinuteMs, "ms", "a probe without answer fails after this"},
       &N::probeTimeout},
      {{"connect-timeout-ms", "1000", 10, kMinuteMs, "ms", "for a connection to a back end"},
       &N::connectTimeout},
      {{"engine-header-timeout-ms", "60000", 10, kHourMs, "ms",
        "for the header and the first token of an answer"},
       &N::engineHeaderTimeout},
      {{"engine-token-timeout-ms", "10000", 10, kHourMs, "ms", "between two tokens of an engine"},
       &N::engineTokenTimeout},
      {{"default-deadline-ms", "300000", 10, kHourMs, "ms",
        "deadline of a request that names none"},
       &N::defaultDeadline},
  };
}

/// What the nodes do together: configuration, limits, membership.
Rows controlRows() {
  return {
      {{"trusted-signers", "", 0, 0, "", "NAME=PUBLIC_KEY_HEX of each person who may sign bundles"},
       &N::trustedSigners},
      {{"required-signatures", "2", 1, 16, "count", "different trusted signers a bundle needs"},
       &N::requiredSignatures},
      {{"config-watchers-per-zone", "2", 1, 16, "count",
        "nodes of a zone that watch the store; the same on all nodes"},
       &N::configWatchersPerZone},
      {{"config-vouch-term-ms", "7000", 100, kHourMs, "ms",
        "age of the store's confirmation after which the node stops vouching for its version"},
       &N::configVouchTerm},
      {{"config-unvouched-action", "serve", 0, 0, "",
        "serve or refuse requests while not vouching for the configuration"},
       &N::configUnvouchedAction},
      {{"retry-budget-percent", "10", 0, 100, "percent", "retries that recent requests allow"},
       &N::retryBudgetPercent},
      {{"fleet-nodes", "1", 1, 1'000'000, "count",
        "router nodes that share tenant limits; 1 counts those that are seen"},
       &N::fleetNodes},
      {{"limit-lease-ms", "10000", 200, kHourMs, "ms",
        "lease of a share of a tenant's rate; longer than a dead node goes unnoticed; same on all "
        "nodes"},
       &N::limitLease},
      {{"member-probe-interval-ms", "1000", 20, kMinuteMs, "ms",
        "a member of the zone and one of another are pinged in this period; same on all nodes"},
       &N::memberProbeInterval},
      {{"member-probe-timeout-ms", "300", 5, kMinuteMs, "ms",
        "others are asked to ping a member that has not answered; below the interval"},
       &N::memberProbeTimeout},
      {{"member-indirect-probes", "3", 0, 10, "count", "how many others are asked"},
       &N::memberIndirectProbes},
      {{"member-suspicion-timeout-ms", "3000", 50, kHourMs, "ms",
        "time to contradict a suspicion among 10 nodes; times log10 of their number"},
       &N::memberSuspicionTimeout},
      {{"member-tombstone-retention-ms", "7200000", 1000, 24 * kHourMs, "ms",
        "how long gone members are remembered and dead ones tried again"},
       &N::memberTombstoneRetention},
      {{"member-join-retry-ms", "500", 10, kMinuteMs, "ms",
        "first pause between requests to seeds; doubles up to 16 times"},
       &N::memberJoinRetry},
  };
}

/// Claims of not-repeatable requests, and orders to engines.
Rows claimAndOrderRows() {
  return {
      {{"order-lease-candidates", "3", 1, 100, "count", "nodes that read the order lease"},
       &N::orderLeaseCandidates},
      {{"order-lease-duration-ms", "6000", 100, kHourMs, "ms",
        "lease of the node that sends orders"},
       &N::orderLeaseDuration},
      {{"order-lease-renew-ms", "2000", 10, kHourMs, "ms", "pause between renewals of that lease"},
       &N::orderLeaseRenewInterval},
      {{"order-interval-ms", "200", 10, kMinuteMs, "ms", "pause between steps of a roll-out"},
       &N::orderInterval},
      {{"weights-load-timeout-ms", "10000", 10, kHourMs, "ms",
        "a silent engine counts as loading so long"},
       &N::weightsLoadTimeout},
      {{"claim-clock-bound-ms", "500", 1, kMinuteMs, "ms",
        "most that any two clocks, of callers too, differ; the same on all nodes"},
       &N::claimClockBound},
      {{"claim-retention-ms", "600000", 1000, kHourMs, "ms",
        "for how long an Idempotency-Key is known; the same on all nodes"},
       &N::claimRetention},
      {{"claim-timeout-ms", "300", 10, kMinuteMs, "ms",
        "longest wait of a not-repeatable request for its claim"},
       &N::claimTimeout},
      {{"claim-max-records", "200000", 1, 10'000'000, "count",
        "claims that a node remembers; more are refused"},
       &N::claimMaxRecords},
      {{"claim-view-delay-ms", "3000", 50, kHourMs, "ms",
        "for how long nodes must be gone or new before the claim replicas change"},
       &N::claimViewChangeDelay},
  };
}

}  // namespace

const settings::SettingsTable<NodeSettings>& nodeSettingsTable() {
  static const Rows table = [] {
    Rows all;
    for (const Rows& part :
         {placeRows(), callerRows(), backendRows(), controlRows(), claimAndOrderRows()}) {
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }();
  return table;
}

control::ControlPlaneSettings controlPlaneSettings(const NodeSettings& settings,
                                                   const Endpoint& peerEndpoint) {
  const auto started = std::chrono::duration_cast<Microseconds>(wallNow().time_since_epoch());
  control::ControlPlaneSettings control;
  control.self.id = NodeId(settings.nodeId);
  control.self.incarnation = Incarnation(static_cast<std::uint64_t>(started.count()));
  control.self.zone = ZoneId(settings.zone);
  control.self.region = RegionId(settings.region);
  control.self.endpoint = peerEndpoint;
  control.seed = hashPair(hashBytes(settings.nodeId), control.self.incarnation.value());
  control.membership.seeds = settings.seeds;
  control.membership.probeInterval = settings.memberProbeInterval;
  control.membership.probeTimeout = settings.memberProbeTimeout;
  control.membership.indirectProbes = static_cast<std::size_t>(settings.memberIndirectProbes);
  control.membership.suspicionTimeout = settings.memberSuspicionTimeout;
  control.membership.tombstoneRetention = settings.memberTombstoneRetention;
  control.membership.joinRetry = settings.memberJoinRetry;
  return control;
}

}  // namespace calicodrift::router
