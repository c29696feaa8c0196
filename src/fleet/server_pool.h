#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "fleet/backend_health.h"
#include "fleet/distance.h"
#include "fleet/full_servers.h"
#include "fleet/leaving_servers.h"
#include "fleet/prefill_rate.h"
#include "fleet/server.h"
#include "fleet/server_backoffs.h"
#include "fleet/server_counts.h"
#include "fleet/server_load.h"
#include "fleet/track.h"
#include "routing/candidate_set.h"

namespace calicodrift::fleet {

/// Reason why a server gets no new work, for logs and counters.
enum class ServerLoss {
  kRemoved,
  kDraining,
  /// The server's entry in the list is unusable.
  kWithheld,
  kUnreachable,
  kEjected,
  kReloaded,
  kRestarted,
  /// The server's entry no longer reports a start, so that its run is unknown.
  kUnplaced,
};
std::string_view toString(ServerLoss loss);

/// Load of one dispatch on a server.
struct DispatchLoad {
  std::size_t tokens = 0;
  /// Prompt tokens to prefill before the first token.
  std::size_t prefillTokens = 0;
  /// Run that the request was sent to; load of an earlier run does not count for the current one.
  Incarnation incarnation{};
};

/// Servers that are excluded only by the backoff that they asked for.
struct BackedOffServers {
  std::size_t count = 0;
  /// When the first of them may get work again; empty if there are none.
  std::optional<MonotonicTime> firstEnd;
};

/// Load of a server as this node knows it.
struct KnownLoad {
  /// Requests in flight from this node, and from the others as they last reported it.
  std::size_t own = 0;
  std::size_t others = 0;
  /// When the others' load was last reported; empty if it never was.
  std::optional<MonotonicTime> reportedAt;

  std::size_t requests() const { return own + others; }
};

/// Servers of a service by whether they can be reached.
struct ServiceReach {
  std::size_t listed = 0;
  /// This node cannot reach them.
  std::size_t unreachable = 0;
  /// Those of them that other nodes report as unreachable, too.
  std::size_t unreachableElsewhere = 0;
};

/// All listed servers with their health and this node's own load on them, and for each service and
/// model the set of servers that may get new work. The sets are updated incrementally, so that the
/// cost of a request does not grow with the number of servers. Does no I/O; callers pass the time.
///
/// State belongs to one run of a server. Once the list or a report tells a later start, all state
/// of the earlier run is dropped except for the requests that still run there (see
/// countInFlight()); reports of an earlier start are ignored.
///
/// What a server announces in its answers takes precedence over the list and outlives its entry:
/// that its run is leaving (recordLeaving()) and that it asks for backoff (recordBackoff()).
///
/// Periodic calls visit only the servers that have load, are unreachable or have a load of weights
/// announced; a change of one server visits that server. Calls that visit every listed server say
/// so.
///
/// Invariant: a server that is draining or leaving, in backoff, not listed, below the minimum
/// allowed weights or of a version that must get no requests is in no set. It holds because every
/// change of a server ends in refresh().
class ServerPool {
 public:
  /// Called with the server's current state; for kRestarted, with that of its earlier run.
  using LossListener = std::function<void(const Server&, ServerLoss)>;

  /// @param prefillTokensPerMs initial estimate of a model server's prefill rate, in tokens per
  ///   millisecond.
  ServerPool(double prefillTokensPerMs, LossListener listener)
      : prefillTokensPerMs_(prefillTokensPerMs), listener_(std::move(listener)) {}

  /// Removes the servers that are not in the set, once each server of a listing has been applied.
  void removeUnlisted(const std::set<BackendId>& listed);
  /// Adds or updates one server. An entry without a start, where one is known, comes from another
  /// writer: the server gets no new work until an entry with a start arrives.
  void apply(const Server& server, MonotonicTime now);
  /// Applies a report of the server with a later start than the list has shown so far, and these
  /// models. Does nothing if the start is not later.
  void applyRestart(const BackendId& id, Incarnation started, std::vector<LoadedModel> models,
                    MonotonicTime now);
  /// Whether no other run has replaced this one, so that the result of a call to it applies to the
  /// known run.
  bool isCurrent(const Server& server) const;
  void remove(const BackendId& id);
  /// Handles an unusable list entry: the server gets no new work, as if it were draining, until the
  /// next apply(). Its health, load and estimates are kept, as the server itself may be unchanged.
  /// Does nothing if the server is unknown.
  void withhold(const BackendId& id, MonotonicTime now);
  /// Servers with a lower weights version of the model get no new work from now on.
  void setMinWeights(const ModelId& model, WeightsVersion least, MonotonicTime now);
  /// Applies the weights version told by an answer, which is newer than the list.
  void applyWeights(const BackendId& id, const ModelId& model, WeightsVersion weights,
                    MonotonicTime now);

