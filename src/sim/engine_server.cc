#include "sim/engine_server.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "http/sse.h"
#include "sim/answer_text.h"
#include "sim/engine_cache_api.h"

namespace calicodrift::sim {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

std::string eventId(const http::Request& request, std::size_t index) {
  return request.headers.get(http::kRequestIdHeader) + "/" +
         request.headers.get(http::kAttemptHeader) + "/" + std::to_string(index);
}

std::size_t promptTokensOf(const openai::CompletionRequest& completion, std::size_t bytesPerToken) {
  return std::max<std::size_t>(1, completion.prompt.size() / bytesPerToken);
}

}  // namespace

EngineServer::EngineServer(asio::io_context& context, EngineServerSettings settings)
    : context_(context),
      settings_(std::move(settings)),
      model_(settings_.cost),
      control_(context, settings_.identity,
               {[this] { return generations_.size(); },
                [this] {
                  model_.clearCache();
                  cacheFeed_.clear();
                }}),
      cacheFeed_(settings_.cacheFeed, settings_.identity.incarnation.value()),
      load_(settings_.loadReportLag),
      server_(context.get_executor(), http::ServerLimits{},
              [this](http::Request& request, http::ResponseWriter& writer) {
                return handle(request, writer);
              }),
      workArrived_(context) {}

Result<Endpoint> EngineServer::listen(const Endpoint& endpoint) {
  asio::co_spawn(context_, runSteps(), asio::detached);
  return server_.listen(endpoint);
}

awaitable<void> EngineServer::handle(http::Request& request, http::ResponseWriter& writer) {
  if (request.path() == "/v1/chat/completions") {
    co_await complete(openai::CompletionKind::kChat, request, writer);
    co_return;
  }
  if (request.path() == "/v1/completions") {
    co_await complete(openai::CompletionKind::kText, request, writer);
    co_return;
  }
  co_await http::respond(writer, control(request));
}

http::Response EngineServer::control(const http::Request& request) {
  const std::string_view path = request.path();
  if (path == "/health") {
    ++probes_;
    return health();
  }
  if (path == "/admin/drain" && request.method == "POST") {
    draining_ = true;
    return health();
  }
  if (path == orders::kOrderPath) {
    return control_.handleOrder(request.body);
  }
  if (path == "/cache/events") {
    return cacheEventsResponse(request, cacheFeed_, control_.incarnation(), control_.weights(),
                               monotonicNow());
  }
  if (path == "/kv/export") {
    return kvExportResponse(request, model_, control_.weights());
  }
  if (path == "/kv/import") {
    return kvImportResponse(request, model_, control_.weights());
  }
  return http::errorResponse(fail(ErrorKind::kUnknownRoute, "no such path"));
}

awaitable<void> EngineServer::complete(openai::CompletionKind kind, http::Request& request,
                                       http::ResponseWriter& writer) {
  Result<openai::CompletionRequest> completion = openai::parseCompletion(kind, request.body);
  Result<void> expected = boost::outcome_v2::success();
  if (completion) {
    expected = checkExpectations(completion.value(), request);
  }
  if (!completion || !expected) {
    const Error error = completion ? expected.error() : completion.error();
    co_await http::respond(writer, withIdentity(http::errorResponse(error), request));
    co_return;
  }
  co_await generate(completion.value(), request, writer);
}

awaitable<void> EngineServer::generate(const openai::CompletionRequest& completion,
                                       const http::Request& request, http::ResponseWriter& writer) {
  ++accepted_;
  const EngineRequest engineRequest = toEngineRequest(completion, request);
  const std::uint64_t id = engineRequest.id;
  const RequestId requestId(request.headers.get(http::kRequestIdHeader));
  auto generation = std::make_shared<Generation>(context_);
  writer.onCallerGone([generation] {
    generation->callerGone = true;
    generation->wake.cancel();
  });
  generations_[id] = generation;
  model_.submit(engineRequest);
  recordLoad();
  lastAccepted_ = std::chrono::duration_cast<Milliseconds>(wallNow().time_since_epoch());
  workArrived_.cancel();

  if (completion.stream) {
    http::Response head;
    head.headers.set("Content-Type", "text/event-stream");
    const Result<void> started =
        co_await writer.startStream(withIdentity(std::move(head), request));
    generation->callerGone = !started;
  }
  openai::Usage usage{promptTokensOf(completion, settings_.bytesPerToken), 0, 0};
  std::string text;
  co_await sendTokens(completion, request, writer, *generation, usage, text);
  generations_.erase(id);
  model_.cancel(id);
  recordLoad();
  if (generation->callerGone) {
    co_return;
  }
  if (!completion.stream) {
    const std::string body =
        openai::completionBody(completion.kind, requestId, completion.model, text, usage);
    co_await http::respond(writer, withIdentity(http::jsonResponse(200, body), request));
    co_return;
  }
  const std::string closing =
      http::formatSse({"", "", openai::usageBody(requestId, completion.model, usage)}) +
      http::formatSse({"", "", std::string(http::kSseDone)});
  co_await http::closeStream(writer, closing);
}

