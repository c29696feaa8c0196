#include "bench/completion_call.h"

#include "openai/completion.h"
#include "sim/answer_text.h"

namespace calicodrift::bench {

using boost::asio::awaitable;

http::Request toHttpRequest(const CompletionCall& call) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers.set("Content-Type", "application/json");
  request.headers.set("Authorization", "Bearer " + call.apiKey);
  if (!call.requestId.empty()) {
    request.headers.set(http::kRequestIdHeader, call.requestId);
  }
  request.body = R"({"model":")" + call.model + R"(","prompt":")" + call.prompt +
                 R"(","max_tokens":)" + std::to_string(call.maxTokens) + R"(,"stream":)" +
                 (call.stream ? "true" : "false") + "}";
  return request;
}

awaitable<Result<void>> callAndCheck(http::Client& client, Endpoint endpoint, CompletionCall call) {
  http::Request request = toHttpRequest(call);
  Result<http::Response> response =
      co_await client.exchange(std::move(endpoint), std::move(request));
  if (!response) {
    co_return response.error();
  }
  if (response.value().status != 200) {
    co_return fail(
        ErrorKind::kProtocolViolation,
        "answer " + std::to_string(response.value().status) + ": " + response.value().body);
  }
  const Result<openai::ChunkContent> content = openai::parseCompletionBody(response.value().body);
  if (!content) {
    co_return content.error();
  }
  if (content.value().text != sim::answerText(call.prompt, 0, call.maxTokens)) {
    co_return fail(ErrorKind::kProtocolViolation, "not the whole answer to this prompt");
  }
  co_return boost::outcome_v2::success();
}

}  // namespace calicodrift::bench
