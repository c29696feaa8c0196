#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "fleet/server_pool.h"
#include "forward/allowed_servers.h"
#include "forward/answer_observer.h"
#include "forward/cache_moves.h"
#include "forward/crash_check.h"
#include "forward/crash_follow_up.h"
#include "forward/dispatch_wait.h"
#include "forward/forward_settings.h"
#include "forward/metrics.h"
#include "forward/protocol.h"
#include "forward/queue_admission.h"
#include "forward/refusals.h"
#include "forward/request_gate.h"
#include "forward/request_log.h"
#include "forward/retry_rules.h"
#include "forward/rollout_hooks.h"
#include "forward/server_attempt.h"
#include "forward/waiting_dispatches.h"
#include "forward/weighted_choice.h"
#include "http/server.h"
#include "limits/retry_budget.h"
#include "quarantine/quarantine_node.h"
#include "quota/quota_node.h"
#include "routing/policy.h"
#include "server_limits/server_limit_node.h"
#include "stream_versions/stream_version_node.h"

namespace calicodrift::forward {

/// What this node knows about the newest weights of a model.
struct WeightsView {
  /// When weights newer than the queried ones became known; empty if those are the newest.
  std::optional<MonotonicTime> outdatedSince;
  /// Until this time it is certain that no newer weights were named.
  MonotonicTime provenAt{};
  /// Empty if no weights were named.
  std::optional<WeightsVersion> newest = std::nullopt;
  /// Source of the knowledge about newer weights, for logs; empty if there are none.
  std::string_view source = {};
};

/// Dependencies of the data path. All of them outlive the forwarder and run on its thread.
struct ForwardContext {
  boost::asio::any_io_executor executor;
  /// Carries every call to a server.
  ServerCalls& calls;
  fleet::ServerPool& pool;
  const CallerProtocol& callers;
  const ServerProtocol& servers;
  ForwardMetrics& metrics;
  /// Returns the configuration in force now.
  std::function<ConfigurationView()> configuration;
  std::function<WeightsView(const ModelId&, WeightsVersion)> weights;
  /// Returns the cache store responsible for a key, if one responds.
  std::function<std::optional<Endpoint>(std::uint64_t key)> cacheStore;
  /// Enforces the tenants' limits.
  quota::QuotaNode& quota;
  /// Keeps requests that crash servers away from them.
  quarantine::QuarantineNode& quarantine;
  /// Enforces the request limits that servers announce.
  server_limits::ServerLimitNode& serverLimits;
  /// Knows which software version began a stream.
  stream_versions::StreamVersionNode& streamVersions;
  /// Removes outdated weights from the pool when their grace period ends.
  std::function<void()> removeExpiredWeights;
  /// Hooks for orders that move a service to another version.
  RolloutHooks rollouts{};
};

/// Handles requests: checks each one, chooses a server, and retries on another one if allowed.
class Forwarder {
 public:
  Forwarder(ForwardContext context, ForwardSettings settings, GateSettings gate,
            std::uint64_t seed);

  /// Answers the request in every case.
  boost::asio::awaitable<void> handle(http::Request& message, http::ResponseWriter& writer);
  /// Discards the assumptions about the cache of a lost server.
  void onServerLost(const BackendId& server, fleet::ServerLoss loss);
  /// Discards the assumptions about the content of a lost cache store.
  void onCacheStoreLost(const Endpoint& store) { cacheMoves_.onStoreLost(store, monotonicNow()); }
  /// Cancels dispatches that servers have not begun on weights below `least`; the requests are
  /// retried elsewhere or end.
  void recallWaiting(const ModelId& model, WeightsVersion least);
  /// Answers all requests whose callers have got nothing yet, as this node is about to stop: an
  /// answer that tells what is known of their runs is worth more than a closed connection. Begun
  /// answers go on. Returns the number of requests.
  std::size_t answerBeforeStop();
  /// Locations of cached prefixes, exchanged with other nodes.
  CacheMoves& cacheMoves() { return cacheMoves_; }

 private:
  struct Job;
  struct ChosenServer;
  /// What a server's limits allow; see server_limits.
  struct Grants {
    server_limits::UnitResult unit;
    server_limits::PermitResult permit;
  };

