#include "forward/forwarder.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "common/hashing.h"
#include "forward/answer_relay.h"
#include "forward/cache_scope.h"
#include "forward/prompt_blocks.h"
#include "forward/server_attempt.h"
#include "forward/tenant_limit.h"
#include "routing/cost.h"

namespace calicodrift::forward {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

Milliseconds until(MonotonicTime end) {
  const auto left = std::chrono::duration_cast<Milliseconds>(end - monotonicNow());
  return std::max(left, Milliseconds(1));
}

std::string_view nameOf(routes::RouteKind kind) {
  switch (kind) {
    case routes::RouteKind::kSafe:
      return "safe";
    case routes::RouteKind::kUnsafe:
      return "unsafe";
    case routes::RouteKind::kStreaming:
      return "streaming";
  }
  return "unsafe";
}

std::optional<Milliseconds> ageOf(std::optional<MonotonicTime> since, MonotonicTime now) {
  if (!since) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(now - *since);
}

/// Whether the dispatch that failed so was not sent, or has not run for certain.
bool neverRan(ErrorKind failure) {
  return provesNotRun(failure) || failure == ErrorKind::kNoBackend ||
         failure == ErrorKind::kOverloaded;
}

/// What the caller is told after the last dispatch: a promise that the request has not run only
/// where that holds for all dispatches together.
ErrorKind finalKind(ErrorKind last, const AttemptCount& attempts) {
  if (attempts.mayHaveRun > 0) {
    return errorRow(last).run == RunStatement::kNo ? ErrorKind::kOutcomeUnknown : last;
  }
  if (last == ErrorKind::kDeadlineExceeded) {
    return ErrorKind::kOverloaded;
  }
  return provesNotRun(last) ? ErrorKind::kNoBackend : last;
}

}  // namespace

/// One request over its dispatches. Shared with the timer and the caller's connection, which may
/// end it from outside.
struct Forwarder::Job {
  Job(Request givenRequest, Grant givenGrant, http::ResponseWriter& writer,
      const asio::any_io_executor& executor)
      : request(std::move(givenRequest)),
        grant(std::move(givenGrant)),
        writer(writer),
        relay(writer, request.resumeAfter),
        routeRequest(toRouteRequest(request, grant)),
        limitUse(request, grant.tenant),
        timer(executor) {
    const Milliseconds allowed =
        std::min(grant.route->timeout, request.patience.value_or(grant.route->timeout));
    end = request.received + allowed;
  }

  /// Whether another server may go on where this one fails.
  bool mayMoveOn() const {
    return grant.route->idempotent() && attempts.mayHaveRun + 1 < grant.route->maxAttempts;
  }
  bool streaming() const { return grant.route->kind == routes::RouteKind::kStreaming; }
  /// Ends the dispatch that is under way.
  void cancelAttempt() {
    if (attempt) {
      attempt->cancel();
    }
  }

  Request request;
  Grant grant;
  http::ResponseWriter& writer;
  AnswerRelay relay;
  routing::RouteRequest routeRequest;
  TenantLimitUse limitUse;
  std::string service;
  MonotonicTime end;
  asio::steady_timer timer;
  bool expired = false;
  AttemptCount attempts;
  std::shared_ptr<ServerAttempt> attempt;
  /// A server's own failure, delivered where no other server does better.
  std::optional<http::Response> keptFailure;
  BackendId lastServer;
  /// For how long newer weights had been named when the last server began; nothing where it had the
  /// newest.
  std::optional<Milliseconds> begunOutdatedFor;
  unsigned status = 0;
};

Forwarder::Forwarder(ForwardContext context, ForwardSettings settings, GateSettings gate,
                     std::uint64_t seed)
    : context_(std::move(context)),
      settings_(std::move(settings)),
      gate_(gate),
      refusals_(context_.callers, context_.metrics, settings_.retryAfter),
      cacheMoves_(settings_.cacheMoves),
      modelPolicy_(routing::makePolicy(settings_.modelPolicy, seed)),
      servicePolicy_(routing::makePolicy(settings_.servicePolicy, seed + 1)) {}

void Forwarder::recallWaiting(const ModelId& model, WeightsVersion least) {
  const std::size_t recalled = waiting_.recall(model, least);
  if (recalled > 0) {
    context_.metrics.countRecalls(recalled);
    logRecalled(model, least, recalled);
  }
}

void Forwarder::onServerLost(const BackendId& server) {
  modelPolicy_->onBackendLost(server);
  servicePolicy_->onBackendLost(server);
}