  /// Excludes the server, to which nothing could be sent, until probeSucceeded().
  void markUnreachable(const BackendId& id, MonotonicTime now);
  /// The same after a connection that was begun at `begunAt` has failed, unless the server was
  /// heard since then: it stood still for a while, or has been reached on another path.
  void recordFailedConnect(const BackendId& id, MonotonicTime begunAt, MonotonicTime now);
  /// Records that the head of an answer of the server has arrived.
  void recordHeard(const BackendId& id, MonotonicTime now);
  void probeSucceeded(const BackendId& id, MonotonicTime now);
  /// Deprioritizes a server that refused a request without running it: until `until` it is used
  /// only if no other is left.
  void pause(const BackendId& id, MonotonicTime until, MonotonicTime now);
  /// Sets the servers that this node has ordered, or is about to order, to load these weights;
  /// replaces the previous announcement. All nodes deprioritize them until they have the weights.
  void announceLoads(const std::map<BackendId, WeightsVersion>& loads, MonotonicTime now);
  /// Records that a run of a server has announced that it is leaving: it counts as draining from
  /// now on, whatever the list says. Returns whether that is new.
  bool recordLeaving(ServerKey run, MonotonicTime now);
  const LeavingServers& leaving() const { return leaving_; }
  /// Excludes a server that has no capacity left and fails if it has to refuse more requests: no
  /// node sends it any until `until`, and this one for up to `spread` longer, so that not all
  /// return at once. Returns whether that is new.
  bool recordFull(ServerKey run, MonotonicTime until, Milliseconds spread, MonotonicTime now);
  /// Records the same without excluding the server. Returns whether that is new.
  bool noteFull(ServerKey run, MonotonicTime until, MonotonicTime now) {
    return full_.add(run, until, now);
  }
  const FullServers& full() const { return full_; }
  /// Removes leaving runs that are gone and backoffs that ended long ago; see
  /// LeavingServers::removeUnlisted().
  void expireNotices(Milliseconds freshFor, MonotonicTime now);
  /// Records that the server asked this node to send nothing until `until`.
  void recordBackoff(const BackendId& id, MonotonicTime until, MonotonicTime now);
  /// Records the start of a call. A server whose backoff has ended gets no other call until this
  /// one is answered. Returns whether the call is such a trial.
  bool recordSent(const BackendId& id, MonotonicTime now);
  /// Records an answer without a backoff request to a call sent at `sentAt`.
  void recordAnswered(const BackendId& id, MonotonicTime sentAt, MonotonicTime now);
  const ServerBackoffs& backoffs() const { return backoffs_; }
  /// Servers of the service and model that only their backoff excludes.
  BackedOffServers backedOffServers(std::string_view service, const ModelId& model,
                                    MonotonicTime now) const;
  /// Reach of the service's servers from here, and as other nodes report it.
  ServiceReach reachOf(std::string_view service) const;
  void recordSuccess(const BackendId& id);
  void recordFailure(const BackendId& id, MonotonicTime now);
  /// Withdraws the failures recorded for the server, and an ejection for them: this node's path to
  /// it was at fault.
  void withdrawFailures(const BackendId& id, MonotonicTime now);

