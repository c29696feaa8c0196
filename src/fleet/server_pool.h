#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "fleet/backend_health.h"
#include "fleet/distance.h"
#include "fleet/leaving_servers.h"
#include "fleet/prefill_rate.h"
#include "fleet/server.h"
#include "fleet/server_load.h"
#include "fleet/server_rests.h"
#include "fleet/track.h"
#include "routing/candidate_set.h"

namespace calicodrift::fleet {

/// Why a server gets no new work, for logs and counters.
enum class ServerLoss {
  kRemoved,
  kDraining,
  /// What the list says of it can't be used.
  kWithheld,
  kUnreachable,
  kEjected,
  kReloaded,
  kRestarted,
  /// Its entry tells no start any more, so that nobody knows which run it is of.
  kUnplaced,
};
std::string_view toString(ServerLoss loss);

/// One dispatch's share of a server's load.
struct DispatchLoad {
  std::size_t tokens = 0;
  /// Prompt tokens to prefill before the first token.
  std::size_t prefillTokens = 0;
  /// The run that it was sent to: the load of an earlier one is not the known one's.
  Incarnation incarnation{};
};

/// Servers that would get work but for the rest that they asked for.
struct RestingServers {
  std::size_t count = 0;
  /// When the first of them may get work again; nothing where there are none.
  std::optional<MonotonicTime> firstEnd;
};

/// All listed servers with their health and this node's own load on them, and for each service and
/// model the set of those that may get new work. Sets change by small steps, so that no request
/// pays for the number of servers. No I/O; calls are told the time.
///
/// What is known of a server belongs to one run of it. Once a later start is told, by the list or a
/// report, nothing of the earlier run is left but the requests that still run there (see
/// inFlightOf()); what tells an earlier start changes nothing.
///
/// What a server says of itself in its answers goes before the list, and outlives its entry: that
/// its run leaves (noteLeaving()) and that it wants rest (noteRest()).
///
/// Invariant: a server that is draining or leaving, at rest, gone from the list, older than the
/// least allowed weights or of a version that may run nothing is in no set. It holds because every
/// change of a server ends in refresh().
class ServerPool {
 public:
  /// Told the server as it is now, with kRestarted as its earlier run was.
  using LossListener = std::function<void(const Server&, ServerLoss)>;

  /// @param prefillTokensPerMs what a model server prefills in a millisecond.
  ServerPool(double prefillTokensPerMs, LossListener listener)
      : prefillTokensPerMs_(prefillTokensPerMs), listener_(std::move(listener)) {}

  /// Replaces the list.
  /// @param withheld listed as well, but what the list says of them can't be used: see withhold().
  void applyListing(const std::vector<Server>& servers, MonotonicTime now,
                    const std::set<BackendId>& withheld = {});
  /// One server appeared or changed. An entry that tells no start, where one is known, was written
  /// by another: the server gets no new work until an entry can be placed.
  void apply(const Server& server, MonotonicTime now);
  /// A report of the server told a later start than the list so far, with these models. Does
  /// nothing where the start is not later.
  void applyRestart(const BackendId& id, Incarnation started, std::vector<LoadedModel> models,
                    MonotonicTime now);
  /// Whether no other run of the server has taken this one's place: what a call to it has shown is
  /// news of the known run.
  bool isCurrent(const Server& server) const;
  void remove(const BackendId& id);
  /// What the list says of the server can't be used: it gets no new work, as if it were draining,
  /// until the next apply(). Health, load and all that was learnt of it are kept, as the server
  /// itself may be as it was. Does nothing where the server is not known.
  void withhold(const BackendId& id, MonotonicTime now);
  /// Servers of the model below this version get no new work from now on.
  void setLeastWeights(const ModelId& model, WeightsVersion least, MonotonicTime now);
  /// An answer told the version that the server has now, sooner than the list would.
  void applyWeights(const BackendId& id, const ModelId& model, WeightsVersion weights,
                    MonotonicTime now);

  /// Nothing could be sent to it: out until probeSucceeded().
  void markUnreachable(const BackendId& id, MonotonicTime now);
  void probeSucceeded(const BackendId& id, MonotonicTime now);
  /// It refused without running the request: passed over until `until` where others are left.
  void pause(const BackendId& id, MonotonicTime until, MonotonicTime now);
  /// The servers that this node has ordered, or is about to order, to load these weights; replaces
  /// what it announced before. All nodes pass them over until they have the weights.
  void announceLoads(const std::map<BackendId, WeightsVersion>& loads, MonotonicTime now);
  /// A run of a server has said that it leaves: it counts as draining from now on, whatever the
  /// list says. Returns whether that is news.
  bool noteLeaving(ServerKey run, MonotonicTime now);
  const LeavingServers& leaving() const { return leaving_; }
  /// Forgets runs that have gone, and rests that are long over; see LeavingServers::forgetGone().
  void forgetNotices(Milliseconds provenFor, MonotonicTime now);
  /// The server asked this node to send nothing until then.
  void noteRest(const BackendId& id, MonotonicTime until, MonotonicTime now);
  /// A call to the server begins. Of one whose rest has ended no other begins until it is answered.
  void noteSent(const BackendId& id, MonotonicTime now);
  /// The server has answered a call that was sent then, and asked for no rest.
  void noteAnswered(const BackendId& id, MonotonicTime sentAt, MonotonicTime now);
  const ServerRests& rests() const { return rests_; }
  /// Servers of the service and model that only their rest keeps from work.
  RestingServers restingOf(std::string_view service, const ModelId& model, MonotonicTime now) const;
  void recordSuccess(const BackendId& id);
  void recordFailure(const BackendId& id, MonotonicTime now);

