#include "router/completion_handler.h"

#include <algorithm>

#include "router/dispatch_id.h"
#include "router/version_rule.h"
#include "routing/cost.h"

namespace calicodrift::router {
namespace {

using boost::asio::awaitable;

std::string pathOf(openai::CompletionKind kind) {
  return kind == openai::CompletionKind::kChat ? "/v1/chat/completions" : "/v1/completions";
}

routing::RouteRequest toRouteRequest(const Caller& caller, const bundle::Model& model,
                                     const openai::CompletionRequest& completion,
                                     WeightsVersion weights) {
  constexpr std::size_t kBytesPerToken = 4;
  routing::RouteRequest request;
  request.tenant = caller.tenant->id;
  request.model = model.id;
  request.priority = caller.priority;
  const CacheScope scope{caller.tenant->id, model.id, weights, completion.adapter};
  request.blocks =
      chainHashes(scope, completion.prompt, static_cast<std::size_t>(model.blockBytes));
  request.promptTokens = completion.prompt.size() / kBytesPerToken;
  request.outputTokens = completion.maxTokens;
  request.blockTokens = static_cast<std::size_t>(model.blockBytes) / kBytesPerToken;
  return request;
}

Result<const bundle::Model*> findModel(const bundle::Bundle& bundle,
                                       const openai::CompletionRequest& completion) {
  const bundle::Model* model = bundle.findModel(completion.model);
  if (model == nullptr) {
    return fail(ErrorKind::kUnknownModel, "no model '" + completion.model.value() + "'");
  }
  if (completion.prompt.size() > static_cast<std::size_t>(model->maxPromptBytes)) {
    return fail(ErrorKind::kPromptTooLong,
                "the prompt has " + std::to_string(completion.prompt.size()) +
                    " bytes; the model takes " + std::to_string(model->maxPromptBytes));
  }
  return model;
}

/// What the version rule asks of this request; the same for all its attempts.
VersionQuery versionQueryOf(const Caller& caller, const bundle::Model& model,
                            const openai::CompletionRequest& completion,
                            const http::Request& request) {
  VersionQuery query =
      readVersionQuery(request, completion.prompt, model.weights, model.minUsablePercent);
  if (caller.resumeWeights.value() != 0) {
    query.seen = caller.resumeWeights;
  }
  return query;
}

}  // namespace

struct CompletionHandler::Job {
  Job(const Caller& caller, const openai::CompletionRequest& completion, const bundle::Model& model,
      const http::Request& request, http::ResponseWriter& writer)
      : caller(caller),
        completion(completion),
        model(model),
        request(request),
        path(pathOf(completion.kind)),
        writer(writer),
        route(toRouteRequest(caller, model, completion, model.weights)),
        versionQuery(versionQueryOf(caller, model, completion, request)),
        weights(model.weights),
        sink(caller, completion, writer) {}

