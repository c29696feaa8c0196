// One dispatch of a job: what the chosen server is sent, and what is learnt from its answer.

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

/// What the end of an attempt tells of its server's version. Attempts that the caller or this node
/// ended are not asked about.
DispatchEnd endOf(const ServerAttempt& attempt, const Result<void>& outcome, bool streaming,
                  bool expired) {
  constexpr unsigned kFirstServerFailure = 500;
  if (!attempt.answered()) {
    // A server that is up and lets the time run out is as bad as one that breaks off.
    const bool silent =
        !outcome && (expired || outcome.error().kind == ErrorKind::kDeadlineExceeded);
    return silent ? DispatchEnd::kBroken : DispatchEnd::kNoAnswer;
  }
  if (attempt.status() >= kFirstServerFailure) {
    return DispatchEnd::kFailed;
  }
  if (outcome) {
    return DispatchEnd::kAnswered;
  }
  const bool broken = streaming && !expired && outcome.error().kind == ErrorKind::kStreamBroken;
  return broken ? DispatchEnd::kBroken : DispatchEnd::kNoAnswer;
}

/// When the first event should come, by what routing goes by.
/// @param sharedThere whether the prompt's common part is there or can be fetched, as routing
/// presumes of each server that it chooses; it is read in full where it isn't.
double expectedStartMs(const routing::RouteRequest& request, const routing::Candidate& candidate,
                       std::size_t uncached, bool sharedThere) {
  /// The ways there and back, a new connection, and the first step of the engine.
  constexpr double kBaseMs = 10;
  const std::size_t tokens = sharedThere ? uncached : request.promptTokens;
  return routing::queueDelayMs(candidate) + routing::admissionDelayMs(request, candidate) +
         static_cast<double>(tokens) / candidate.prefillTokensPerMs + kBaseMs;
}

/// Mean time between the events of a stream; nothing for one of hardly any.
std::optional<double> paceMs(const EventTiming& timing) {
  constexpr std::size_t kLeastEvents = 2;
  if (!timing.first || timing.later < kLeastEvents) {
    return std::nullopt;
  }
  return toMilliseconds(timing.last - *timing.first) / static_cast<double>(timing.later);
}

}  // namespace

