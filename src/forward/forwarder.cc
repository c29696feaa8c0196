#include "forward/forwarder.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "forward/forward_job.h"
#include "limits/return_time.h"

namespace calicodrift::forward {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// When a caller whose stream's version could not be told is to come back; roots are replaced and
/// lists read again within it, mostly.
constexpr Milliseconds kUnprovenVersionDelay{500};

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

/// Name of the error's cause, for counters.
std::string_view causeOf(const Error& error) {
  return error.reason.empty() ? errorRow(error.kind).name : error.reason;
}

/// Whether this node had no server for the dispatch, or no permission to send it, for now.
bool wasNotSent(ErrorKind failure) {
  return failure == ErrorKind::kNoBackend || failure == ErrorKind::kOverloaded ||
         failure == ErrorKind::kRateLimited || failure == ErrorKind::kNoConfiguration ||
         failure == ErrorKind::kTrialUnderWay;
}

/// Whether a dispatch with this failure was not sent, or certainly has not run.
bool certainlyNotRun(ErrorKind failure) {
  return provesNotRun(failure) || failure == ErrorKind::kNoBackend ||
         failure == ErrorKind::kOverloaded || failure == ErrorKind::kNoConfiguration ||
         failure == ErrorKind::kStreamVersionGone || failure == ErrorKind::kStreamVersionUnproven;
}

Error stopError() {
  return fail(ErrorKind::kDraining, "this node stops");
}

}  // namespace

Forwarder::Forwarder(ForwardContext context, ForwardSettings settings, GateSettings gate,
                     std::uint64_t seed)
    : context_(std::move(context)),
      settings_(std::move(settings)),
      gate_(gate),
      refusals_(context_.callers, context_.metrics, settings_.retryAfter),
      cacheMoves_(settings_.cacheMoves),
      modelPolicy_(routing::makePolicy(settings_.modelPolicy, seed)),
      servicePolicy_(routing::makePolicy(settings_.servicePolicy, seed + 1)),
      crashCheck_(context_.executor, context_.calls, context_.servers,
                  [this](const BackendId& server, const ServerReport& report) {
                    applyLaterRun(server, report);
                  }),
      crashFollowUp_(context_.executor, crashCheck_, context_.pool, context_.metrics,
                     [this](const fleet::Server& server, const InterruptedRequest& request) {
                       asio::co_spawn(context_.executor, recordCrash(server, request),
                                      asio::detached);
                     }),
      answerEndCheck_(context_.executor, crashCheck_, context_.calls, context_.metrics),
      random_(seed + 2) {}

void Forwarder::applyLaterRun(const BackendId& server, const ServerReport& report) {
  // Before the crash of the earlier run is told, so that all nodes learn of both at once.
  context_.quarantine.recordServerStart(server, *report.started);
  context_.pool.applyRestart(server, *report.started, report.models, monotonicNow());
}

void Forwarder::recallWaiting(const ModelId& model, WeightsVersion least) {
  const std::size_t recalled = waiting_.recall(model, least);
  if (recalled > 0) {
    context_.metrics.countRecalls(recalled);
    logRecalled(model, least, recalled);
  }
}

void Forwarder::onServerLost(const BackendId& server, fleet::ServerLoss loss) {
  modelPolicy_->onBackendLost(server);
  servicePolicy_->onBackendLost(server);
  if (loss == fleet::ServerLoss::kRestarted) {
    observer_.onRestarted(server);
  }
}