  /// Servers of the service (and model, for model servers) that may get work now. The reference is
  /// valid until the next change of the pool, so it must not be held across a `co_await`.
  const routing::CandidateSet& candidates(std::string_view service, const ModelId& model,
                                          MonotonicTime now, Track track = Track::kStable);
  /// Subset of the candidate version's servers that canary requests go to: `share` of them, at
  /// least one. All nodes choose the same subset, so that each server carries about the load of one
  /// of the stable version. Servers that warm up or await weights are left out.
  routing::CandidateSet canary(std::string_view service, const ModelId& model, double share,
                               MonotonicTime now);
  /// Servers of the service, model and software version that may get work now, on either track.
  /// Takes time linear in the number of the service's servers.
  routing::CandidateSet candidatesOfVersion(std::string_view service, const ModelId& model,
                                            const SoftwareVersion& version, MonotonicTime now);
  /// Separates the service's servers by version: those of the stable version are in the stable
  /// sets, those of the candidate in the candidate sets, others in none. Changes on one track leave
  /// the sets of the other unchanged, so that its prompts keep their home servers. Does nothing if
  /// both versions are unchanged.
  /// @param stable empty: versions are not separated, all servers are in the stable sets.
  /// @param candidate empty: none.
  void setVersions(const std::string& service, const SoftwareVersion& stable,
                   const SoftwareVersion& candidate, MonotonicTime now);
  /// Number of servers that are listed and not draining, by service and version.
  std::map<std::string, std::map<SoftwareVersion, std::size_t>> listedVersions() const;
  /// Counts of the listed servers.
  const ServerCounts& counts() const { return counts_; }
  /// Number of servers of the version that are listed, reachable and neither draining nor ejected.
  /// Visits every listed server.
  std::size_t countUsable(const std::string& service, const SoftwareVersion& version,
                          MonotonicTime now) const;
  /// Requests in flight on servers of the version, from this node and, as reported, from others.
  /// Requests that this node sent to an earlier run count until they end, as that process may still
  /// be alive.
  std::size_t countInFlight(const std::string& service, const SoftwareVersion& version) const;
  /// Whether the server's answers are representative of its version's speed: not while it warms up,
  /// awaits weights or has just loaded some. Server::warmUp counts from the first listing at this
  /// node, so it starts again when this node restarts.
  bool isSpeedSample(const BackendId& id, MonotonicTime now) const;
  /// Whether the server is listed and no node is known to have failed to reach it.
  bool isReachableFromAllNodes(const BackendId& id) const;
  /// Null if the server is not listed.
  const Server* find(const BackendId& id) const;
  /// A listed server with this address; null if there is none.
  const Server* findAt(const Endpoint& endpoint) const;
  /// The listed run with this key; null if it is not listed.
  const Server* findRun(ServerKey key) const;
  /// Calls the visitor for each listed server, those that are draining included.
  void visit(const std::function<void(const Server&)>& visitor) const;
  std::vector<Server> unreachable() const;
  /// Longest expected queueing time of a request at any model server, given the known load of all
  /// nodes.
  Milliseconds maxQueueWait() const;
  std::size_t size() const { return servers_.size(); }
  /// Number of servers that periodic calls and changes have visited so far; a measure of their
  /// cost.
  std::size_t visits() const { return visits_; }

  /// Load of this node on the servers, and which of them it cannot reach. Servers without either
  /// are left out.
  ServerLoads ownLoads() const;
  /// Sets the load of the other nodes. A server that several of them cannot reach is deprioritized
  /// for a time.
  void setPeerLoads(const ServerLoads& loads, MonotonicTime now);
  /// When the load of the other nodes was last set; empty before the first time.
  std::optional<MonotonicTime> peerLoadsAt() const { return peerLoadsAt_; }
  /// Load of the server; zero if it is not listed.
  KnownLoad knownLoad(const BackendId& id) const;
  /// Sets the KV cache capacity, in tokens, of each server of a service; 0: unknown.
  void setMemoryTokens(const std::string& service, std::size_t tokens, MonotonicTime now);

  /// Sets how long streams of the service's servers may pause; 0: no bound.
  void setPauseBound(const std::string& service, Milliseconds bound, MonotonicTime now);

  /// Sets the source of the candidates' RTTs. It must outlive the pool.
  void setDistances(Distances& distances) { distances_ = &distances; }
  /// Records the time that a connection to the server took.
  void observeConnect(const BackendId& id, double milliseconds, MonotonicTime now);
  /// Round-trip time to the server; 0 if unknown.
  double rttMsTo(const Server& server, MonotonicTime now) const;

  void addLoad(const BackendId& id, const DispatchLoad& load, MonotonicTime now);
  /// Records the time to the first token of a request.
  /// @param tokens prompt tokens queued at the server when the request was sent, including its own.
  void observeFirstToken(const BackendId& id, std::size_t tokens, double milliseconds);
  /// Removes the prefill load of a request whose first token has arrived.
  void endPrefill(const BackendId& id, const DispatchLoad& load, MonotonicTime now);
  void removeLoad(const BackendId& id, const DispatchLoad& load, MonotonicTime now);
  /// Expires when the pool is destroyed.
  std::weak_ptr<ServerPool*> self() const { return self_; }

 private:
  struct SetKey {
    std::string service;
    ModelId model;
    Track track = Track::kStable;
    auto operator<=>(const SetKey&) const = default;
  };
  /// `fallback` is used only if `preferred` is empty.
  struct CandidateSets {
    routing::CandidateSet preferred;
    routing::CandidateSet fallback;
  };
  struct ServiceVersions {
    SoftwareVersion stable;
    SoftwareVersion candidate;
    bool operator==(const ServiceVersions&) const = default;
  };
  /// Requests of this node that still run on a run that a later one has replaced.
  struct ReplacedRun {
    std::string service;
    SoftwareVersion version;
    std::size_t outstanding = 0;
  };
  struct Entry {
    explicit Entry(double prefillTokensPerMs) : prefillRate(prefillTokensPerMs) {}

