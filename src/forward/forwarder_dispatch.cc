// One dispatch of a job: the choice of a server, what it is sent, and what is learnt from its
// answer.

#include <algorithm>
#include <boost/asio.hpp>

#include "forward/cache_scope.h"
#include "forward/forward_job.h"
#include "routing/cost.h"

namespace calicodrift::forward {
namespace {

using boost::asio::awaitable;

Milliseconds until(MonotonicTime end) {
  const auto left = std::chrono::duration_cast<Milliseconds>(end - monotonicNow());
  return std::max(left, Milliseconds(1));
}

std::optional<Milliseconds> ageOf(std::optional<MonotonicTime> since, MonotonicTime now) {
  if (!since) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(now - *since);
}

}  // namespace

awaitable<Result<void>> Forwarder::dispatchOnce(Job& job) {
  context_.endWeightsTerms();
  const MonotonicTime now = monotonicNow();
  const routing::CandidateSet& candidates =
      context_.pool.candidates(job.service, job.request.model, now);
  if (candidates.empty()) {
    co_return fail(ErrorKind::kNoBackend, "no usable server of '" + job.service + "'");
  }
  routing::Policy& policy = policyFor(job);
  const routing::Choice choice = policy.choose(job.routeRequest, candidates, now);
  // A copy, as the set changes while the answer is awaited.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const routing::Candidate candidate = candidates[choice.index];
  if (const Result<void> admitted = admit(job, candidate, now); !admitted) {
    co_return admitted.error();
  }
  const fleet::Server* listed = context_.pool.find(candidate.id);
  if (listed == nullptr) {
    co_return fail(ErrorKind::kNoBackend, "the chosen server has left");
  }
  const fleet::Server server = *listed;
  std::optional<routing::Candidate> holder;
  if (choice.holder) {
    holder = candidates[*choice.holder];
  }
  const std::size_t candidateCount = candidates.size();
  job.routeRequest.avoided.push_back(server.id);
  job.lastServer = server.id;
  ++job.attempts.sent;
  context_.metrics.countDispatch(candidate.nearby);
  policy.onDispatched(job.routeRequest, candidate, now);
  const std::size_t uncached =
      routing::uncachedTokens(job.routeRequest, choice.expectedCachedBlocks);
  const std::size_t waitingTokens = routing::prefillTokensAt(candidate) + uncached;
  fleet::LoadGuard load(context_.pool, server.id,
                        {job.request.promptTokens + job.request.outputTokens, uncached});
  Dispatch dispatch = makeDispatch(job, server, candidate);
  const std::uint64_t sharedKey = sharedKeyOf(job.routeRequest, dispatch.cacheScope);
  if (!job.request.model.value().empty()) {
    moveCache(job, candidate, holder, sharedKey, dispatch);
  }
  logDispatched({job.request, job.grant, dispatch, candidate, choice.reason, candidateCount,
                 job.attempts.sent, waitingTokens, sharedKey,
                 outdatedFor(job, candidate.weights, now),
                 ageOf(context_.pool.peerLoadsAt(), now)});
  Result<void> outcome = co_await runAttempt(job, dispatch, load, waitingTokens);
  if (outcome) {
    policy.onCompleted(job.routeRequest, candidate, 0, monotonicNow());
    if (dispatch.saveCacheTo) {
      cacheMoves_.onSaved(sharedKey, *dispatch.saveCacheTo, monotonicNow());
    }
  }
  co_return outcome;
}

Result<void> Forwarder::admit(const Job& job, const routing::Candidate& candidate,
                              MonotonicTime now) {
  // What was sent once goes on: it has waited already, and its retry is in the budget.
  if (!settings_.admit || job.request.model.value().empty() || job.attempts.sent > 0) {
    return boost::outcome_v2::success();
  }
  const double waitMs = routing::expectedWaitMs(candidate) + candidate.wayMs;
  const Milliseconds wait(static_cast<std::int64_t>(waitMs));
  const auto known = admissions_.try_emplace(job.service, settings_.admission).first;
  const std::optional<Milliseconds> comeBack =
      known->second.refuse(wait, job.grant.route->targetLatency, job.grant.priority(), now);
  if (!comeBack) {
    return boost::outcome_v2::success();
  }
  Error error =
      fail(ErrorKind::kOverloaded, "a request would wait for " + std::to_string(wait.count()) +
                                       " ms at the best server of '" + job.service + "'");
  error.retryAfter = comeBack;
  return error;
}

Dispatch Forwarder::makeDispatch(const Job& job, const fleet::Server& server,
                                 const routing::Candidate& candidate) const {
  Dispatch dispatch(server);
  dispatch.timeLeft = until(job.end);
  dispatch.tenant = job.grant.tenant;
  dispatch.priority = job.grant.priority();
  dispatch.resumeAfter = job.relay.lastEvent();
  if (!job.request.model.value().empty()) {
    dispatch.weights = candidate.weights;
    dispatch.cacheScope = cacheScope(job.grant, candidate.weights);
  }
  return dispatch;
}

awaitable<Result<void>> Forwarder::runAttempt(Job& job, const Dispatch& dispatch,
                                              fleet::LoadGuard& load, std::size_t waitingTokens) {
  const MonotonicTime sent = monotonicNow();
  const double wayMs = context_.pool.wayMsTo(dispatch.server, sent);
  auto attempt = std::make_shared<ServerAttempt>(context_.client, context_.servers, job.relay);
  job.attempt = attempt;
  std::optional<WaitingDispatches::Guard> waiting;
  if (dispatch.weights) {
    waiting.emplace(waiting_, job.request.model, *dispatch.weights,
                    [attempt] { attempt->recall(); });
  }
  attempt->onFirstBytes([this, &job, &load, &dispatch, &waiting, waitingTokens, sent, wayMs] {
    waiting.reset();
    load.endPrefill();
    noteBegin(job, dispatch);
    if (settings_.learnRates && dispatch.weights) {
      context_.pool.observeFirstToken(dispatch.server.id, waitingTokens,
                                      toMilliseconds(monotonicNow() - sent) - wayMs);
    }
  });
  const AttemptBounds bounds = boundsOf(job, wayMs);
  const FailureUse failureUse = job.mayMoveOn() ? FailureUse::kKeep : FailureUse::kDeliver;
  Result<void> outcome =
      co_await attempt->run(job.request, dispatch, bounds, job.streaming(), failureUse);
  attempt->onFirstBytes(nullptr);
  job.attempt.reset();
  job.status = attempt->status();
  if (attempt->keptFailure()) {
    job.keptFailure = std::move(attempt->keptFailure());
  }
  waiting.reset();
  if (!outcome && attempt->recalled() && !provesNotRun(outcome.error().kind)) {
    outcome =
        fail(ErrorKind::kWeightsOutdated, "server '" + dispatch.server.id.value() +
                                              "' had answered nothing when its weights ran out");
  }
  if (!outcome && !provesNotRun(outcome.error().kind)) {
    ++job.attempts.mayHaveRun;
  }
  std::optional<WeightsVersion> weights = attempt->weights();
  if (!outcome && outcome.error().kind == ErrorKind::kFenced) {
    weights = weightsBehind(job, dispatch, weights);
    if (weights) {
      outcome = fail(ErrorKind::kOtherWeights, outcome.error().detail + ": it has weights " +
                                                   std::to_string(weights->value()));
      ++job.attempts.otherWeights;
    }
  }
  if (const auto connected = attempt->connectTime()) {
    context_.pool.observeConnect(dispatch.server.id, toMilliseconds(*connected), monotonicNow());
  }
  // A connection that this node closed itself says nothing of the server.
  if (!job.expired && !attempt->recalled() && !job.writer.callerGone()) {
    learnFrom(job, dispatch.server, outcome, weights);
  }
  co_return outcome;
}

std::optional<Milliseconds> Forwarder::outdatedFor(const Job& job, WeightsVersion weights,
                                                   MonotonicTime now) const {
  return ageOf(context_.weights(job.request.model, weights).outdatedSince, now);
}

void Forwarder::noteBegin(Job& job, const Dispatch& dispatch) const {
  if (!dispatch.weights) {
    return;
  }
  job.begunOutdatedFor = outdatedFor(job, *dispatch.weights, monotonicNow());
  if (job.begunOutdatedFor) {
    context_.metrics.countOutdatedBegin(*job.begunOutdatedFor > settings_.weightsBound);
  }
}

void Forwarder::moveCache(const Job& job, const routing::Candidate& chosen,
                          const std::optional<routing::Candidate>& holder, std::uint64_t sharedKey,
                          Dispatch& dispatch) const {
  const WeightsView view = context_.weights(job.request.model, chosen.weights);
  CacheMoveQuery query;
  query.serverWeights = chosen.weights;
  query.outdatedSince = view.outdatedSince;
  query.weightsProvenAt = view.provenAt;
  const fleet::Server* holding = holder ? context_.pool.find(holder->id) : nullptr;
  if (holding != nullptr) {
    query.holder = holding->endpoint;
    query.holderWeights = holder->weights;
  }
  query.sharedKey = sharedKey;
  query.store = context_.cacheStore(query.sharedKey);
  query.sharedTokens = job.routeRequest.sharedTokens;
  const CacheMove move = cacheMoves_.decide(query, monotonicNow());
  dispatch.fetchCacheFrom = move.fetchFrom;
  dispatch.saveCacheTo = move.saveTo;
}

std::optional<WeightsVersion> Forwarder::weightsBehind(const Job& job, const Dispatch& dispatch,
                                                       std::optional<WeightsVersion> told) const {
  if (!dispatch.weights || told == dispatch.weights) {
    return std::nullopt;
  }
  if (told) {
    return told;
  }
  const WeightsView view = context_.weights(job.request.model, *dispatch.weights);
  return view.outdatedSince ? view.newest : std::nullopt;
}

bool Forwarder::isKnownWith(const BackendId& id, const ModelId& model,
                            WeightsVersion weights) const {
  const fleet::Server* server = context_.pool.find(id);
  return server != nullptr && std::find(server->models.begin(), server->models.end(),
                                        fleet::LoadedModel{model, weights}) != server->models.end();
}

void Forwarder::learnFrom(Job& job, const fleet::Server& server, const Result<void>& outcome,
                          std::optional<WeightsVersion> weights) {
  const MonotonicTime now = monotonicNow();
  if (weights) {
    context_.pool.applyWeights(server.id, job.request.model, *weights, now);
  }
  if (outcome) {
    context_.pool.recordSuccess(server.id);
    return;
  }
  switch (outcome.error().kind) {
    case ErrorKind::kConnectFailed:
    case ErrorKind::kFenced:
      context_.pool.markUnreachable(server.id, now);
      break;
    case ErrorKind::kOtherWeights:
      // It may have the request at once, under the weights that were just learnt; but not where
      // these are older than those that it was known by.
      if (isKnownWith(server.id, job.request.model, weights.value_or(WeightsVersion()))) {
        std::erase(job.routeRequest.avoided, server.id);
      } else {
        context_.pool.pause(server.id, now + settings_.refusalPause, now);
      }
      break;
    case ErrorKind::kBackendRefused:
      context_.pool.pause(server.id, now + pauseAfterRefusal(job, server), now);
      break;
    case ErrorKind::kOutcomeUnknown:
    case ErrorKind::kStreamBroken:
    case ErrorKind::kProtocolViolation:
    case ErrorKind::kDeadlineExceeded:
      context_.pool.recordFailure(server.id, now);
      break;
    default:
      break;
  }
}

Milliseconds Forwarder::pauseAfterRefusal(const Job& job, const fleet::Server& server) const {
  const bool outdated = std::any_of(
      server.models.begin(), server.models.end(), [this, &job](const fleet::LoadedModel& loaded) {
        return loaded.model == job.request.model &&
               context_.weights(loaded.model, loaded.weights).outdatedSince.has_value();
      });
  return outdated ? settings_.loadPause : settings_.refusalPause;
}

AttemptBounds Forwarder::boundsOf(const Job& job, double wayMs) const {
  const Milliseconds left = until(job.end);
  /// A connection takes one way there and back, and an acknowledgement another; the rest is for a
  /// slow process or a lost packet.
  constexpr double kConnectWays = 4;
  const Milliseconds fromWay(static_cast<std::int64_t>(kConnectWays * wayMs));
  AttemptBounds bounds;
  bounds.connectTimeout = std::min(std::max(settings_.connectTimeout, fromWay), left);
  bounds.unacknowledgedTimeout = settings_.unacknowledgedTimeout;
  if (bounds.unacknowledgedTimeout > Milliseconds(0)) {
    bounds.unacknowledgedTimeout = std::max(bounds.unacknowledgedTimeout, fromWay);
  }
  bounds.headTimeout = left;
  bounds.firstEventTimeout = left;
  bounds.eventTimeout = left;
  if (settings_.movesOn && job.mayMoveOn()) {
    const Milliseconds patience(static_cast<std::int64_t>(
        settings_.patienceTargets * static_cast<double>(job.grant.route->targetLatency.count())));
    bounds.headTimeout = std::min(left, patience);
    bounds.firstEventTimeout = bounds.headTimeout;
    bounds.eventTimeout = std::min(left, settings_.eventTimeout);
  }
  return bounds;
}

}  // namespace calicodrift::forward