  /// Servers of the service (and model, for model servers) that may get work now. The reference
  /// holds until the next change of the pool: not over a `co_await`.
  const routing::CandidateSet& candidates(std::string_view service, const ModelId& model,
                                          MonotonicTime now, Track track = Track::kStable);
  /// The few servers of the candidate that a canary goes to, `share` of them and at least one: the
  /// same at all nodes, so that each carries about what a server of the stable version does. None
  /// that warms up or awaits weights.
  routing::CandidateSet canary(std::string_view service, const ModelId& model, double share,
                               MonotonicTime now);
  /// Tells the service's servers apart by their version: those of the stable one are in the stable
  /// sets, those of the candidate in the candidate's, others in none. Sets of one version don't
  /// change with what the other does, so its prompts keep their homes. Does nothing where both are
  /// as they were.
  /// @param stable empty: versions are not told apart, all servers are in the stable sets.
  /// @param candidate empty: none.
  void setVersions(const std::string& service, const SoftwareVersion& stable,
                   const SoftwareVersion& candidate, MonotonicTime now);
  /// By service and version: servers that are listed and not draining.
  std::map<std::string, std::map<SoftwareVersion, std::size_t>> listedVersions() const;
  /// Servers of the version that are listed, reachable, neither draining nor ejected.
  std::size_t usableOf(const std::string& service, const SoftwareVersion& version,
                       MonotonicTime now) const;
  /// Requests under way on servers of the version, by this node and, as they told, by others. Those
  /// that this node sent to an earlier run count until they end: that process may live on.
  std::size_t inFlightOf(const std::string& service, const SoftwareVersion& version) const;
  /// Whether the server's answers tell how fast its version is: not while it warms up, or awaits
  /// weights or has just loaded some. Server::warmUp counts from the first listing here, so that a
  /// restarted node counts anew.
  bool tellsSpeed(const BackendId& id, MonotonicTime now) const;
  /// Listed, and no node is known to have failed to reach it.
  bool reachedByAll(const BackendId& id) const;
  /// Null where it is not listed.
  const Server* find(const BackendId& id) const;
  /// The listed run of that key; null where it is not listed.
  const Server* findRun(ServerKey key) const;
  std::vector<Server> servers() const;
  /// Counts the listed servers for which `predicate` holds, without copying the list.
  std::size_t countIf(const std::function<bool(const Server&)>& predicate) const;
  std::vector<Server> unreachable() const;
  /// Longest time that a request waits at a model server before it runs, by what all nodes are
  /// known to have under way.
  Milliseconds longestQueue() const;
  std::size_t size() const { return servers_.size(); }

  /// What this node has under way at each server, and which it can't reach.
  ServerLoads ownLoads() const;
  /// What the other nodes have under way. A server that several of them can't reach is passed over
  /// for a time.
  void setPeerLoads(const ServerLoads& loads, MonotonicTime now);
  /// When the other nodes' load was told last; nothing before the first time.
  std::optional<MonotonicTime> peerLoadsAt() const { return peerLoadsAt_; }
  /// Room for cached and running prompts of each server of a service; 0: not known.
  void setMemory(const std::string& service, std::size_t tokens, MonotonicTime now);

  /// How long streams of the service's servers may pause; 0: it does not matter.
  void setPauseBound(const std::string& service, Milliseconds bound, MonotonicTime now);

  /// Candidates tell the way to their servers from now on. The distances outlive the pool.
  void useDistances(Distances& distances) { distances_ = &distances; }
  /// A connection to the server took so long.
  void observeConnect(const BackendId& id, double milliseconds, MonotonicTime now);
  /// The way there and back; 0 where it is not known.
  double wayMsTo(const Server& server, MonotonicTime now) const;