  const Caller& caller;
  const openai::CompletionRequest& completion;
  const bundle::Model& model;
  const http::Request& request;
  std::string path;
  http::ResponseWriter& writer;
  routing::RouteRequest route;
  const VersionQuery versionQuery;
  /// Version of the engines that may serve the next attempt; fixed once a token was taken, so that
  /// no answer mixes versions.
  WeightsVersion weights;
  AnswerSink sink;
  std::uint32_t attempts = 0;
  /// Attempts since a token last came; a long answer may outlive several engines.
  std::uint32_t attemptsInVain = 0;
  /// Whether any attempt may have run.
  bool mayHaveRun = false;
  std::string policyName;
  std::optional<limits::AdmittedWork> admitted;
};

awaitable<void> CompletionHandler::handle(std::shared_ptr<const bundle::Bundle> bundle,
                                          openai::CompletionKind kind, const http::Request& request,
                                          http::ResponseWriter& writer) {
  Result<Caller> caller = readCaller(*bundle, request, context_.settings.defaultDeadline);
  if (!caller) {
    context_.metrics.countError(caller.error().kind);
    co_await http::respond(writer, http::errorResponse(caller.error()));
    co_return;
  }
  Result<openai::CompletionRequest> completion = openai::parseCompletion(kind, request.body);
  Result<const bundle::Model*> model =
      completion ? findModel(*bundle, completion.value()) : completion.error();
  if (!model) {
    context_.metrics.countError(model.error().kind);
    http::Response response = http::errorResponse(model.error());
    response.headers.set(http::kRequestIdHeader, caller.value().requestId.value());
    co_await http::respond(writer, std::move(response));
    co_return;
  }
  context_.metrics.countRequest(caller.value().tenant->id.value(), caller.value().priority);
  Job job(caller.value(), completion.value(), *model.value(), request, writer);
  selectWeights(job);
  job.policyName = context_.policies.policyFor(*bundle, job.route).name();
  Result<void> done = admit(job, *model.value());
  if (done) {
    done = co_await dispatchClaimed(job);
  }
  if (done) {
    done = co_await job.sink.finish();
    recordCompletion(job);
  }
  if (!done) {
    if (job.admitted) {
      job.admitted->onFailed(done.error().kind);
    }
    context_.metrics.countError(done.error().kind);
    co_await job.sink.finishWithError(done.error());
  }
}

Result<void> CompletionHandler::admit(Job& job, const bundle::Model& model) {
  limits::Work work;
  work.priority = job.caller.priority;
  work.promptTokens = static_cast<double>(job.route.promptTokens);
  work.outputTokens = static_cast<double>(job.route.outputTokens);
  // Outstanding work is counted over all versions of the model, and so are its engines.
  for (const auto& [version, engines] : context_.backends.engineVersions(model.id)) {
    work.engines += engines;
  }
  work.deadline = job.caller.deadline;
  work.resumed = job.caller.resumeFrom > 0;
  Result<limits::AdmittedWork> admitted =
      context_.limits->admitWork(*job.caller.tenant, model, std::move(work));
  if (!admitted) {
    return admitted.error();
  }
  job.admitted.emplace(std::move(admitted.value()));
  job.sink.onFirstToken([&job] { job.admitted->onFirstToken(); });
  return boost::outcome_v2::success();
}

awaitable<Result<void>> CompletionHandler::dispatchClaimed(Job& job) {
  if (!job.caller.notRepeatable) {
    co_return co_await dispatchUntilDone(job);
  }
  const Result<ClaimGrant> grant =
      co_await context_.claims.claim(job.caller.tenant->id, job.caller.idempotencyKey);
  if (!grant) {
    co_return grant.error();
  }
  if (grant.value().replay) {
    // Only services' answers are kept; the key was used for one of their requests.
    co_return fail(ErrorKind::kAlreadyCompleted, "the Idempotency-Key was used before");
  }
  Result<void> done = co_await dispatchUntilDone(job);
  if (!done) {
    const Error error = inDoubt(done.error());
    context_.claims.fail(grant.value(), error);
    co_return error;
  }
  // Completions are too long to keep: only the fact is recorded.
  context_.claims.complete(grant.value(), http::Response{}, KeepBody::kNo);
  co_return done;
}

awaitable<Result<void>> CompletionHandler::dispatchUntilDone(Job& job) {
  for (;;) {
    Result<void> outcome = co_await dispatchOnce(job);
    if (outcome) {
      co_return outcome;
    }
    const Error error = overAllAttempts(outcome.error(), job.mayHaveRun);
    if (!mayRetry(job, outcome.error())) {
      co_return error;
    }
    job.mayHaveRun = job.mayHaveRun || errorRow(error.kind).run != RunStatement::kNo;
    context_.metrics.countRetry(errorRow(outcome.error().kind).name);
    if (job.sink.hasTokens()) {
      context_.metrics.countResume();
    }
  }
}

awaitable<Result<void>> CompletionHandler::dispatchOnce(Job& job) {
  if (job.writer.callerGone()) {
    co_return fail(ErrorKind::kCallerGone, "the caller left");
  }
  if (!job.sink.hasTokens()) {
    selectWeights(job);
  }
  const routing::CandidateSet& candidates = context_.backends.engines(job.route.model, job.weights);
  if (candidates.empty()) {
    co_return fail(ErrorKind::kNoBackend, "no usable engine has this model and version");
  }
  routing::Policy& policy = context_.policies.policyNamed(job.policyName);
  const routing::Choice choice = policy.choose(job.route, candidates, monotonicNow());
  // A copy, as the set changes while the answer is awaited.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const routing::Candidate backend = candidates[choice.index];
  const std::optional<Endpoint> endpoint = context_.backends.endpointOf(backend.id);
  if (!endpoint) {
    co_return fail(ErrorKind::kNoBackend, "the chosen engine has left");
  }
  ++job.attempts;
  // Before the table is told of the dispatch: that may move an engine to another set.
  context_.policies.decisions().record(
      {job.caller.requestId, Attempt(job.attempts), job.policyName, std::string(choice.reason),
       backend, job.route.blocks.size(), choice.expectedCachedBlocks, candidates.size()});
  job.route.avoided.push_back(backend.id);
  job.sink.setWeights(backend.weights);
  policy.onDispatched(job.route, backend, monotonicNow());
  context_.backends.addPrefill(backend.id,
                               routing::uncachedTokens(job.route, choice.expectedCachedBlocks));
  context_.metrics.countDispatch(job.policyName);
  job.admitted->onDispatched();
  Result<void> outcome = co_await attemptOn(job, backend, *endpoint);
  if (outcome) {
    policy.onCompleted(job.route, backend, job.sink.usage().cachedTokens, monotonicNow());
  }
  co_return outcome;
}

awaitable<Result<void>> CompletionHandler::attemptOn(Job& job, const routing::Candidate& backend,
                                                     Endpoint endpoint) {
  ++job.attemptsInVain;
  const EngineDispatch dispatch{job.caller,
                                job.path,
                                job.request.body,
                                backend,
                                std::move(endpoint),
                                makeDispatchId(Attempt(job.attempts)),
                                optionsFor(job),
                                context_.settings.engineHeaderTimeout,
                                context_.settings.engineTokenTimeout};
  const OutstandingGuard outstanding(context_.backends, backend.id,
                                     job.route.promptTokens + job.route.outputTokens);
  auto attempt = std::make_shared<EngineAttempt>(context_.client, job.sink);
  job.writer.onCallerGone([attempt] { attempt->cancel(); });
  const std::size_t before = job.sink.expectedIndex();
  Result<void> outcome = co_await attempt->run(dispatch);
  job.writer.onCallerGone(nullptr);
  if (job.sink.expectedIndex() > before) {
    job.attemptsInVain = 0;
  }
  if (job.writer.callerGone()) {
    co_return fail(ErrorKind::kCallerGone, "the caller left");
  }
  learnFrom(*attempt, backend, outcome);
  co_return outcome;
}

void CompletionHandler::learnFrom(const EngineAttempt& attempt, const routing::Candidate& backend,
                                  const Result<void>& outcome) {
  if (attempt.identity()) {
    context_.backends.applyAnswer(backend.id, attempt.identity()->incarnation,
                                  attempt.identity()->weights);
  }
  if (outcome) {
    context_.backends.recordSuccess(backend.id);
    return;
  }
  const ErrorKind kind = outcome.error().kind;
  if (kind == ErrorKind::kConnectFailed) {
    context_.backends.markUnreachable(backend.id);
  }
  if (kind == ErrorKind::kFenced && attempt.isAsExpected(backend)) {
    // It is who it was, and still refuses: it loads weights.
    context_.backends.markOutdated(backend.id);
  }
  if (kind == ErrorKind::kStreamBroken || kind == ErrorKind::kOutcomeUnknown ||
      kind == ErrorKind::kProtocolViolation) {
    context_.backends.recordFailure(backend.id);
  }
}

void CompletionHandler::selectWeights(Job& job) const {
  const VersionQuery& query = job.versionQuery;
  // The rest of an answer comes from the weights of its beginning, or not at all.
  const bool restOfAnswer = job.caller.resumeFrom > 0 && query.seen.value() != 0;
  const WeightsVersion chosen =
      restOfAnswer ? query.seen
                   : chooseWeights(context_.backends.engineVersions(job.model.id), query);
  if (chosen != job.weights) {
    job.weights = chosen;
    // Block hashes cover the version, so that no policy relies on other weights' cache.
    std::vector<BackendId> avoided = std::move(job.route.avoided);
    job.route = toRouteRequest(job.caller, job.model, job.completion, chosen);
    job.route.avoided = std::move(avoided);
  }
}

bool CompletionHandler::mayRetry(const Job& job, const Error& error) const {
  if (error.kind == ErrorKind::kCallerGone || error.kind == ErrorKind::kNoBackend) {
    return false;
  }
  const bool attemptsLeft = job.attemptsInVain < context_.settings.maxAttempts;
  const bool timeLeft = monotonicNow() < job.caller.deadline;
  const bool harmless = !job.caller.notRepeatable || errorRow(error.kind).run == RunStatement::kNo;
  return attemptsLeft && timeLeft && harmless &&
         context_.limits->allowRetry(error.kind, job.sink.hasTokens());
}

http::ExchangeOptions CompletionHandler::optionsFor(const Job& job) const {
  const auto left = std::chrono::duration_cast<Milliseconds>(job.caller.deadline - monotonicNow());
  const Milliseconds bounded = std::max(left, Milliseconds(1));
  http::ExchangeOptions options;
  options.connection =
      job.caller.notRepeatable ? http::ConnectionUse::kFresh : http::ConnectionUse::kPooled;
  options.connectTimeout = std::min(context_.settings.connectTimeout, bounded);
  options.headerTimeout = std::min(context_.settings.engineHeaderTimeout, bounded);
  options.bodyTimeout = std::min(context_.settings.engineTokenTimeout, bounded);
  return options;
}

void CompletionHandler::recordCompletion(Job& job) {
  const openai::Usage& usage = job.sink.usage();
  job.admitted->onCompleted(usage.completionTokens);
  context_.metrics.countTokens(job.policyName, usage.promptTokens, usage.cachedTokens,
                               usage.completionTokens);
  double firstTokenMs = -1;
  if (const auto firstToken = job.sink.firstTokenTime()) {
    const std::chrono::duration<double> delay = *firstToken - job.caller.received;
    context_.metrics.observeFirstToken(job.caller.tenant->id.value(), job.caller.priority,
                                       delay.count());
    firstTokenMs = toMilliseconds(delay);
  }
  context_.policies.arms().add(job.policyName, usage.promptTokens, usage.cachedTokens,
                               firstTokenMs);
}

}  // namespace calicodrift::router
