#include "router/answer_sink.h"

namespace calicodrift::router {

using boost::asio::awaitable;

AnswerSink::AnswerSink(const Caller& caller, const openai::CompletionRequest& completion,
                       http::ResponseWriter& writer)
    : caller_(caller), completion_(completion), writer_(writer), nextIndex_(caller.resumeFrom) {}

awaitable<Result<void>> AnswerSink::takeToken(const std::string& data) {
  if (!completion_.stream) {
    Result<openai::ChunkContent> content = openai::parseChunk(data);
    if (!content) {
      co_return content.error();
    }
    text_ += content.value().text;
    countToken();
    co_return boost::outcome_v2::success();
  }
  Result<void> started = co_await ensureStarted();
  if (!started) {
    co_return started.error();
  }
  const std::string event =
      http::formatSse({callerEventId(caller_.requestId, weights_, nextIndex_), "", data});
  Result<void> written = co_await writer_.writeChunk(event);
  countToken();
  co_return written;
}

void AnswerSink::countToken() {
  ++nextIndex_;
  if (!firstTokenTime_) {
    firstTokenTime_ = monotonicNow();
    if (firstTokenListener_) {
      firstTokenListener_();
    }
  }
}

void AnswerSink::takeUsage(const openai::Usage& usage) {
  usage_ = usage;
  // An engine that resumed counts its own tokens only.
  usage_.completionTokens = nextIndex_ - caller_.resumeFrom;
}

awaitable<Result<void>> AnswerSink::finish() {
  if (!completion_.stream) {
    const std::string body = openai::completionBody(completion_.kind, caller_.requestId,
                                                    completion_.model, text_, usage_);
    http::Response response = withIdentity(http::jsonResponse(200, body));
    co_return co_await writer_.send(std::move(response));
  }
  Result<void> started = co_await ensureStarted();
  if (!started) {
    co_return started.error();
  }
  const std::string usage = openai::usageBody(caller_.requestId, completion_.model, usage_);
  const std::string closing =
      http::formatSse({"", "", usage}) + http::formatSse({"", "", std::string(http::kSseDone)});
  Result<void> written = co_await writer_.writeChunk(closing);
  if (!written) {
    co_return written.error();
  }
  co_return co_await writer_.endStream();
}

awaitable<void> AnswerSink::finishWithError(const Error& error) {
  if (!writer_.streamStarted()) {
    co_await http::respond(writer_, withIdentity(http::errorResponse(error)));
    co_return;
  }
  // The caller holds tokens, so it did run; what is missing can be resumed.
  Error truthful = error;
  if (errorRow(error.kind).run == RunStatement::kNo || error.kind == ErrorKind::kOutcomeUnknown) {
    truthful = fail(ErrorKind::kStreamBroken, error.detail);
    truthful.retryAfter = error.retryAfter;
  }
  const std::string event = http::formatSse({"", "error", http::errorBody(truthful)});
  co_await http::closeStream(writer_, event);
}

awaitable<Result<void>> AnswerSink::ensureStarted() {
  if (writer_.streamStarted()) {
    co_return boost::outcome_v2::success();
  }
  http::Response head;
  head.headers.set("Content-Type", "text/event-stream");
  head.headers.set("Cache-Control", "no-store");
  head = withIdentity(std::move(head));
  co_return co_await writer_.startStream(std::move(head));
}

http::Response AnswerSink::withIdentity(http::Response response) const {
  response.headers.set(http::kRequestIdHeader, caller_.requestId.value());
  if (!backend_.value().empty()) {
    response.headers.set(http::kBackendHeader, backend_.value());
  }
  if (response.status == 200) {
    response.headers.set(http::kRunHeader, std::string(toString(RunStatement::kYes)));
    response.headers.set(http::kWeightsHeader, std::to_string(weights_.value()));
  }
  return response;
}

}  // namespace calicodrift::router