awaitable<void> Forwarder::handle(http::Request& message, http::ResponseWriter& writer) {
  Result<Request> request = context_.callers.read(std::move(message));
  if (!request) {
    // Not a temporary: g++ 12 destroys those of aggregates in coroutines twice.
    RefusalFacts facts;
    Error error = request.error();
    co_await refusals_.answer(writer, std::move(error), std::move(facts));
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
  jobs_.insert(job);
  co_await serve(job);
  jobs_.erase(job);
}

std::size_t Forwarder::answerBeforeStop() {
  // Cancelling may resume a request, which ends and leaves the set.
  const std::vector<std::weak_ptr<Job>> jobs(jobs_.begin(), jobs_.end());
  std::size_t ended = 0;
  for (const std::weak_ptr<Job>& weak : jobs) {
    const std::shared_ptr<Job> job = weak.lock();
    if (!job || job->relay.begun() || job->expired) {
      continue;
    }
    job->expired = true;
    job->endedByStop = true;
    job->interrupt();
    ++ended;
  }
  return ended;
}

awaitable<void> Forwarder::serve(std::shared_ptr<Job> job) {
  job->service = weights_.choose(*job->grant.route);
  context_.metrics.countRequest(nameOf(job->grant.route->kind));
  retryBudgetOf(job->service).onRequest(monotonicNow());
  job->timer.expires_at(job->end);
  job->timer.async_wait([job](boost::system::error_code code) {
    if (!code) {
      job->expired = true;
      job->interrupt();
    }
  });
  job->writer.onCallerGone([weak = std::weak_ptr(job)] {
    if (const auto held = weak.lock()) {
      held->callerLeftIn = held->wait;
      held->interrupt();
    }
  });
  Result<void> done = co_await findStreamVersion(*job);
  if (done) {
    done = co_await dispatchUntilDone(*job);
  }
  if (job->streamVersion) {
    context_.streamVersions.end(job->streamKey(), done.has_value());
  }
  job->timer.cancel();
  job->attempt.reset();
  const bool callerGone = !done && done.error().kind == ErrorKind::kCallerGone;
  if (!done && !callerGone && job->keptFailure && !job->relay.begun()) {
    // No other server succeeded, so the 5xx answer of the server that ran the request is delivered.
    job->status = job->keptFailure->status;
    done = co_await job->relay.deliver(std::move(*job->keptFailure));
  }
  if (!done) {
    co_await answerError(*job, done.error());
  }
  job->writer.onCallerGone(nullptr);
  reportAnswer(*job, done.has_value());
}

awaitable<Result<void>> Forwarder::findStreamVersion(Job& job) {
  if (!job.isResumable() || !job.request.resumeAfter) {
    co_return boost::outcome_v2::success();
  }
  const bool attemptNamed = job.request.resumes.has_value();
  using stream_versions::Resolution;
  std::function<awaitable<Resolution>()> resolve = [this, key = job.streamKey(),
                                                    service = job.service, attemptNamed] {
    return context_.streamVersions.resolve(key, service, attemptNamed);
  };
  const std::optional<Resolution> resolved = co_await waitFor<Resolution>(
      job, DispatchWait::kStreamVersion, std::move(resolve), [](const Resolution&) {});
  if (!resolved) {
    co_return endOf(job);
  }
  const Resolution& found = *resolved;
  logStreamVersion(job.request, found);
  if (!found.known()) {
    co_return unknownVersionError(job, found);
  }
  job.streamVersion = found.version;
  co_return boost::outcome_v2::success();
}

Error Forwarder::unknownVersionError(const Job& job, const stream_versions::Resolution& found) {
  if (found.final) {
    return fail(ErrorKind::kStreamVersionGone,
                "the software version that began the stream is unknown, and the servers of '" +
                    job.service + "' have had several");
  }
  // Another node may know, and this one after its next read of the list.
  Error error = fail(ErrorKind::kStreamVersionUnproven,
                     "the software version that began the stream is unknown, and not all nodes "
                     "that may know it, or the store, have answered");
  error.retryAfter = limits::spreadReturn(kUnprovenVersionDelay, random_);
  return error;
}

void Forwarder::beginStream(Job& job, const fleet::Server& server) {
  if (!job.isResumable()) {
    return;
  }
  job.streamVersion = server.version;
  context_.streamVersions.begin(job.streamKey(), job.service, server.version);
}

void Forwarder::reportAnswer(const Job& job, bool done) const {
  constexpr double kMsPerSecond = 1000;
  const auto whole =
      std::chrono::duration_cast<Milliseconds>(monotonicNow() - job.request.received);
  context_.metrics.countAnswer(done ? job.status : 0);
  context_.metrics.observeAnswerTime(toMilliseconds(whole) / kMsPerSecond);
  AnswerFacts facts{
      job.request.id,      job.status, job.lastServer, job.attempts.sent, whole, {}, {},
      job.outdatedAtStart, job.bodyEnd};
  if (const auto first = job.relay.firstEventTime()) {
    facts.firstChunk = std::chrono::duration_cast<Milliseconds>(*first - job.request.received);
    facts.longestPause = std::chrono::duration_cast<Milliseconds>(job.relay.longestPause());
    context_.metrics.observeFirstByte(toMilliseconds(*facts.firstChunk) / kMsPerSecond);
    context_.metrics.observePause(toMilliseconds(facts.longestPause) / kMsPerSecond);
  }
  if (done) {
    logAnswered(facts);
  }
}

awaitable<Result<void>> Forwarder::dispatchUntilDone(Job& job) {
  Result<void> outcome = boost::outcome_v2::success();
  for (;;) {
    Result<void> allowed = co_await admitSuspect(job);
    if (allowed) {
      allowed = co_await claimDispatch(job);
    }
    if (!allowed && co_await waitForAnotherServer(job, allowed.error().kind)) {
      continue;
    }
    if (!allowed && (job.endedByStop || job.writer.callerGone())) {
      co_return endOf(job);
    }
    if (!allowed) {
      // If another dispatch is not allowed, the failure of the previous one is reported.
      const bool isFirst = job.attempts.sent == 0;
      co_return isFirst || allowed.error().kind == ErrorKind::kCallerGone ? allowed : outcome;
    }
    job.handedOver = false;
    outcome = co_await dispatchOnce(job);
    if (outcome) {
      co_return outcome;
    }
    const ErrorKind failure = outcome.error().kind;
    if (certainlyNotRun(failure) || !job.handedOver) {
      job.limitUse.giveBack(context_.quota);
    }
    if (failure == ErrorKind::kCallerGone) {
      co_return outcome;
    }
    if (job.isOver()) {
      co_return endOf(job);
    }
    if (!takeRetry(job, failure) && !co_await waitForAnotherServer(job, failure)) {
      co_return job.writer.callerGone() ? callerGoneError() : outcome;
    }
    if (!wasNotSent(failure)) {
      context_.metrics.countRetry(errorRow(failure).name);
      logRetried(job.request.id, job.lastServer, outcome.error());
    }
  }
}

awaitable<Result<void>> Forwarder::admitSuspect(Job& job) {
  if (!context_.quarantine.tracksAny()) {
    co_return boost::outcome_v2::success();
  }
  const quarantine::RequestTraits traits = job.traits();
  if (!context_.quarantine.needsAdmission(traits)) {
    co_return boost::outcome_v2::success();
  }
  const auto left = std::chrono::ceil<Milliseconds>(job.end - monotonicNow());
  using Admission = Result<quarantine::Trial>;
  std::function<awaitable<Admission>()> admit = [this, traits, servers = trialServerRuns(job),
                                                 term = std::max(left, Milliseconds(1))] {
    return context_.quarantine.admit(traits, servers, term);
  };
  // A trial that comes late ends where it is dropped.
  std::optional<Admission> trial = co_await waitFor<Admission>(
      job, DispatchWait::kAdmission, std::move(admit), [](const Admission&) {});
  if (!trial) {
    co_return endOf(job);
  }
  if (!*trial) {
    co_return trial->error();
  }
  job.trial = std::move(trial->value());
  co_return boost::outcome_v2::success();
}

template <typename Value>
awaitable<std::optional<Value>> Forwarder::waitFor(Job& job, DispatchWait wait,
                                                   std::function<awaitable<Value>()> operation,
                                                   std::function<void(Value)> onLate) {
  const DispatchWaitGuard waiting(job.wait, wait);
  co_return co_await waitUnlessOver<Value>(
      context_.executor, job.waits, std::move(operation), [&job] { return job.isOver(); },
      std::move(onLate));
}

awaitable<Result<void>> Forwarder::claimDispatch(Job& job) {
  if (job.limitUse.needsClaim()) {
    std::function<awaitable<Result<void>>()> claim = [this, held = job.shared_from_this()] {
      return held->limitUse.claim(context_.quota);
    };
    const auto giveBack = [this, held = job.shared_from_this()](const Result<void>& late) {
      if (late) {
        held->limitUse.giveBack(context_.quota);
      }
    };
    const std::optional<Result<void>> claimed =
        co_await waitFor<Result<void>>(job, DispatchWait::kTenantLimit, std::move(claim), giveBack);
    if (!claimed) {
      co_return endOf(job);
    }
    if (!*claimed) {
      co_return *claimed;
    }
  }
  Result<void> sendable = maySend(job);
  if (!sendable) {
    job.limitUse.giveBack(context_.quota);
  }
  co_return sendable;
}

Result<void> Forwarder::maySend(Job& job) {
  const MonotonicTime now = monotonicNow();
  job.checkedAt = now;
  if (job.isOver() || now >= job.end) {
    return endOf(job);
  }
  return gate_.mayBeSent(job.request, job.grant, context_.configuration(), now);
}

Error Forwarder::callerGoneError() {
  return fail(ErrorKind::kCallerGone, "the caller disconnected");
}

Error Forwarder::endOf(const Job& job) {
  if (job.writer.callerGone()) {
    return callerGoneError();
  }
  if (job.endedByStop) {
    return stopError();
  }
  return fail(ErrorKind::kDeadlineExceeded, "the deadline of the request has passed");
}

bool Forwarder::grantFailover(Job& job) {
  if (job.failoverGranted) {
    return true;
  }
  if (!settings_.retries || job.relay.opaque() || !hasUntriedServer(job) ||
      !gate_.mayBeSent(job.request, job.grant, context_.configuration(), monotonicNow())) {
    return false;
  }
  // The server that is left may have run the request.
  AttemptCount attempts = job.attempts;
  ++attempts.mayHaveRun;
  const RetryDecision decision = mayRetry(*job.grant.route, ErrorKind::kDeadlineExceeded, attempts);
  if (decision != RetryDecision::kBudgeted) {
    return false;
  }
  job.failoverGranted = retryBudgetOf(job.service).tryTake(monotonicNow());
  job.gaveUpServer = job.gaveUpServer || job.failoverGranted;
  return job.failoverGranted;
}

awaitable<bool> Forwarder::waitForAnotherServer(Job& job, ErrorKind failure) {
  constexpr Milliseconds kPause{50};
  const RetryDecision decision = mayRetry(*job.grant.route, failure, job.attempts);
  // A refusal does not use up the servers that the stream may run on.
  const bool timeHelps =
      decision != RetryDecision::kNo || provesNotRun(failure) || wasNotSent(failure);
  const bool mayGoOn = settings_.retries && !job.relay.opaque();
  if (!timeHelps || !mayGoOn || !job.gaveUpServer) {
    co_return false;
  }
  const bool budgeted = decision == RetryDecision::kBudgeted || provesNotRun(failure);
  Milliseconds pause = kPause;
  if (provesNotRun(failure)) {
    // Better than the server that was given up, which stays avoided.
    std::erase(job.routeRequest.avoided, job.lastServer);
    pause = std::max(pause, settings_.refusalPause);
  }
  while (!job.isOver()) {
    co_await pauseFor(job, pause);
    if (!job.isOver() && (!budgeted || retryBudgetOf(job.service).tryTake(monotonicNow()))) {
      co_return true;
    }
  }
  co_return false;
}

awaitable<void> Forwarder::pauseFor(Job& job, Milliseconds time) {
  const DispatchWaitGuard waiting(job.wait, DispatchWait::kAnotherServer);
  asio::steady_timer timer(context_.executor, time);
  job.waits.onInterrupt([&timer] { timer.cancel(); });
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  job.waits.onInterrupt(nullptr);
}

bool Forwarder::takeRetry(Job& job, ErrorKind failure) {
  if (!settings_.retries || job.relay.opaque()) {
    return false;
  }
  if (std::exchange(job.failoverGranted, false)) {
    return true;
  }
  // A server that has just refused the request will most likely refuse it again.
  if (failure == ErrorKind::kBackendRefused && !hasUntriedServer(job)) {
    return false;
  }
  const RetryDecision decision = mayRetry(*job.grant.route, failure, job.attempts);
  if (decision != RetryDecision::kBudgeted) {
    return decision == RetryDecision::kFree;
  }
  const bool allowed = retryBudgetOf(job.service).tryTake(monotonicNow());
  if (!allowed) {
    context_.metrics.countRetryDenied();
  }
  return allowed;
}

awaitable<void> Forwarder::answerError(Job& job, Error error) {
  if (error.kind == ErrorKind::kCallerGone) {
    context_.metrics.countUnfinishedAnswer(causeOf(error));
    logCancelled(job.request.id, error);
    job.writer.abort();
    co_return;
  }
  if (job.relay.begun()) {
    context_.metrics.countError(errorRow(error.kind).name);
    context_.metrics.countUnfinishedAnswer(causeOf(error));
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

limits::RetryBudget& Forwarder::retryBudgetOf(const std::string& service) {
  const auto found = budgets_.find(service);
  if (found != budgets_.end()) {
    return found->second;
  }
  const limits::RetryBudget fresh(settings_.retryFraction, settings_.retryFloorPerSecond,
                                  settings_.retryFloorBurst);
  return budgets_.emplace(service, fresh).first->second;
}

}  // namespace calicodrift::forward