awaitable<Result<void>> Forwarder::dispatchOnce(Job& job) {
  context_.endWeightsTerms();
  if (!knowsWeights(job)) {
    co_return fail(ErrorKind::kNoConfiguration, "the named weights have not been read yet");
  }
  const Result<Chosen> choice = co_await chooseWithinLimits(job);
  if (!choice) {
    co_return choice.error();
  }
  const Chosen& chosen = choice.value();
  const MonotonicTime now = monotonicNow();
  routing::Policy& policy = policyFor(job);
  job.routeRequest.avoided.push_back(chosen.server.id);
  job.lastServer = chosen.server.id;
  ++job.attempts.sent;
  context_.metrics.countDispatch(chosen.candidate.nearby);
  policy.onDispatched(job.routeRequest, chosen.candidate, now);
  fleet::LoadGuard load(context_.pool, chosen.server.id,
                        {job.request.promptTokens + job.request.outputTokens, chosen.uncached,
                         fleet::incarnationOf(chosen.server)});
  Dispatch dispatch = makeDispatch(job, chosen.server, chosen.candidate);
  const std::uint64_t sharedKey = sharedKeyOf(job.routeRequest, dispatch.cacheScope);
  if (!job.request.model.value().empty()) {
    moveCache(job, chosen, sharedKey, dispatch);
  }
  const WeightsView weights = context_.weights(job.request.model, chosen.candidate.weights);
  logDispatched({job.request, job.grant, dispatch, chosen.candidate, chosen.reason,
                 chosen.candidates, job.attempts.sent, chosen.waitingTokens(), sharedKey,
                 ageOf(weights.outdatedSince, now), weights.knownBy,
                 std::chrono::floor<Milliseconds>(now - startedAt_),
                 ageOf(context_.pool.peerLoadsAt(), now), chosen.atLimits,
                 context_.pool.restingOf(job.service, job.request.model, now).count});
  Result<void> outcome = co_await runAttempt(job, dispatch, chosen, load);
  const auto underWay = std::chrono::floor<Milliseconds>(monotonicNow() - now);
  co_await judgeRequest(job, chosen.server, underWay, outcome);
  if (outcome) {
    policy.onCompleted(job.routeRequest, chosen.candidate, 0, monotonicNow());
    if (dispatch.saveCacheTo) {
      cacheMoves_.onSaved(sharedKey, *dispatch.saveCacheTo, monotonicNow());
    }
  }
  co_return outcome;
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
                                              const Chosen& chosen, fleet::LoadGuard& load) {
  const MonotonicTime sent = monotonicNow();
  const std::size_t waitingTokens = chosen.waitingTokens();
  const double wayMs = context_.pool.wayMsTo(dispatch.server, sent);
  std::optional<double> startMs;
  const bool counts = job.attempts.sent == 1 || chosen.track == fleet::Track::kCandidate;
  if (context_.rollouts.onSent && chosen.order != service_rollout::OrderKey() && counts) {
    context_.rollouts.onSent(job.service, chosen.order, chosen.track);
  }
  auto attempt = std::make_shared<ServerAttempt>(
      context_.calls, context_.servers, job.relay,
      chosen.tookUnit ? CallPurpose::kRequestWithUnit : CallPurpose::kRequest);
  job.attempt = attempt;
  std::optional<WaitingDispatches::Guard> waiting;
  if (dispatch.weights) {
    waiting.emplace(waiting_, job.request.model, *dispatch.weights,
                    [attempt] { attempt->recall(); });
  }
  attempt->onFirstBytes(
      [this, &job, &load, &dispatch, &waiting, &startMs, waitingTokens, sent, wayMs] {
        waiting.reset();
        startMs = toMilliseconds(monotonicNow() - sent);
        load.endPrefill();
        noteBegin(job, dispatch);
        if (settings_.learnRates && dispatch.weights && context_.pool.isCurrent(dispatch.server)) {
          context_.pool.observeFirstToken(dispatch.server.id, waitingTokens, *startMs - wayMs);
        }
      });
  const AttemptBounds bounds = boundsOf(job, wayMs);
  const FailureUse failureUse = job.mayMoveOn() ? FailureUse::kKeep : FailureUse::kDeliver;
  Result<void> outcome =
      co_await attempt->run(job.request, dispatch, bounds, job.streaming(), failureUse);
  attempt->onFirstBytes(nullptr);
  job.attempt.reset();
  waiting.reset();
  const bool notSent = !outcome && (outcome.error().kind == ErrorKind::kConnectFailed ||
                                    outcome.error().kind == ErrorKind::kServerWithdrawn);
  if (chosen.tookUnit && notSent) {
    context_.serverLimits.giveBack(dispatch.server);
  }
  if (!outcome && outcome.error().kind == ErrorKind::kServerWithdrawn) {
    // No server has seen it, so that the next one is its first.
    --job.attempts.sent;
  }
  const std::optional<WeightsVersion> weights = noteEnd(job, dispatch, *attempt, outcome);
  if (const auto connected = attempt->connectTime()) {
    context_.pool.observeConnect(dispatch.server.id, toMilliseconds(*connected), monotonicNow());
  }
  // A connection that this node closed itself says nothing of the server.
  if (!attempt->recalled() && !job.writer.callerGone()) {
    observe(job, dispatch, chosen, endOf(*attempt, outcome, job.streaming(), job.expired), startMs);
  }
  if (!job.expired && !attempt->recalled() && !job.writer.callerGone()) {
    learnFrom(job, dispatch.server, outcome, weights);
  }
  co_return outcome;
}

std::optional<WeightsVersion> Forwarder::noteEnd(Job& job, const Dispatch& dispatch,
                                                 ServerAttempt& attempt,
                                                 Result<void>& outcome) const {
  job.status = attempt.status();
  job.ranToItsEnd = attempt.keptFailure().has_value();
  if (attempt.keptFailure()) {
    job.keptFailure = std::move(attempt.keptFailure());
  }
  if (!outcome && attempt.recalled() && !provesNotRun(outcome.error().kind)) {
    outcome =
        fail(ErrorKind::kWeightsOutdated, "server '" + dispatch.server.id.value() +
                                              "' had answered nothing when its weights ran out");
  }
  if (!outcome && !provesNotRun(outcome.error().kind)) {
    ++job.attempts.mayHaveRun;
  }
  std::optional<WeightsVersion> weights = attempt.weights();
  if (!outcome && outcome.error().kind == ErrorKind::kFenced) {
    weights = attempt.fromAnother() ? std::nullopt : weightsBehind(job, dispatch, weights);
    if (weights) {
      outcome = fail(ErrorKind::kOtherWeights, outcome.error().detail + ": it has weights " +
                                                   std::to_string(weights->value()));
      ++job.attempts.otherWeights;
    }
  }
  return weights;
}

