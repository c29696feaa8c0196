#include "gateway/gateway_settings.h"

namespace calicodrift::gateway {
namespace {

using Rows = settings::SettingsTable<GatewaySettings>;
using G = GatewaySettings;
constexpr std::int64_t kMinuteMs = 60'000;

/// Where the node stands and whom it talks to.
Rows placeRows() {
  return {
      {{"node-id", "gateway-1", 0, 0, "", "name of this node; the same after a restart"},
       &G::nodeId},
      {{"zone", "z1", 0, 0, "", "zone that this node stands in"}, &G::zone},
      {{"listen", "127.0.0.1:8080", 0, 0, "", "address for callers"}, &G::listen},
      {{"ready-listen", "127.0.0.1:8081", 0, 0, "", "address that tells whether callers may come"},
       &G::readyListen},
      {{"metrics-listen", "127.0.0.1:0", 0, 0, "", "address of the metrics; port 0 for none"},
       &G::metricsListen},
      {{"store", "127.0.0.1:8090", 0, 0, "", "address of the store that outlives the nodes"},
       &G::store},
      {{"source-address", "", 0, 0, "",
        "address that connections leave from; empty: the system chooses"},
       &G::sourceAddress},
      {{"relay-listen", "127.0.0.1:0", 0, 0, "",
        "address for nodes that read the store through this one; port 0: each node reads it "
        "itself"},
       &G::relayListen},
      {{"relay-group", "", 0, 0, "",
        "nodes of the same group share relays; empty: the nodes of the zone"},
       &G::relayGroup},
      {{"relay-groups", "", 0, 0, "",
        "all groups of the fleet, separated by commas; each keeps an even part of tenants' limits; "
        "empty: there is one"},
       &G::relayGroups},
      {{"zone-regions", "", 0, 0, "",
        "region of each zone, zone=region separated by commas; servers of other regions are used "
        "where the way there costs less than the queues here; empty: there is one region"},
       &G::zoneRegions},
      {{"region-way-ms", "60", 0, 1000, "ms",
        "the way to another region and back, until it is learnt"},
       &G::regionWay},
      {{"relay-max-followers", "0", 0, 1000, "count",
        "nodes that read the store through this one; 0: from link-mbps"},
       &G::relayMaxFollowers},
      {{"first-start", "false", 0, 0, "",
        "whether all nodes of the fleet start for the first time; those with few "
        "relay-max-followers "
        "then leave it to others to be the first to read the store"},
       &G::firstStart},
      {{"relay-proof-age-ms", "1000", 10, kMinuteMs, "ms",
        "a root that has not heard from the store for so long looks for another one, and so do its "
        "children"},
       &G::relayProofAge},
  };
}

/// How requests are sent to servers.
Rows forwardRows() {
  return {
      {{"without", "", 0, 0, "",
        "mechanisms that are off, for experiments: names separated by commas"},
       &G::without},
      {{"model-policy", "PrefixHome", 0, 0, "", "routing policy for model requests"},
       &G::modelPolicy},
      {{"service-policy", "LeastOutstanding", 0, 0, "", "routing policy for other requests"},
       &G::servicePolicy},
      {{"prefill-tokens-per-ms", "40", 1, 10'000, "count", "what a model server prefills"},
       &G::prefillTokensPerMs},
      {{"connect-timeout-ms", "300", 10, kMinuteMs, "ms", "for a connection to a server"},
       &G::connectTimeout},
      {{"unacknowledged-timeout-ms", "4000", 0, kMinuteMs, "ms",
        "sent bytes without acknowledgement break a connection to a server; 0 leaves it to the "
        "system; after a silence of 1.5 s the kernel sends again 3 s after the first time"},
       &G::unacknowledgedTimeout},
      {{"max-tunnels", "256", 0, 100'000, "count",
        "open connections to servers on behalf of nodes that cannot reach them; 0: none"},
       &G::maxTunnels},
      {{"stream-life-ms", "30000", 1000, 10 * kMinuteMs, "ms",
        "longest time from a stream's first event to the last return of its caller: for so long "
        "nodes remember which software version began it, where a service has several"},
       &G::streamLife},
      {{"refusal-pause-ms", "250", 0, kMinuteMs, "ms",
        "a server that refused gets nothing so long"},
       &G::refusalPause},
      {{"retry-after-ms", "300", 1, kMinuteMs, "ms", "when a refused caller should come back"},
       &G::retryAfter},
      {{"retry-percent", "16", 0, 100, "percent", "second dispatches that requests earn"},
       &G::retryPercent},
      {{"retry-floor", "1", 0, 1000, "count",
        "second dispatches that a quiet node has in ten seconds"},
       &G::retryFloor},
  };
}

/// The store's views, the lease and roll-outs.
Rows controlRows() {
  return {
      {{"config-change-pause-ms", "200", 0, kMinuteMs, "ms",
        "pause after a change of the configuration, so that of several in quick succession the "
        "newest is read"},
       &G::configChangePause},
      {{"config-watch-ms", "600", 10, 30'000, "ms", "longest watch of the configuration"},
       &G::configWatch},
      {{"config-proof-age-ms", "600", 10, kMinuteMs, "ms",
        "watches are made shorter where the configuration's proof would grow older"},
       &G::configProofAge},
      {{"config-read-age-ms", "0", 0, kMinuteMs, "ms",
        "a node whose configuration is proven no newer reads it from the store itself; 0: from "
        "config-bound-ms"},
       &G::configReadAge},
      {{"server-read-age-ms", "0", 0, kMinuteMs, "ms",
        "the same for the list of servers; 0: from drain-bound-ms"},
       &G::serverReadAge},
      {{"server-watch-ms", "600", 10, 30'000, "ms", "longest watch of the list of servers"},
       &G::serverWatch},
      {{"server-change-pause-ms", "100", 0, kMinuteMs, "ms",
        "pause after a change of the list of servers, so that several come together"},
       &G::serverChangePause},
      {{"weights-watch-ms", "500", 10, 30'000, "ms", "longest watch of the named weights"},
       &G::weightsWatch},
      {{"key-proof-age-ms", "0", 0, kMinuteMs, "ms",
        "requests with keys are refused where the configuration's proof is older; 0: from "
        "revocation-bound-ms"},
       &G::keyProofAge},
      {{"absence-proof-age-ms", "2000", 10, kMinuteMs, "ms",
        "an unknown route or key is final only where the proof is newer"},
       &G::absenceProofAge},
      {{"weights-term-ms", "0", 0, kMinuteMs, "ms",
        "requests are sent to servers with older weights so long after newer ones are known; 0: "
        "from weights-bound-ms"},
       &G::weightsTerm},
      {{"weights-wait-ms", "0", 0, kMinuteMs, "ms",
        "requests that such a server has not begun are taken back so long after newer weights are "
        "known; 0: from weights-bound-ms"},
       &G::weightsWait},
      {{"rollout-permit-term-ms", "0", 0, kMinuteMs, "ms",
        "a candidate gets requests only while the node's view of orders is newer; 0: from "
        "rollout-stop-bound-ms"},
       &G::rolloutPermitTerm},
      {{"rollout-idle-watch-ms", "5000", 10, 30'000, "ms",
        "longest watch of orders and records while no order is under way"},
       &G::rolloutIdleWatch},
      {{"max-concurrent-loads", "2", 1, 1000, "count", "servers that load weights at once"},
       &G::maxConcurrentLoads},
      {{"lease-duration-ms", "0", 0, kMinuteMs, "ms",
        "how long a renewal of the lease holds; 0: from lease-bound-ms"},
       &G::leaseDuration},
  };
}

/// What the deployment demands; bounds.h derives other settings from these.
Rows boundRows() {
  return {
      {{"weights-bound-ms", "8000", 1, kMinuteMs, "ms",
        "no request begins on older weights so long after newer ones were named"},
       &G::weightsBound},
      {{"revocation-bound-ms", "5000", 1, kMinuteMs, "ms",
        "no request is served so long after its key was withdrawn"},
       &G::revocationBound},
      {{"config-bound-ms", "4000", 1, kMinuteMs, "ms",
        "a node that can read the store serves by a configuration so long after it was written"},
       &G::configBound},
      {{"drain-bound-ms", "4000", 1, kMinuteMs, "ms",
        "a node that can read the store sends nothing to a server so long after it was marked as "
        "draining"},
       &G::drainBound},
      {{"stop-bound-s", "8", 1, 3600, "s", "a planned stop is ended from outside after so long"},
       &G::stopBoundSeconds},
      {{"link-mbps", "1000", 1, 1'000'000, "Mbit/s", "what this machine's link carries"},
       &G::linkMbps},
      {{"limit-window-s", "10", 1, 3600, "s",
        "the span over which tenants' limits are judged, over all nodes together"},
       &G::limitWindowSeconds},
      {{"limit-overshoot", "0.1", 0, 10, "share",
        "part of a tenant's limit by which the nodes together may pass it in such a span"},
       &G::limitOvershoot},
      {{"limit-slack", "0", 0, 1'000'000'000, "units",
        "what the nodes together may use beyond that part, in requests or tokens as the limit "
        "counts"},
       &G::limitSlack},
      {{"rollout-exposure-share", "0", 0, 1, "share",
        "part of a service's requests that a candidate of a roll-out may get up to its deadline; "
        "0: "
        "versions of servers are not told apart"},
       &G::rolloutExposureShare},
      {{"rollout-exposure-slack", "0", 0, 1'000'000, "count",
        "requests that a candidate may get beyond that part"},
       &G::rolloutExposureSlack},
      {{"rollout-stop-bound-ms", "5000", 1, kMinuteMs, "ms",
        "a bad candidate gets no request so long after the answer that showed it"},
       &G::rolloutStopBound},
      {{"lease-bound-ms", "3000", 1, kMinuteMs, "ms",
        "two nodes may take turns in giving orders after so long"},
       &G::leaseBound},
  };
}

/// Bounds towards callers and the planned stop.
Rows callerRows() {
  return {
      {{"max-connections", "3000", 1, 1'000'000, "count", "open caller connections"},
       &G::maxConnections},
      {{"max-loop-delay-ms", "200", 0, kMinuteMs, "ms",
        "delay of the event loop from which new caller connections are closed unread, so that "
        "callers try another node; 0: never"},
       &G::maxLoopDelay},
      {{"held-requests-mb", "32", 1, 1'000'000, "MB",
        "bodies of requests that are held at a time, of all callers together; a request beyond it "
        "is "
        "refused, and has not run"},
       &G::heldRequestsMb},
      {{"held-answer-kb", "64", 1, 1'000'000, "KB",
        "what is held of an answer until it is whole, so that another server can give it; a longer "
        "one is passed on as it arrives, no faster than its caller reads"},
       &G::heldAnswerKb},
      {{"write-timeout-ms", "10000", 10, kMinuteMs, "ms", "for a slow caller to take bytes"},
       &G::writeTimeout},
      {{"drain-accept-ms", "0", 0, kMinuteMs, "ms",
        "a planned stop goes on to accept so long, until callers have learnt of it; 0: a third of "
        "the stop, 2500 at most"},
       &G::drainAccept},
      {{"drain-timeout-ms", "0", 0, kMinuteMs, "ms", "longest planned stop; 0: from stop-bound-s"},
       &G::drainTimeout},
  };
}

}  // namespace

const settings::SettingsTable<GatewaySettings>& gatewaySettingsTable() {
  static const Rows kTable = [] {
    Rows all;
    for (const Rows& part :
         {placeRows(), boundRows(), forwardRows(), controlRows(), callerRows()}) {
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }();
  return kTable;
}

}  // namespace calicodrift::gateway