  boost::asio::awaitable<void> serve(std::shared_ptr<Job> job);
  /// Counts and logs the end of the request.
  void reportAnswer(const Job& job, bool done) const;
  /// Succeeds once the caller has its answer; otherwise returns why no server gave one.
  boost::asio::awaitable<Result<void>> dispatchUntilDone(Job& job);
  /// Finds out which version a stream that the caller takes up has to go on at. Fails with
  /// kStreamVersionGone if nobody knows, and with kStreamVersionUnproven if others may.
  boost::asio::awaitable<Result<void>> findStreamVersion(Job& job);
  Error unknownVersionError(const Job& job, const stream_versions::Resolution& found);
  /// The stream's first event has arrived from the server.
  void beginStream(Job& job, const fleet::Server& server);
  /// Claims units of the tenant's limit, and checks whether the request may still be sent.
  boost::asio::awaitable<Result<void>> claimDispatch(Job& job);
  /// Why the request must not be sent any more although nothing has failed: its caller has left,
  /// its time is over, this node stops, or the configuration no longer allows it. Asked before a
  /// server is chosen and right before the first byte goes to it, as any of it may change in a
  /// wait.
  Result<void> maySend(Job& job);
  static Error callerGoneError();
  /// Why a request that is over gets no server.
  static Error endOf(const Job& job);
  /// Waits for the operation until the request is over; see waitUnlessOver().
  template <typename Value>
  boost::asio::awaitable<std::optional<Value>> waitFor(
      Job& job, DispatchWait wait, std::function<boost::asio::awaitable<Value>()> operation,
      std::function<void(Value)> onLate);
  boost::asio::awaitable<Result<void>> dispatchOnce(Job& job);
  /// What a tenant that has become isolated made before is not for a request that has waited
  /// meanwhile, nor the other way round.
  void applyNewestIsolation(Job& job);
  AllowedServers serversFor(const Job& job, bool mayBeCanary, MonotonicTime now);
  /// Servers that the job may be sent to if quarantine admits it as a suspect.
  std::vector<quarantine::ServerRun> trialServerRuns(Job& job);
  /// Fails with kNoBackend or kOverloaded.
  Result<ChosenServer> chooseServer(Job& job, bool mayBeCanary, MonotonicTime now);
  /// Chooses a server that accepts one more request now: a server with a limit has granted a unit.
  /// Fails like chooseServer(), and with kOverloaded if all servers are at their limits.
  boost::asio::awaitable<Result<ChosenServer>> chooseWithinLimits(Job& job);
  /// Takes a unit and a permit, as far as the server needs them; no unit is kept without a permit.
  /// Empty if the request ended first.
  boost::asio::awaitable<std::optional<Grants>> takeGrants(Job& job, fleet::Server server);
  /// Takes a unit of the server's limit, if it names one; empty if the request ended first.
  boost::asio::awaitable<std::optional<server_limits::UnitResult>> takeUnit(Job& job,
                                                                            fleet::Server server);
  /// Acquires a permit for the server, if it needs one; empty if the request ended first.
  boost::asio::awaitable<std::optional<server_limits::PermitResult>> takePermit(
      Job& job, fleet::Server server);
  /// Ends the dispatch's permit, and tells a refusal of one that had none.
  void endPermit(const Job& job, const ChosenServer& chosen, const Result<void>& outcome);
  /// @param wait time until the first of the service's servers may accept a request again.
  Error atLimitsError(const Job& job, Milliseconds wait);
  /// The error if no server may get the job: kOverloaded with a retry time if servers are excluded
  /// only because they asked to receive no requests for now, otherwise kNoBackend.
  Error noServerError(const Job& job, MonotonicTime now);
  Result<ChosenServer> chooseFrom(Job& job, const AllowedServers& allowed, MonotonicTime now);
  /// Returns the stable version's server that holds the job's common prefix.
  std::optional<routing::Candidate> stableHolder(Job& job, MonotonicTime now);
  /// Whether the chosen server can begin the job in time. Fails with kOverloaded.
  Result<void> admit(const Job& job, const routing::Candidate& candidate,
                     service_rollout::Track track, MonotonicTime now);
  /// Builds the dispatch for the chosen server.
  Dispatch makeDispatch(const Job& job, const fleet::Server& server,
                        const routing::Candidate& candidate) const;
  /// Sends the request and relays the answer; sets the job's attempt for that time.
  boost::asio::awaitable<Result<void>> runAttempt(Job& job, const Dispatch& dispatch,
                                                  const ChosenServer& chosen,
                                                  fleet::LoadGuard& load);
  /// maySend(), by a look at the caller's socket as well, and whether what the dispatch was granted
  /// for this server still holds. Asked with no suspension before the first byte.
  Result<void> maySendTo(Job& job, const Dispatch& dispatch, const ChosenServer& chosen);
  /// Fails with kServerWithdrawn if the weights or the unit that the dispatch relies on have run
  /// out.
  Result<void> grantsHold(const Job& job, const Dispatch& dispatch,
                          const ChosenServer& chosen) const;
  /// Records what was known of the caller and of the dispatch's grants right before the first byte.
  void recordSend(const Job& job, const Dispatch& dispatch, const ChosenServer& chosen,
                  bool callerLeft) const;
  /// Reports the dispatch as evidence about its server's version.
  /// @param startMs milliseconds from sending the request to the first bytes of the answer's body.
  void observe(const Job& job, const Dispatch& dispatch, const ChosenServer& chosen,
               DispatchEnd end, std::optional<double> startMs);
  /// How long newer weights than these have been named; empty if these are the newest.
  std::optional<Milliseconds> outdatedFor(const Job& job, WeightsVersion weights,
                                          MonotonicTime now) const;
  /// Whether this node has read which weights may be used; requests without a model don't need
  /// that.
  bool knowsWeights(const Job& job) const;
  /// Whether a request that was in progress on servers that crashed may be sent to one more.
  boost::asio::awaitable<Result<void>> admitSuspect(Job& job);
  /// Updates the job from the end of the attempt, and replaces the outcome where the job knows more
  /// than the attempt. Returns the weights that the server has reported.
  std::optional<WeightsVersion> recordAttemptEnd(Job& job, const Dispatch& dispatch,
                                                 ServerAttempt& attempt,
                                                 Result<void>& outcome) const;
  /// Reports to all nodes that the request ran to its end, or that its server's process ended
  /// during the dispatch.
  boost::asio::awaitable<void> reportToQuarantine(Job& job, const fleet::Server& server,
                                                  Milliseconds underWay,
                                                  const Result<void>& outcome);
  /// Records that the request ran to its end.
  void recordServed(Job& job);
  /// Records that the server gives the request a sound answer.
  void recordSound(Job& job, const fleet::Server& server);
  /// State of the server's run after the dispatch; kRunning if the dispatch gives no reason to
  /// doubt it.
  boost::asio::awaitable<RunState> runStateAfter(const Job& job, const fleet::Server& server,
                                                 const Result<void>& outcome);
  /// The server has reported a later run than the known one: a crash of that run counts as another,
  /// even before the list shows it.
  void applyLaterRun(const BackendId& server, const ServerReport& report);
  /// Tells all nodes that the server's run ended with the request in flight there.
  boost::asio::awaitable<void> recordCrash(fleet::Server server, InterruptedRequest request);
  /// Records that the server has begun the job: its first bytes arrived.
  void recordStart(Job& job, const Dispatch& dispatch) const;
  /// Sets the dispatch's cache transfers. `sharedKey` identifies the prompt's common prefix.
  void planCacheTransfers(const Job& job, const ChosenServer& chosen, std::uint64_t sharedKey,
                          Dispatch& dispatch) const;
  /// Weights of a server that refused the dispatch as not being the expected one: those that it
  /// reported, otherwise the newest if the dispatch expected older ones. While newer weights are
  /// being loaded that is the likely reason, and a wrong guess costs one more refusal. Empty if it
  /// reported older ones: the weights of one run only increase, so it is another server or another
  /// run.
  std::optional<WeightsVersion> inferServerWeights(const Job& job, const Dispatch& dispatch,
                                                   std::optional<WeightsVersion> reported) const;
  /// Updates the pool from the outcome. An outcome from a run that has been replaced is ignored.
  void updatePool(Job& job, const fleet::Server& server, const Result<void>& outcome,
                  std::optional<WeightsVersion> weights);
  /// Whether the server is known to have these weights.
  bool isKnownToHaveWeights(const BackendId& id, const ModelId& model,
                            WeightsVersion weights) const;
  /// How long a server that refused the job receives no requests.
  Milliseconds pauseAfterRefusal(const Job& job, const fleet::Server& server) const;
  /// Whether a usable server has not had the request yet.
  bool hasUntriedServer(const Job& job);
  /// Whether the job is retried on another server; if so, consumes from the retry budget.
  bool takeRetry(Job& job, ErrorKind failure);
  /// Whether the job may leave the server that works on it for another one, because that server or
  /// the path to it is silent. Consumes from the retry budget for the next dispatch.
  bool grantFailover(Job& job);
  ServerAttempt::Permissions permissionsOf(Job& job);
  /// For a request whose server this node gave up: waits until another one may be tried. False at
  /// once if time does not help, and if the request has ended meanwhile.
  boost::asio::awaitable<bool> waitForAnotherServer(Job& job, ErrorKind failure);
  /// Waits, and no longer than until the request is over.
  boost::asio::awaitable<void> pauseFor(Job& job, Milliseconds time);
  /// @param rttMs round-trip time to the server, in milliseconds.
  AttemptBounds boundsOf(const Job& job, double rttMs) const;
  boost::asio::awaitable<void> answerError(Job& job, Error error);
  routing::Policy& policyFor(const Job& job);
  limits::RetryBudget& retryBudgetOf(const std::string& service);

  ForwardContext context_;
  ForwardSettings settings_;
  RequestGate gate_;
  Refusals refusals_;
  WeightedChoice weights_;
  CacheMoves cacheMoves_;
  WaitingDispatches waiting_;
  std::unique_ptr<routing::Policy> modelPolicy_;
  std::unique_ptr<routing::Policy> servicePolicy_;
  std::map<std::string, limits::RetryBudget> budgets_;
  /// By service and version, because the queues of one version can be long while the other's are
  /// empty.
  std::map<std::pair<std::string, service_rollout::Track>, QueueAdmission> admissions_;
  AnswerObserver observer_;
  CrashCheck crashCheck_;
  CrashFollowUp crashFollowUp_;
  AnswerEndCheck answerEndCheck_;
  /// Requests that are being served.
  std::set<std::weak_ptr<Job>, std::owner_less<>> jobs_;
  MonotonicTime startedAt_ = monotonicNow();
  std::mt19937_64 random_;
};

}  // namespace calicodrift::forward