awaitable<void> Forwarder::judgeRequest(Job& job, const fleet::Server& server,
                                        Milliseconds underWay, const Result<void>& outcome) {
  quarantine::QuarantineNode& quarantine = context_.quarantine;
  if (outcome || job.ranToItsEnd) {
    if (quarantine.remembersAny()) {
      quarantine.noteServed(job.fingerprint());
    }
  } else if (co_await hasEndedUnder(job, server, outcome)) {
    const quarantine::RequestFingerprint fingerprint = job.fingerprint();
    logServerEnded(job.request.id, fingerprint, server.id, outcome.error());
    if (context_.pool.isCurrent(server)) {
      context_.pool.markUnreachable(server.id, monotonicNow());
    }
    co_await quarantine.noteEnded(fingerprint, quarantine::runOf(server), underWay);
  }
  job.trial = {};
}

awaitable<bool> Forwarder::hasEndedUnder(const Job& job, const fleet::Server& server,
                                         const Result<void>& outcome) {
  const bool brokeOff = outcome.error().kind == ErrorKind::kOutcomeUnknown ||
                        outcome.error().kind == ErrorKind::kStreamBroken;
  // A connection that this node closed itself says nothing of the server.
  if (!brokeOff || job.expired || job.writer.callerGone()) {
    co_return false;
  }
  // One that was to leave has ended as planned.
  const fleet::Server* listed = context_.pool.find(server.id);
  if (listed == nullptr || listed->draining) {
    co_return false;
  }
  co_return co_await crashCheck_.hasEnded(server);
}

bool Forwarder::knowsWeights(const Job& job) const {
  return job.request.model.value().empty() ||
         context_.weights(job.request.model, WeightsVersion()).provenAt != MonotonicTime{};
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

void Forwarder::observe(const Job& job, const Dispatch& dispatch, const Chosen& chosen,
                        DispatchEnd end, std::optional<double> startMs) {
  const RolloutHooks& hooks = context_.rollouts;
  if (!hooks.onAnswer) {
    return;
  }
  const MonotonicTime now = monotonicNow();
  DispatchReport report;
  report.service = job.service;
  report.route = job.routeKey();
  report.track = chosen.track;
  report.order = chosen.order;
  report.server = chosen.server.id;
  // A stream of a run that another has replaced was broken off by its crash.
  const bool replaced = !context_.pool.isCurrent(chosen.server);
  report.end = replaced && end == DispatchEnd::kBroken ? DispatchEnd::kNoAnswer : end;
  report.tellsSpeed =
      chosen.tellsSpeed && !replaced && context_.pool.tellsSpeed(chosen.server.id, now);
  report.startMs = startMs;
  if (dispatch.weights) {
    const bool sharedThere =
        chosen.track == service_rollout::Track::kStable || dispatch.fetchCacheFrom.has_value();
    report.expectedStartMs =
        expectedStartMs(job.routeRequest, chosen.candidate, chosen.uncached, sharedThere);
  }
  if (job.streaming() && end == DispatchEnd::kAnswered) {
    report.paceMs = paceMs(job.relay.timing());
  }
  if (const auto answer = observer_.observe(report, now)) {
    hooks.onAnswer(chosen.order, *answer);
  }
  const auto isUp = [this](const BackendId& id) { return context_.pool.reachedByAll(id); };
  for (const auto& [order, answer] : observer_.takeBroken(isUp, now)) {
    hooks.onAnswer(order, answer);
  }
}

void Forwarder::moveCache(const Job& job, const Chosen& chosen, std::uint64_t sharedKey,
                          Dispatch& dispatch) const {
  const WeightsView view = context_.weights(job.request.model, chosen.candidate.weights);
  CacheMoveQuery query;
  query.serverWeights = chosen.candidate.weights;
  query.outdatedSince = view.outdatedSince;
  query.weightsProvenAt = view.provenAt;
  const fleet::Server* holding = chosen.holder ? context_.pool.find(chosen.holder->id) : nullptr;
  if (holding != nullptr) {
    query.holder = holding->endpoint;
    query.holderWeights = chosen.holder->weights;
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
  if (!dispatch.weights) {
    return std::nullopt;
  }
  if (told) {
    return *told > *dispatch.weights ? told : std::nullopt;
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
  if (!context_.pool.isCurrent(server)) {
    return;
  }
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
