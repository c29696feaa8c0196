#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "fleet/server_pool.h"
#include "forward/allowed_servers.h"
#include "forward/answer_observer.h"
#include "forward/cache_moves.h"
#include "forward/crash_check.h"
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

namespace calicodrift::forward {

/// What is known of the weights that servers should have.
struct WeightsView {
  /// Since when newer weights than those asked about are known; nothing where they are the newest.
  std::optional<MonotonicTime> outdatedSince;
  /// No newer one was named before this time for certain.
  MonotonicTime provenAt{};
  /// Nothing where none was named.
  std::optional<WeightsVersion> newest = std::nullopt;
  /// How the node knows of the newer weights, for logs; empty where there are none.
  std::string_view knownBy = {};
};

/// What the data path needs of the node. All of it outlives the forwarder, on one thread.
struct ForwardContext {
  boost::asio::any_io_executor executor;
  /// The way of every call to a server.
  ServerCalls& calls;
  fleet::ServerPool& pool;
  const CallerProtocol& callers;
  const ServerProtocol& servers;
  ForwardMetrics& metrics;
  /// The configuration in force now.
  std::function<ConfigurationView()> configuration;
  std::function<WeightsView(const ModelId&, WeightsVersion)> weights;
  /// The store of kept cache for a key, where there is one that answers.
  std::function<std::optional<Endpoint>(std::uint64_t key)> cacheStore;
  /// Keeps the tenants' limits.
  quota::QuotaNode& quota;
  /// Keeps requests that end their servers from them.
  quarantine::QuarantineNode& quarantine;
  /// Keeps the limits that servers name.
  server_limits::ServerLimitNode& serverLimits;
  /// Brings the pool in line with the time: older weights leave it when their term ends.
  std::function<void()> endWeightsTerms;
  /// Orders that move a service to another version.
  RolloutHooks rollouts{};
};

/// Serves requests: checks them, chooses a server, and tries again elsewhere where that is allowed.
class Forwarder {
 public:
  Forwarder(ForwardContext context, ForwardSettings settings, GateSettings gate,
            std::uint64_t seed);

  /// Answers the request, in every case.
  boost::asio::awaitable<void> handle(http::Request& message, http::ResponseWriter& writer);
  /// Beliefs about the server's cache are void.
  void onServerLost(const BackendId& server, fleet::ServerLoss loss);
  /// What the store kept may be gone.
  void onCacheStoreLost(const Endpoint& store) { cacheMoves_.onStoreLost(store, monotonicNow()); }
  /// Requests that servers have not begun on weights below `least` go on elsewhere, or end.
  void recallWaiting(const ModelId& model, WeightsVersion least);
  /// Which cache lies where; to tell other nodes and to be told by them.
  CacheMoves& cacheMoves() { return cacheMoves_; }

 private:
  struct Job;
  struct Chosen;