  void addLoad(const BackendId& id, const DispatchLoad& load, MonotonicTime now);
  /// The first token of a request came, which was sent when so many tokens waited there with its
  /// own.
  void observeFirstToken(const BackendId& id, std::size_t tokens, double milliseconds);
  /// The first token came: nothing is left to prefill.
  void endPrefill(const BackendId& id, const DispatchLoad& load, MonotonicTime now);
  void removeLoad(const BackendId& id, const DispatchLoad& load, MonotonicTime now);
  /// Expires with the pool.
  std::weak_ptr<ServerPool*> self() const { return self_; }

 private:
  struct SetKey {
    std::string service;
    ModelId model;
    Track track = Track::kStable;
    auto operator<=>(const SetKey&) const = default;
  };
  /// Those that are passed over are used where no other is left.
  struct CandidateSets {
    routing::CandidateSet preferred;
    routing::CandidateSet passedOver;
  };
  struct ServiceVersions {
    SoftwareVersion stable;
    SoftwareVersion candidate;
    bool operator==(const ServiceVersions&) const = default;
  };
  /// Requests of this node that still run on a run that a later one has replaced.
  struct EarlierRun {
    std::string service;
    SoftwareVersion version;
    std::size_t outstanding = 0;
  };
  struct Entry {
    explicit Entry(double prefillTokensPerMs) : prefillRate(prefillTokensPerMs) {}

    Server server;
    BackendHealth health;
    MonotonicTime pausedUntil{};
    std::size_t outstanding = 0;
    std::size_t outstandingTokens = 0;
    std::size_t prefillTokens = 0;
    PrefillRate prefillRate;
    ServerKey key;
    ServerLoad peers;
    /// What this node announced; 0: nothing.
    WeightsVersion announcedLoad;
    /// Nothing: its version may run nothing.
    std::optional<Track> track = Track::kStable;
    MonotonicTime warmUntil{};
    /// When it last showed other weights.
    std::optional<MonotonicTime> reloadedAt;
    /// The sets that it stands in.
    std::vector<SetKey> listedIn;
  };

  Entry* entryOf(const BackendId& id);
  /// Null where the load is of an earlier run than the known one.
  Entry* entryOf(const BackendId& id, const DispatchLoad& load);
  /// The server's first entry, or the first of a later run.
  void beginRun(Entry& entry, const Server& server, MonotonicTime now);
  /// Forgets the known run for a later one, and tells of it.
  void restart(Entry& entry, const Server& later, MonotonicTime now);
  /// The known run's entry has changed.
  void update(Entry& entry, const Server& server, MonotonicTime now);
  bool usable(const Entry& entry) const;
  bool allowedVersion(const LoadedModel& loaded) const;
  /// Whether weights that it does not have yet were announced for it.
  static bool awaitsLoad(const Entry& entry);
  std::optional<Track> trackOf(const Server& server) const;
  /// The sets that it belongs to but for its rest.
  std::vector<SetKey> keysOf(const Entry& entry) const;
  routing::Candidate toCandidate(const Entry& entry) const;
  /// Brings the sets in line with the entry. Called after each change of one.
  void refresh(Entry& entry, MonotonicTime now);
  void unlist(Entry& entry);
  /// Takes effect with the next refresh().
  void passOver(Entry& entry, MonotonicTime until);
  /// Takes back in what was passed over until now.
  void endPauses(MonotonicTime now);
  /// Brings the candidates in line where ways that were learnt have expired.
  void endLearntWays(MonotonicTime now);

  double prefillTokensPerMs_;
  Distances* distances_ = nullptr;
  LossListener listener_;
  /// Tells guards that outlive the pool.
  std::shared_ptr<ServerPool*> self_ = std::make_shared<ServerPool*>(this);
  std::optional<MonotonicTime> peerLoadsAt_;
  std::map<BackendId, Entry> servers_;
  LeavingServers leaving_;
  ServerRests rests_;
  std::map<std::pair<BackendId, Incarnation>, EarlierRun> earlierRuns_;
  std::map<ModelId, WeightsVersion> leastWeights_;
  std::map<std::string, std::size_t> memoryTokens_;
  std::map<std::string, Milliseconds> pauseBounds_;
  std::map<std::string, ServiceVersions> versions_;
  std::map<SetKey, CandidateSets> sets_;
  std::multimap<MonotonicTime, BackendId> pauseEnds_;
};

/// Counts a dispatch on its server for as long as it lives. May outlive the pool: a request that a
/// planned stop cuts is destroyed with the event loop, after the node. It then does nothing; with a
/// plain reference such a process was seen to spin in the freed pool until it was killed.
class LoadGuard {
 public:
  LoadGuard(ServerPool& pool, BackendId id, DispatchLoad load);
  ~LoadGuard();
  LoadGuard(const LoadGuard&) = delete;
  LoadGuard& operator=(const LoadGuard&) = delete;
  /// The first token came.
  void endPrefill();

 private:
  std::weak_ptr<ServerPool*> pool_;
  BackendId id_;
  DispatchLoad load_;
  bool prefilling_ = true;
};

}  // namespace calicodrift::fleet
