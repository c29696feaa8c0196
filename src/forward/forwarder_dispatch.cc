// Runs one dispatch of a job: builds it for the chosen server and evaluates the answer.

#include <algorithm>
#include <boost/asio.hpp>

#include "forward/cache_scope.h"
#include "forward/forward_job.h"
#include "forward/remaining_time.h"
#include "http/status.h"
#include "routing/cost.h"

namespace calicodrift::forward {
namespace {

using boost::asio::awaitable;

std::optional<Milliseconds> ageOf(std::optional<MonotonicTime> since, MonotonicTime now) {
  if (!since) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Milliseconds>(now - *since);
}

/// Ids of the parts, separated by commas.
std::string promptPartsText(const std::vector<PromptPart>& prompt) {
  std::string text;
  for (const PromptPart& part : prompt) {
    text += (text.empty() ? "" : ",") + part.id;
  }
  return text;
}

/// Whether the dispatch failed because its path to the server was lost.
bool isPathLost(const Result<void>& outcome) {
  return !outcome && outcome.error().reason == server_paths::kPathLost;
}

/// Classifies the end of an attempt as evidence about its server's version. Not called for attempts
/// that the caller or this node ended.
DispatchEnd classifyEnd(const ServerAttempt& attempt, const Result<void>& outcome, bool streaming,
                        bool expired) {
  constexpr unsigned kFirstServerErrorStatus = 500;
  if (!attempt.answered()) {
    // A server that is up but exceeds the time limit counts like one whose stream breaks.
    const bool silent =
        !outcome && (expired || outcome.error().kind == ErrorKind::kDeadlineExceeded);
    return silent ? DispatchEnd::kBroken : DispatchEnd::kNoAnswer;
  }
  if (attempt.status() >= kFirstServerErrorStatus) {
    return DispatchEnd::kFailed;
  }
  if (outcome) {
    return DispatchEnd::kAnswered;
  }
  const bool broken = streaming && !expired && outcome.error().kind == ErrorKind::kStreamBroken;
  return broken ? DispatchEnd::kBroken : DispatchEnd::kNoAnswer;
}

/// Expected time to the first event in milliseconds, from the data that routing uses.
/// @param sharedPrefixAvailable whether the server has the prompt's common prefix or can fetch it,
/// as routing assumes for each server that it chooses; otherwise the whole prompt is prefilled.
double expectedStartMs(const routing::RouteRequest& request, const routing::Candidate& candidate,
                       std::size_t uncachedTokens, bool sharedPrefixAvailable) {
  /// Round trip, a new connection, and the engine's first step.
  constexpr double kBaseMs = 10;
  const std::size_t tokens = sharedPrefixAvailable ? uncachedTokens : request.promptTokens;
  return routing::queueDelayMs(candidate) + routing::admissionDelayMs(request, candidate) +
         static_cast<double>(tokens) / candidate.prefillTokensPerMs + kBaseMs;
}

/// Mean time between the events of a stream, in milliseconds; empty if it has too few of them.
std::optional<double> paceMs(const EventTiming& timing) {
  constexpr std::size_t kMinEvents = 2;
  if (!timing.first || timing.later < kMinEvents) {
    return std::nullopt;
  }
  return toMilliseconds(timing.last - *timing.first) / static_cast<double>(timing.later);
}

}  // namespace

void Forwarder::applyNewestIsolation(Job& job) {
  const ConfigurationView view = context_.configuration();
  if (view.table == nullptr || view.table == job.grant.table) {
    return;
  }
  const std::optional<CacheIsolation> newest = isolationIn(*view.table, job.grant, job.request);
  if (!newest || *newest == isolationOf(job.grant)) {
    return;
  }
  job.grant.isolation = newest;
  std::vector<BackendId> avoided = std::move(job.routeRequest.avoided);
  job.routeRequest = toRouteRequest(job.request, job.grant);
  job.routeRequest.avoided = std::move(avoided);
}

awaitable<Result<void>> Forwarder::dispatchOnce(Job& job) {
  context_.removeExpiredWeights();
  applyNewestIsolation(job);
  if (!knowsWeights(job)) {
    co_return fail(ErrorKind::kNoConfiguration, "the named weights have not been read yet");
  }
  const Result<ChosenServer> choice = co_await chooseWithinLimits(job);
  if (!choice) {
    co_return choice.error();
  }
  const ChosenServer& chosen = choice.value();
  const MonotonicTime now = monotonicNow();
  routing::Policy& policy = policyFor(job);
  job.routeRequest.avoided.push_back(chosen.server.id);
  job.lastServer = chosen.server.id;
  ++job.attempts.sent;
  context_.metrics.countDispatch(chosen.candidate.nearby);
  policy.onDispatched(job.routeRequest, chosen.candidate, now);
  fleet::LoadGuard load(context_.pool, chosen.server.id,
                        {job.request.promptTokens + job.request.outputTokens, chosen.uncachedTokens,
                         fleet::incarnationOf(chosen.server)});
  // The choice may have waited.
  applyNewestIsolation(job);
  Dispatch dispatch = makeDispatch(job, chosen.server, chosen.candidate);
  const std::uint64_t sharedKey = sharedKeyOf(job.routeRequest, dispatch.cacheScope);
  if (!job.request.model.value().empty()) {
    planCacheTransfers(job, chosen, sharedKey, dispatch);
  }
  const WeightsView weights = context_.weights(job.request.model, chosen.candidate.weights);
  logDispatched({job.request, job.grant, dispatch, chosen.candidate, chosen.reason,
                 chosen.candidates, job.attempts.sent, chosen.waitingTokens(), sharedKey,
                 ageOf(weights.outdatedSince, now), weights.source,
                 std::chrono::floor<Milliseconds>(now - startedAt_),
                 ageOf(context_.pool.peerLoadsAt(), now), chosen.atLimitCount,
                 context_.pool.backedOffServers(job.service, job.request.model, now).count});
  Result<void> outcome = co_await runAttempt(job, dispatch, chosen, load);
  const auto underWay = std::chrono::floor<Milliseconds>(monotonicNow() - now);
  co_await reportToQuarantine(job, chosen.server, underWay, outcome);
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
                                              const ChosenServer& chosen, fleet::LoadGuard& load) {
  const MonotonicTime sent = monotonicNow();
  const std::size_t waitingTokens = chosen.waitingTokens();
  const double rttMs = context_.pool.rttMsTo(dispatch.server, sent);
  std::optional<double> startMs;
  const bool counts = job.attempts.sent == 1 || chosen.track == fleet::Track::kCandidate;
  if (context_.rollouts.onSent && chosen.order != service_rollout::OrderKey() && counts) {
    context_.rollouts.onSent(job.service, chosen.order, chosen.track);
  }
  auto attempt = std::make_shared<ServerAttempt>(
      context_.executor, context_.calls, context_.servers, answerEndCheck_, job.relay,
      chosen.usedLimitUnit ? CallPurpose::kRequestWithUnit : CallPurpose::kRequest,
      permissionsOf(job),
      [this, &job, &dispatch, &chosen] { return maySendTo(job, dispatch, chosen); });
  job.attempt = attempt;
  job.dispatchedAt = sent;
  job.failoverGranted = false;
  job.begunAt.reset();
  job.sustained = false;
  std::optional<WaitingDispatches::Guard> waiting;
  if (dispatch.weights) {
    waiting.emplace(waiting_, job.request.model, *dispatch.weights,
                    [attempt] { attempt->recall(); });
  }
  attempt->onFirstBytes(
      [this, &job, &load, &dispatch, &waiting, &startMs, waitingTokens, sent, rttMs] {
        waiting.reset();
        job.begunAt = monotonicNow();
        startMs = toMilliseconds(*job.begunAt - sent);
        load.endPrefill();
        recordStart(job, dispatch);
        if (settings_.learnPrefillRates && dispatch.weights &&
            context_.pool.isCurrent(dispatch.server)) {
          context_.pool.observeFirstToken(dispatch.server.id, waitingTokens, *startMs - rttMs);
        }
      });
  job.relay.onFirstEvent([this, &job, &dispatch] { beginStream(job, dispatch.server); });
  job.relay.onSustained([this, &job, &dispatch] {
    job.sustained = true;
    recordSound(job, dispatch.server);
  });
  const AttemptBounds bounds = boundsOf(job, rttMs);
  const FailureUse failureUse = job.mayFailOver() ? FailureUse::kKeep : FailureUse::kDeliver;
  job.wait = DispatchWait::kConnection;
  Result<void> outcome =
      co_await attempt->run(job.request, dispatch, bounds, job.streaming(), failureUse);
  job.wait = DispatchWait::kNone;
  attempt->onFirstBytes(nullptr);
  job.relay.onFirstEvent(nullptr);
  job.relay.onSustained(nullptr);
  job.attempt.reset();
  waiting.reset();
  job.handedOver = attempt->handedOver();
  if (chosen.usedLimitUnit && !job.handedOver) {
    context_.serverLimits.giveBack(dispatch.server);
  }
  endPermit(job, chosen, outcome);
  if (!outcome && outcome.error().kind == ErrorKind::kServerWithdrawn) {
    // No server received the request, so the next dispatch counts as the first one.
    --job.attempts.sent;
  }
  const std::optional<WeightsVersion> weights = recordAttemptEnd(job, dispatch, *attempt, outcome);
  if (const auto connected = attempt->connectTime()) {
    context_.pool.observeConnect(dispatch.server.id, toMilliseconds(*connected), monotonicNow());
  }
  const bool gaveUpConnecting = attempt->leftSilentServer() && !job.handedOver;
  // A connection that this node closed, or did not use, or a path that was lost, is no evidence
  // about the server.
  const bool aboutServer = !attempt->recalled() && !attempt->withheld() && !gaveUpConnecting &&
                           !job.endedByStop && !job.writer.callerGone() && !isPathLost(outcome);
  if (aboutServer) {
    observe(job, dispatch, chosen, classifyEnd(*attempt, outcome, job.streaming(), job.expired),
            startMs);
  }
  if (!job.expired && aboutServer) {
    updatePool(job, dispatch.server, outcome, weights);
  }
  co_return outcome;
}

Result<void> Forwarder::maySendTo(Job& job, const Dispatch& dispatch, const ChosenServer& chosen) {
  // The event loop may not have reported the close yet.
  const bool callerLeft = job.writer.callerHasClosed();
  recordSend(job, dispatch, chosen, callerLeft);
  if (callerLeft) {
    return callerGoneError();
  }
  BOOST_OUTCOME_TRY(maySend(job));
  context_.removeExpiredWeights();
  Result<void> held = grantsHold(job, dispatch, chosen);
  if (!held) {
    // The server itself is as good as before.
    std::erase(job.routeRequest.avoided, dispatch.server.id);
  }
  return held;
}

Result<void> Forwarder::grantsHold(const Job& job, const Dispatch& dispatch,
                                   const ChosenServer& chosen) const {
  const BackendId& id = dispatch.server.id;
  if (dispatch.weights && !isKnownToHaveWeights(id, job.request.model, *dispatch.weights)) {
    return fail(ErrorKind::kServerWithdrawn,
                "server '" + id.value() + "' has other weights than it was chosen for");
  }
  if (!chosen.permitted && context_.serverLimits.needsPermit(dispatch.server, true)) {
    return fail(ErrorKind::kServerWithdrawn,
                "server '" + id.value() + "' has come to need a permit since it was chosen");
  }
  const auto unitAge = monotonicNow() - chosen.unitAskedAt;
  if (chosen.usedLimitUnit && unitAge > context_.serverLimits.unitTerm()) {
    return fail(ErrorKind::kServerWithdrawn,
                "the unit of the limit of server '" + id.value() + "' has run out");
  }
  return boost::outcome_v2::success();
}

void Forwarder::recordSend(const Job& job, const Dispatch& dispatch, const ChosenServer& chosen,
                           bool callerLeft) const {
  const MonotonicTime now = monotonicNow();
  SendFacts facts{job.request.id, dispatch.server.id};
  facts.sinceCheck = std::chrono::floor<Milliseconds>(now - job.checkedAt);
  facts.sinceDispatch = std::chrono::floor<Milliseconds>(now - job.dispatchedAt);
  if (chosen.usedLimitUnit) {
    facts.unitAge = std::chrono::floor<Milliseconds>(now - chosen.unitAskedAt);
  }
  if (callerLeft) {
    facts.callerLeftIn = job.callerLeftIn ? toString(*job.callerLeftIn) : kUnreportedClose;
    context_.metrics.countDepartureBeforeSend(facts.callerLeftIn);
  }
  logSent(facts);
}

std::optional<WeightsVersion> Forwarder::recordAttemptEnd(Job& job, const Dispatch& dispatch,
                                                          ServerAttempt& attempt,
                                                          Result<void>& outcome) const {
  job.status = attempt.status();
  job.bodyEnd = attempt.bodyEnd();
  job.ranToServerError = attempt.keptFailure().has_value();
  if (attempt.keptFailure()) {
    job.keptFailure = std::move(attempt.keptFailure());
  }
  if (!outcome && attempt.recalled() && !provesNotRun(outcome.error().kind)) {
    job.gaveUpServer = true;
    outcome = fail(ErrorKind::kWeightsOutdated, "server '" + dispatch.server.id.value() +
                                                    "' had not answered when its weights expired");
  }
  if (!outcome && attempt.leftSilentServer() && !provesNotRun(outcome.error().kind)) {
    outcome = fail(ErrorKind::kDeadlineExceeded,
                   "server '" + dispatch.server.id.value() + "' was silent for too long");
    outcome.error().reason = server_paths::kServerSilent;
  }
  if (!outcome && attempt.handedOver() && !provesNotRun(outcome.error().kind)) {
    ++job.attempts.mayHaveRun;
  }
  std::optional<WeightsVersion> weights = attempt.weights();
  if (!outcome && outcome.error().kind == ErrorKind::kFenced) {
    weights = attempt.fromOtherServer() ? std::nullopt : inferServerWeights(job, dispatch, weights);
    if (weights) {
      outcome = fail(ErrorKind::kOtherWeights, outcome.error().detail + ": it has weights " +
                                                   std::to_string(weights->value()));
      ++job.attempts.weightsMismatches;
    }
  }
  return weights;
}

awaitable<void> Forwarder::reportToQuarantine(Job& job, const fleet::Server& server,
                                              Milliseconds underWay, const Result<void>& outcome) {
  if (outcome || job.ranToServerError) {
    recordServed(job);
    if (outcome && http::isSuccess(job.status)) {
      recordSound(job, server);
    }
    job.trial = {};
    co_return;
  }
  const std::optional<Milliseconds> begunFor = ageOf(job.begunAt, monotonicNow());
  const RunState state = co_await runStateAfter(job, server, outcome);
  if (state != RunState::kRunning) {
    InterruptedRequest request{job.request.id,
                               job.fingerprint(),
                               {},
                               promptPartsText(job.request.prompt),
                               underWay,
                               begunFor,
                               outcome.error(),
                               std::move(job.trial)};
    if (!job.sustained) {
      request.parts = job.parts();
    }
    if (state == RunState::kEnded) {
      co_await recordCrash(server, std::move(request));
    } else {
      crashFollowUp_.add(server, std::move(request));
    }
  }
  job.trial = {};
}

void Forwarder::recordServed(Job& job) {
  if (context_.quarantine.tracksAny()) {
    context_.quarantine.recordServed(job.fingerprint());
  }
  if (crashFollowUp_.active()) {
    crashFollowUp_.recordServed(job.fingerprint());
  }
}

void Forwarder::recordSound(Job& job, const fleet::Server& server) {
  context_.quarantine.recordSoundAnswer(server);
  context_.quarantine.recordSoundParts(job.parts());
}

awaitable<void> Forwarder::recordCrash(fleet::Server server, InterruptedRequest request) {
  logServerEnded({request.id, request.fingerprint, request.promptParts, request.underWay,
                  request.begunFor, server.id, request.cause});
  if (context_.pool.isCurrent(server)) {
    context_.pool.markUnreachable(server.id, monotonicNow());
  }
  quarantine::CrashedRequest crashed{request.fingerprint, std::move(request.parts),
                                     request.trial.parts(), request.underWay};
  co_await context_.quarantine.recordCrash(std::move(crashed), std::move(server));
}

awaitable<RunState> Forwarder::runStateAfter(const Job& job, const fleet::Server& server,
                                             const Result<void>& outcome) {
  const bool brokeOff = outcome.error().kind == ErrorKind::kOutcomeUnknown ||
                        outcome.error().kind == ErrorKind::kStreamBroken;
  // A connection that this node closed, or a path that was lost, is no evidence about the server.
  if (!brokeOff || job.expired || job.writer.callerGone() || isPathLost(outcome)) {
    co_return RunState::kRunning;
  }
  // A draining or removed server has ended as planned.
  const fleet::Server* listed = context_.pool.find(server.id);
  if (listed == nullptr || listed->draining) {
    co_return RunState::kRunning;
  }
  co_return co_await crashCheck_.stateOf(server);
}

bool Forwarder::knowsWeights(const Job& job) const {
  return job.request.model.value().empty() ||
         context_.weights(job.request.model, WeightsVersion()).provenAt != MonotonicTime{};
}

std::optional<Milliseconds> Forwarder::outdatedFor(const Job& job, WeightsVersion weights,
                                                   MonotonicTime now) const {
  return ageOf(context_.weights(job.request.model, weights).outdatedSince, now);
}

void Forwarder::recordStart(Job& job, const Dispatch& dispatch) const {
  if (!dispatch.weights) {
    return;
  }
  job.outdatedAtStart = outdatedFor(job, *dispatch.weights, monotonicNow());
  if (job.outdatedAtStart) {
    context_.metrics.countOutdatedStart(*job.outdatedAtStart > settings_.outdatedStartBound);
  }
}

void Forwarder::observe(const Job& job, const Dispatch& dispatch, const ChosenServer& chosen,
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
  // A stream of a run that has been replaced was broken by the crash of that run.
  const bool replaced = !context_.pool.isCurrent(chosen.server);
  report.end = replaced && end == DispatchEnd::kBroken ? DispatchEnd::kNoAnswer : end;
  report.latencyRepresentative = chosen.latencyRepresentative && !replaced &&
                                 context_.pool.isSpeedSample(chosen.server.id, now);
  report.startMs = startMs;
  if (dispatch.weights) {
    const bool sharedPrefixAvailable =
        chosen.track == service_rollout::Track::kStable || dispatch.fetchCacheFrom.has_value();
    report.expectedStartMs = expectedStartMs(job.routeRequest, chosen.candidate,
                                             chosen.uncachedTokens, sharedPrefixAvailable);
  }
  if (job.streaming() && end == DispatchEnd::kAnswered) {
    report.paceMs = paceMs(job.relay.timing());
  }
  if (const auto answer = observer_.observe(report, now)) {
    hooks.onAnswer(chosen.order, *answer);
  }
  const auto isUp = [this](const BackendId& id) {
    return context_.pool.isReachableFromAllNodes(id);
  };
  for (const auto& [order, answer] : observer_.takeBrokenStreams(isUp, now)) {
    hooks.onAnswer(order, answer);
  }
}

void Forwarder::planCacheTransfers(const Job& job, const ChosenServer& chosen,
                                   std::uint64_t sharedKey, Dispatch& dispatch) const {
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

std::optional<WeightsVersion> Forwarder::inferServerWeights(
    const Job& job, const Dispatch& dispatch, std::optional<WeightsVersion> reported) const {
  if (!dispatch.weights) {
    return std::nullopt;
  }
  if (reported) {
    return *reported > *dispatch.weights ? reported : std::nullopt;
  }
  const WeightsView view = context_.weights(job.request.model, *dispatch.weights);
  return view.outdatedSince ? view.newest : std::nullopt;
}

bool Forwarder::isKnownToHaveWeights(const BackendId& id, const ModelId& model,
                                     WeightsVersion weights) const {
  const fleet::Server* server = context_.pool.find(id);
  return server != nullptr && std::find(server->models.begin(), server->models.end(),
                                        fleet::LoadedModel{model, weights}) != server->models.end();
}

void Forwarder::updatePool(Job& job, const fleet::Server& server, const Result<void>& outcome,
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
      context_.pool.recordFailedConnect(server.id, job.dispatchedAt, now);
      break;
    case ErrorKind::kFenced:
      context_.pool.markUnreachable(server.id, now);
      break;
    case ErrorKind::kOtherWeights:
      // The server may get the request again at once, with the weights that it has just reported,
      // unless these are older than the ones known before.
      if (isKnownToHaveWeights(server.id, job.request.model, weights.value_or(WeightsVersion()))) {
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
  return outdated ? settings_.weightsLoadPause : settings_.refusalPause;
}

AttemptBounds Forwarder::boundsOf(const Job& job, double rttMs) const {
  const Milliseconds left = remainingTime(job.end);
  /// A connection takes one round trip, and an acknowledgement another; the rest allows for a slow
  /// process or a lost packet.
  constexpr double kConnectRoundTrips = 4;
  const Milliseconds fromRoundTrip(static_cast<std::int64_t>(kConnectRoundTrips * rttMs));
  AttemptBounds bounds;
  bounds.connectTimeout = std::min(std::max(settings_.connectTimeout, fromRoundTrip), left);
  bounds.unacknowledgedTimeout = settings_.unacknowledgedTimeout;
  if (bounds.unacknowledgedTimeout > Milliseconds(0)) {
    bounds.unacknowledgedTimeout = std::max(bounds.unacknowledgedTimeout, fromRoundTrip);
  }
  bounds.maxHeldBytes = settings_.maxHeldAnswerBytes;
  bounds.deadline = job.end;
  bounds.startPatience = Milliseconds(static_cast<std::int64_t>(
      settings_.failoverTargets * static_cast<double>(job.grant.route->targetLatency.count())));
  bounds.bodyPatience = settings_.maxServerSilence;
  // An answer that has begun is not given up sooner than a stream between its events.
  bounds.begunPatience = std::max(bounds.startPatience, bounds.bodyPatience);
  return bounds;
}

ServerAttempt::Permissions Forwarder::permissionsOf(Job& job) {
  ServerAttempt::Permissions permissions;
  if (!job.mayFailOver()) {
    return permissions;
  }
  permissions.leavePath = [this, &job] { return grantFailover(job); };
  if (settings_.failoverOnSilence) {
    permissions.leaveSilentServer = permissions.leavePath;
  }
  return permissions;
}

}  // namespace calicodrift::forward