    Server server;
    BackendHealth health;
    /// When the head of its last answer arrived.
    MonotonicTime heardAt{};
    MonotonicTime pausedUntil{};
    std::size_t outstanding = 0;
    std::size_t outstandingTokens = 0;
    std::size_t prefillTokens = 0;
    PrefillRate prefillRate;
    ServerKey key;
    ServerLoad peers;
    /// Weights announced by this node for the server; 0: none.
    WeightsVersion announcedWeights;
    /// Empty: the server's version must get no requests.
    std::optional<Track> track = Track::kStable;
    MonotonicTime warmUntil{};
    /// When the server last showed other weights.
    std::optional<MonotonicTime> reloadedAt;
    /// Sets that contain the server.
    std::vector<SetKey> memberOf;
    /// Address under which byEndpoint_ lists the server.
    std::optional<Endpoint> indexedAs;
    /// Key under which byKey_ lists the server.
    std::optional<ServerKey> indexedKey;
    /// Whether `counts_` contains the server with its current fields.
    bool counted = false;
    /// Whether `active_` contains the server.
    bool active = false;
  };

  Entry* entryOf(const BackendId& id);
  Entry* entryOf(ServerKey key) const;
  /// The server's fields, for a change that ends in refresh().
  Server& edit(Entry& entry);
  /// Null if the load belongs to another run than the known one.
  Entry* entryOf(const BackendId& id, const DispatchLoad& load);
  /// Initializes the entry of a new server or of a later run.
  void beginRun(Entry& entry, const Server& server, MonotonicTime now);
  /// Replaces the known run by a later one, and reports the loss.
  void restart(Entry& entry, const Server& later, MonotonicTime now);
  /// Applies a changed entry of the known run.
  void update(Entry& entry, const Server& server, MonotonicTime now);
  bool usable(const Entry& entry) const;
  bool meetsMinWeights(const LoadedModel& loaded) const;
  /// Whether weights that the server does not have yet were announced for it.
  static bool awaitsWeights(const Entry& entry);
  std::optional<Track> trackOf(const Server& server) const;
  /// Sets that the server belongs to, regardless of its backoff.
  std::vector<SetKey> eligibleSetKeys(const Entry& entry) const;
  routing::Candidate toCandidate(const Entry& entry) const;
  /// Updates the sets to match the entry. Called after each change of an entry.
  void refresh(Entry& entry, MonotonicTime now);
  void removeFromSets(Entry& entry);
  void updateIndex(Entry& entry);
  void removeFromIndex(Entry& entry);
  /// Updates `active_` to match the entry.
  void updateActive(Entry& entry);
  void removeFromActive(Entry& entry);
  void applyPeerLoad(Entry& entry, const ServerLoad& load, MonotonicTime now);
  /// Takes effect with the next refresh().
  void deprioritize(Entry& entry, MonotonicTime until);
  /// Refreshes the servers whose pause, ejection or backoff has ended by now.
  void expirePauses(MonotonicTime now);
  /// Refreshes the candidates if RTT estimates have expired.
  void expireDistances(MonotonicTime now);

  double prefillTokensPerMs_;
  Distances* distances_ = nullptr;
  LossListener listener_;
  /// Lets guards that outlive the pool detect that.
  std::shared_ptr<ServerPool*> self_ = std::make_shared<ServerPool*>(this);
  std::optional<MonotonicTime> peerLoadsAt_;
  std::map<BackendId, Entry> servers_;
  ServerCounts counts_;
  std::unordered_map<ServerKey, Entry*> byKey_;
  /// Servers with load of any node, that this node cannot reach, or that have a load of weights
  /// announced.
  std::map<BackendId, Entry*> active_;
  mutable std::size_t visits_ = 0;
  /// An address that was given to another server belongs to the one that was listed last.
  std::map<Endpoint, BackendId> byEndpoint_;
  LeavingServers leaving_;
  ServerBackoffs backoffs_;
  FullServers full_;
  std::map<std::pair<BackendId, Incarnation>, ReplacedRun> replacedRuns_;
  std::map<ModelId, WeightsVersion> minWeights_;
  std::map<std::string, std::size_t> memoryTokens_;
  std::map<std::string, Milliseconds> pauseBounds_;
  std::map<std::string, ServiceVersions> versions_;
  std::map<SetKey, CandidateSets> sets_;
  std::multimap<MonotonicTime, BackendId> pauseExpiries_;
};

/// Counts a dispatch on its server for the guard's lifetime. May outlive the pool, and then does
/// nothing: a request that a planned stop cuts is destroyed with the event loop, after the node.
/// With a plain reference, such a process was seen to spin in the freed pool until it was killed.
class LoadGuard {
 public:
  LoadGuard(ServerPool& pool, BackendId id, DispatchLoad load);
  ~LoadGuard();
  LoadGuard(const LoadGuard&) = delete;
  LoadGuard& operator=(const LoadGuard&) = delete;
  /// Called when the first token has arrived.
  void endPrefill();

 private:
  std::weak_ptr<ServerPool*> pool_;
  BackendId id_;
  DispatchLoad load_;
  bool prefilling_ = true;
};

}  // namespace calicodrift::fleet