awaitable<void> Forwarder::handle(http::Request& message, http::ResponseWriter& writer) {
  Result<Request> request = context_.callers.read(std::move(message));
  if (!request) {
    co_await refusals_.answer(writer, request.error(), RefusalFacts{});
    co_return;
  }
  const ConfigurationView view = context_.configuration();
  Result<Grant> grant = gate_.check(request.value(), view, monotonicNow());
  if (!grant) {
    RefusalFacts facts = refusalFacts(view, request.value());
    co_await refusals_.answer(writer, grant.error(), std::move(facts));
    co_return;
  }
  auto job = std::make_shared<Job>(std::move(request.value()), std::move(grant.value()), writer,
                                   context_.executor);
  co_await serve(std::move(job));
}

awaitable<void> Forwarder::serve(std::shared_ptr<Job> job) {
  job->service = weights_.choose(*job->grant.route);
  context_.metrics.countRequest(nameOf(job->grant.route->kind));
  budgetOf(job->service).onRequest(monotonicNow());
  job->timer.expires_at(job->end);
  job->timer.async_wait([job](boost::system::error_code code) {
    if (!code) {
      job->expired = true;
      job->cancelAttempt();
    }
  });
  job->writer.onCallerGone([weak = std::weak_ptr(job)] {
    if (const auto held = weak.lock()) {
      held->cancelAttempt();
    }
  });
  Result<void> done = co_await dispatchUntilDone(*job);
  job->timer.cancel();
  job->attempt.reset();
  const bool left = !done && done.error().kind == ErrorKind::kCallerGone;
  if (!done && !left && job->keptFailure && !job->relay.begun()) {
    // No other server did better: the failure of the server that ran it is the answer.
    job->status = job->keptFailure->status;
    done = co_await job->relay.deliver(std::move(*job->keptFailure));
  }
  if (!done) {
    co_await answerError(*job, done.error());
  }
  job->writer.onCallerGone(nullptr);
  tellAnswer(*job, done.has_value());
}

void Forwarder::tellAnswer(const Job& job, bool done) const {
  constexpr double kMsPerSecond = 1000;
  const auto whole =
      std::chrono::duration_cast<Milliseconds>(monotonicNow() - job.request.received);
  context_.metrics.countAnswer(done ? job.status : 0);
  context_.metrics.observeWhole(toMilliseconds(whole) / kMsPerSecond);
  AnswerFacts facts{
      job.request.id,      job.status, job.lastServer, job.attempts.sent, whole, {}, {},
      job.begunOutdatedFor};
  if (const auto first = job.relay.firstEventTime()) {
    facts.firstPiece = std::chrono::duration_cast<Milliseconds>(*first - job.request.received);
    facts.longestPause = std::chrono::duration_cast<Milliseconds>(job.relay.longestPause());
    context_.metrics.observeFirstByte(toMilliseconds(*facts.firstPiece) / kMsPerSecond);
    context_.metrics.observePause(toMilliseconds(facts.longestPause) / kMsPerSecond);
  }
  if (done) {
    logAnswered(facts);
  }
}

awaitable<Result<void>> Forwarder::dispatchUntilDone(Job& job) {
  Result<void> outcome = boost::outcome_v2::success();
  for (;;) {
    Result<void> allowed = co_await mayDispatch(job);
    if (!allowed) {
      // A second dispatch that is not allowed leaves the failure of the first.
      co_return job.attempts.sent == 0 ? allowed : outcome;
    }
    if (job.writer.callerGone()) {
      job.limitUse.giveBack(context_.quota);
      co_return fail(ErrorKind::kCallerGone, "the caller left");
    }
    outcome = co_await dispatchOnce(job);
    if (outcome) {
      co_return outcome;
    }
    const ErrorKind failure = outcome.error().kind;
    if (neverRan(failure)) {
      job.limitUse.giveBack(context_.quota);
    }
    if (job.writer.callerGone()) {
      co_return fail(ErrorKind::kCallerGone, "the caller left");
    }
    if (job.expired) {
      co_return fail(ErrorKind::kDeadlineExceeded, "the time of the request is over");
    }
    if (!takeRetry(job, failure)) {
      co_return outcome;
    }
    context_.metrics.countRetry(errorRow(failure).name);
    logRetried(job.request.id, job.lastServer, outcome.error());
  }
}

