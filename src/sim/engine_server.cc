#include "sim/engine_server.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "http/sse.h"
#include "sim/answer_text.h"

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
  http::Response response = http::errorResponse(fail(ErrorKind::kUnknownRoute, "no such path"));
  if (request.path() == "/health") {
    ++probes_;
    response = health();
  } else if (request.path() == "/admin/drain" && request.method == "POST") {
    draining_ = true;
    response = health();
  }
  co_await http::respond(writer, std::move(response));
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
  const std::uint64_t promptHash = answerPromptHash(completion.prompt);
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
  }
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
  const CacheScope scope{TenantId(request.headers.get(http::kCacheSaltHeader)), settings_.model,
                         settings_.weights, completion.adapter};
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
  if (completion.model != settings_.model) {
    return fail(ErrorKind::kUnknownModel, "this engine serves '" + settings_.model.value() + "'");
  }
  const auto incarnation = request.headers.find(http::kExpectedIncarnationHeader);
  if (incarnation && *incarnation != std::to_string(settings_.incarnation.value())) {
    return fail(ErrorKind::kFenced, "this engine is another incarnation");
  }
  const auto weights = request.headers.find(http::kExpectedWeightsHeader);
  if (weights && *weights != std::to_string(settings_.weights.value())) {
    return fail(ErrorKind::kFenced, "this engine has other weights");
  }
  return boost::outcome_v2::success();
}

http::Response EngineServer::withIdentity(http::Response response,
                                          const http::Request& request) const {
  response.headers.set(http::kIncarnationHeader, std::to_string(settings_.incarnation.value()));
  response.headers.set(http::kWeightsHeader, std::to_string(settings_.weights.value()));
  response.headers.set(http::kRequestIdHeader, request.headers.get(http::kRequestIdHeader));
  response.headers.set(http::kAttemptHeader, request.headers.get(http::kAttemptHeader));
  return response;
}

http::Response EngineServer::health() const {
  const boost::json::object body{{"id", settings_.id.value()},
                                 {"model", settings_.model.value()},
                                 {"incarnation", settings_.incarnation.value()},
                                 {"weights_version", settings_.weights.value()},
                                 {"waiting", model_.waitingRequests()},
                                 {"running", model_.runningRequests()},
                                 {"draining", draining_},
                                 {"accepted", accepted_},
                                 {"probes", probes_},
                                 {"cached_blocks", model_.cachedBlocks()}};
  return http::jsonResponse(200, boost::json::serialize(body));
}

}  // namespace calicodrift::sim