  boost::asio::awaitable<void> serve(std::shared_ptr<Job> job);
  /// Counts and logs how the request ended.
  void tellAnswer(const Job& job, bool done) const;
  /// Ends with success once the caller has its answer, else with why no server gave one.
  boost::asio::awaitable<Result<void>> dispatchUntilDone(Job& job);
  /// Claims from the tenant's limit, and looks at the key and the time again.
  boost::asio::awaitable<Result<void>> claimDispatch(Job& job);
  boost::asio::awaitable<Result<void>> dispatchOnce(Job& job);
  AllowedServers serversFor(const Job& job, bool mayBeCanary, MonotonicTime now);
  /// Where the job may go if it is admitted as a suspect.
  std::vector<quarantine::ServerRun> choicesForTrial(Job& job);
  /// Fails with kNoBackend or kOverloaded.
  Result<Chosen> chooseServer(Job& job, bool mayBeCanary, MonotonicTime now);
  /// Chooses a server that takes one more request now: one with a limit has given a unit for it.
  /// Fails as chooseServer() does, and with kOverloaded where all are at their limits.
  boost::asio::awaitable<Result<Chosen>> chooseWithinLimits(Job& job);
  /// @param wait until the first of its servers may take a request again.
  Error atLimits(const Job& job, Milliseconds wait);
  /// Where no server may get the job: kOverloaded with the time to come back where rests alone keep
  /// servers from it, else kNoBackend.
  Error noServer(const Job& job, MonotonicTime now);
  Result<Chosen> chooseFrom(Job& job, const AllowedServers& allowed, MonotonicTime now);
  /// Where the job's common part lies among the stable version's servers.
  std::optional<routing::Candidate> stableHolder(Job& job, MonotonicTime now);
  /// Whether the chosen server can begin with the job in time. Fails with kOverloaded.
  Result<void> admit(const Job& job, const routing::Candidate& candidate,
                     service_rollout::Track track, MonotonicTime now);
  /// What the chosen server gets.
  Dispatch makeDispatch(const Job& job, const fleet::Server& server,
                        const routing::Candidate& candidate) const;
  /// Sends the request and relays the answer; the job's attempt while that lasts.
  boost::asio::awaitable<Result<void>> runAttempt(Job& job, const Dispatch& dispatch,
                                                  const Chosen& chosen, fleet::LoadGuard& load);
  /// Tells what the dispatch says of its server's version.
  /// @param startMs from the send to the first bytes of the answer's body.
  void observe(const Job& job, const Dispatch& dispatch, const Chosen& chosen, DispatchEnd end,
               std::optional<double> startMs);
  /// For how long newer weights than these have been named; nothing where they are the newest.
  std::optional<Milliseconds> outdatedFor(const Job& job, WeightsVersion weights,
                                          MonotonicTime now) const;
  /// Whether this node has read which weights may be used; requests without a model need none.
  bool knowsWeights(const Job& job) const;
  /// Whether a request under which servers have ended may be sent to one more.
  boost::asio::awaitable<Result<void>> admitSuspect(Job& job);
  /// Sets the job's state by how the attempt ended, and says in the outcome what it means where
  /// that is more than the attempt knows. Gives the weights that the server has shown.
  std::optional<WeightsVersion> noteEnd(Job& job, const Dispatch& dispatch, ServerAttempt& attempt,
                                        Result<void>& outcome) const;
  /// Tells all nodes what the dispatch has shown of the request: that it ran to its end, or that
  /// its server's process has ended under it.
  boost::asio::awaitable<void> judgeRequest(Job& job, const fleet::Server& server,
                                            Milliseconds underWay, const Result<void>& outcome);
  /// Whether the process of the server has ended, as far as a dispatch that broke off there tells.
  boost::asio::awaitable<bool> hasEndedUnder(const Job& job, const fleet::Server& server,
                                             const Result<void>& outcome);
  /// The server has begun with the job: its first piece came.
  void noteBegin(Job& job, const Dispatch& dispatch) const;
  /// Sets which cache the dispatch moves. `sharedKey` names the prompt's common part.
  void moveCache(const Job& job, const Chosen& chosen, std::uint64_t sharedKey,
                 Dispatch& dispatch) const;
  /// The weights of the server that refused the dispatch as another one than expected: those that
  /// it told, else the newest, where the dispatch expected older ones. While newer weights are
  /// loaded that is the likely reason, and a wrong guess is refused once more. Nothing where it
  /// told older ones: the weights of one run only grow, so it is another server or another run.
  std::optional<WeightsVersion> weightsBehind(const Job& job, const Dispatch& dispatch,
                                              std::optional<WeightsVersion> told) const;
  /// Tells the pool what the outcome says of the server; of a run that another has replaced it says
  /// nothing any more.
  void learnFrom(Job& job, const fleet::Server& server, const Result<void>& outcome,
                 std::optional<WeightsVersion> weights);
  /// Whether the server is known to have these weights.
  bool isKnownWith(const BackendId& id, const ModelId& model, WeightsVersion weights) const;
  /// How long a server that refused the job gets nothing.
  Milliseconds pauseAfterRefusal(const Job& job, const fleet::Server& server) const;
  /// Whether a usable server has not had the request yet.
  bool untriedServerLeft(const Job& job);
  /// Whether the job goes on at another server; takes from the budget if so.
  bool takeRetry(Job& job, ErrorKind failure);
  /// @param wayMs to the server and back.
  AttemptBounds boundsOf(const Job& job, double wayMs) const;
  boost::asio::awaitable<void> answerError(Job& job, Error error);
  routing::Policy& policyFor(const Job& job);
  limits::RetryBudget& budgetOf(const std::string& service);

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
  /// By service and version: where one has long queues the other may have none.
  std::map<std::pair<std::string, service_rollout::Track>, QueueAdmission> admissions_;
  AnswerObserver observer_;
  CrashCheck crashCheck_;
  MonotonicTime startedAt_ = monotonicNow();
  std::mt19937_64 random_;
};

}  // namespace calicodrift::forward