awaitable<Result<void>> Forwarder::mayDispatch(Job& job) {
  Result<void> claimed = co_await job.limitUse.claim(context_.quota);
  if (!claimed) {
    co_return claimed;
  }
  Result<void> sendable =
      gate_.mayBeSent(job.request, job.grant, context_.configuration(), monotonicNow());
  if (!sendable) {
    job.limitUse.giveBack(context_.quota);
  }
  co_return sendable;
}

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
  context_.metrics.countDispatch();
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
  const Milliseconds wait(static_cast<std::int64_t>(routing::expectedWaitMs(candidate)));
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
  auto attempt = std::make_shared<ServerAttempt>(context_.client, context_.servers, job.relay);
  job.attempt = attempt;
  bool recalled = false;
  std::optional<WaitingDispatches::Guard> waiting;
  if (dispatch.weights) {
    waiting.emplace(waiting_, job.request.model, *dispatch.weights, [&recalled, &attempt] {
      recalled = true;
      attempt->cancel();
    });
  }
  attempt->onFirstBytes([this, &job, &load, &dispatch, &waiting, waitingTokens, sent] {
    waiting.reset();
    load.endPrefill();
    noteBegin(job, dispatch);
    if (settings_.learnRates && dispatch.weights) {
      context_.pool.observeFirstToken(dispatch.server.id, waitingTokens,
                                      toMilliseconds(monotonicNow() - sent));
    }
  });
  const AttemptBounds bounds = boundsOf(job);
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
  if (!outcome && recalled && !provesNotRun(outcome.error().kind)) {
    outcome = fail(ErrorKind::kWeightsOutdated, "server '" + dispatch.server.id.value() +
                                                    "' had not begun when its weights ran out");
  }
  if (!outcome && !provesNotRun(outcome.error().kind)) {
    ++job.attempts.mayHaveRun;
  }
  // How a recalled dispatch ended says nothing of its server.
  if (!job.expired && !recalled && !job.writer.callerGone()) {
    learnFrom(job, dispatch.server, outcome, attempt->weights());
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

void Forwarder::learnFrom(const Job& job, const fleet::Server& server, const Result<void>& outcome,
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

bool Forwarder::untriedServerLeft(const Job& job) {
  const routing::CandidateSet& candidates =
      context_.pool.candidates(job.service, job.request.model, monotonicNow());
  const std::vector<BackendId>& tried = job.routeRequest.avoided;
  for (std::size_t position = 0; position < candidates.size(); ++position) {
    if (std::find(tried.begin(), tried.end(), candidates[position].id) == tried.end()) {
      return true;
    }
  }
  return false;
}

bool Forwarder::takeRetry(Job& job, ErrorKind failure) {
  if (!settings_.retries) {
    return false;
  }
  // A server that has just refused will not take the request a moment later.
  if (failure == ErrorKind::kBackendRefused && !untriedServerLeft(job)) {
    return false;
  }
  const RetryDecision decision = mayRetry(*job.grant.route, failure, job.attempts);
  if (decision != RetryDecision::kBudgeted) {
    return decision == RetryDecision::kFree;
  }
  const bool allowed = budgetOf(job.service).tryTake(monotonicNow());
  if (!allowed) {
    context_.metrics.countRetryDenied();
  }
  return allowed;
}

AttemptBounds Forwarder::boundsOf(const Job& job) const {
  const Milliseconds left = until(job.end);
  AttemptBounds bounds;
  bounds.connectTimeout = std::min(settings_.connectTimeout, left);
  bounds.unacknowledgedTimeout = settings_.unacknowledgedTimeout;
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

awaitable<void> Forwarder::answerError(Job& job, Error error) {
  if (error.kind == ErrorKind::kCallerGone) {
    logCancelled(job.request.id);
    job.writer.abort();
    co_return;
  }
  if (job.relay.begun()) {
    context_.metrics.countError(errorRow(error.kind).name);
    logBroken(job.request.id, job.lastServer, error);
    job.relay.abort();
    co_return;
  }
  error.kind = finalKind(error.kind, job.attempts);
  RefusalFacts facts = refusalFacts(context_.configuration(), job.request);
  facts.config = job.grant.table->version();
  facts.attempts = job.attempts;
  facts.server = job.lastServer;
  co_await refusals_.answer(job.writer, std::move(error), std::move(facts));
}

routing::Policy& Forwarder::policyFor(const Job& job) {
  return job.request.prompt.empty() ? *servicePolicy_ : *modelPolicy_;
}

limits::RetryBudget& Forwarder::budgetOf(const std::string& service) {
  const auto found = budgets_.find(service);
  if (found != budgets_.end()) {
    return found->second;
  }
  const limits::RetryBudget fresh(settings_.retryFraction, settings_.retryFloorPerSecond,
                                  settings_.retryFloorBurst);
  return budgets_.emplace(service, fresh).first->second;
}

}  // namespace calicodrift::forward