awaitable<void> EngineServer::sendTokens(const openai::CompletionRequest& completion,
                                         const http::Request& request, http::ResponseWriter& writer,
                                         Generation& generation, openai::Usage& usage,
                                         std::string& text) {
  const RequestId requestId(request.headers.get(http::kRequestIdHeader));
  const std::uint64_t promptHash = answerPromptHash(completion.prompt, control_.weights());
  bool finished = completion.resumeFrom >= completion.maxTokens;
  while (!finished && !generation.callerGone) {
    const TokenEvent token = co_await nextToken(generation);
    if (generation.callerGone) {
      co_return;
    }
    finished = token.last;
    usage.cachedTokens = token.cachedTokens;
    ++usage.completionTokens;
    if (token.index + settings_.loseLastTokens >= completion.maxTokens) {
      continue;
    }
    const std::string word = answerToken(promptHash, token.index);
    if (!completion.stream) {
      text += word;
      continue;
    }
    const http::SseEvent event{
        eventId(request, token.index), "",
        openai::chunkBody(completion.kind, requestId, completion.model, word, token.last)};
    const std::string bytes = http::formatSse(event);
    const Result<void> written = co_await writer.writeChunk(bytes);
    generation.callerGone = generation.callerGone || !written;
  }
}

awaitable<TokenEvent> EngineServer::nextToken(Generation& generation) {
  while (generation.tokens.empty() && !generation.callerGone) {
    generation.wake.expires_at(MonotonicTime::max());
    co_await generation.wake.async_wait(kAwait);
  }
  if (generation.callerGone) {
    co_return TokenEvent{};
  }
  const TokenEvent token = generation.tokens.front();
  generation.tokens.pop_front();
  co_return token;
}

awaitable<void> EngineServer::runSteps() {
  asio::steady_timer stepTimer(context_);
  for (;;) {
    while (model_.idle()) {
      workArrived_.expires_at(MonotonicTime::max());
      co_await workArrived_.async_wait(kAwait);
    }
    stepTimer.expires_after(model_.planStep());
    co_await stepTimer.async_wait(kAwait);
    deliver(model_.finishStep());
    cacheFeed_.publish(model_.takeCacheEvents(), monotonicNow());
    recordLoad();
  }
}

void EngineServer::recordLoad() {
  load_.record({model_.waitingRequests(), model_.runningRequests(), model_.pendingPrefillTokens()},
               monotonicNow());
}

void EngineServer::deliver(const std::vector<TokenEvent>& tokens) {
  for (const TokenEvent& token : tokens) {
    const auto found = generations_.find(token.id);
    if (found != generations_.end()) {
      found->second->tokens.push_back(token);
      found->second->wake.cancel();
    }
  }
}

EngineRequest EngineServer::toEngineRequest(const openai::CompletionRequest& completion,
                                            const http::Request& request) {
  const CacheScope scope{TenantId(request.headers.get(http::kCacheSaltHeader)), control_.model(),
                         control_.weights(), completion.adapter};
  EngineRequest engineRequest;
  engineRequest.id = ++lastId_;
  engineRequest.blocks = chainHashes(scope, completion.prompt, settings_.blockBytes);
  engineRequest.promptTokens = promptTokensOf(completion, settings_.bytesPerToken);
  engineRequest.outputTokens = completion.maxTokens;
  engineRequest.resumeFrom = completion.resumeFrom;
  engineRequest.priority =
      parsePriority(request.headers.get(http::kPriorityHeader)).value_or(Priority::kNormal);
  return engineRequest;
}

Result<void> EngineServer::checkExpectations(const openai::CompletionRequest& completion,
                                             const http::Request& request) const {
  if (completion.model != control_.model()) {
    return fail(ErrorKind::kUnknownModel, "this engine serves '" + control_.model().value() + "'");
  }
  if (!control_.accepting()) {
    return fail(ErrorKind::kFenced, "this engine is loading other weights");
  }
  const auto incarnation = request.headers.find(http::kExpectedIncarnationHeader);
  if (incarnation && *incarnation != std::to_string(control_.incarnation().value())) {
    return fail(ErrorKind::kFenced, "this engine is another incarnation");
  }
  const auto weights = request.headers.find(http::kExpectedWeightsHeader);
  if (weights && *weights != std::to_string(control_.weights().value())) {
    return fail(ErrorKind::kFenced, "this engine has other weights");
  }
  return boost::outcome_v2::success();
}

http::Response EngineServer::withIdentity(http::Response response,
                                          const http::Request& request) const {
  response.headers.set(http::kIncarnationHeader, std::to_string(control_.incarnation().value()));
  response.headers.set(http::kWeightsHeader, std::to_string(control_.weights().value()));
  response.headers.set(http::kRequestIdHeader, request.headers.get(http::kRequestIdHeader));
  response.headers.set(http::kAttemptHeader, request.headers.get(http::kAttemptHeader));
  return response;
}

http::Response EngineServer::health() {
  // Also between steps: a cancelled generation leaves at once.
  recordLoad();
  const LaggingLoad::Sample load = load_.report(monotonicNow());
  boost::json::object body = boost::json::parse(orders::toJson(control_.report())).as_object();
  body["waiting"] = load.waiting;
  body["running"] = load.running;
  body["prefill_tokens"] = load.prefillTokens;
  body["draining"] = draining_;
  body["accepted"] = accepted_;
  body["probes"] = probes_;
  body["cached_blocks"] = model_.cachedBlocks();
  body["refused_orders"] = control_.refusedOrders();
  body["completed_loads"] = control_.completedLoads();
  body["failed_loads"] = control_.failedLoads();
  body["last_accepted_unix_ms"] = lastAccepted_.count();
  return http::jsonResponse(200, boost::json::serialize(body));
}

}  // namespace calicodrift::sim
