#include "router/engine_attempt.h"

namespace calicodrift::router {
namespace {

using boost::asio::awaitable;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusPreconditionFailed = 412;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusUnavailable = 503;

http::Request toEngineRequest(const EngineDispatch& dispatch, std::size_t resumeFrom,
                              std::string_view path) {
  http::Request request;
  request.method = "POST";
  request.target = std::string(path);
  request.headers.set("Content-Type", "application/json");
  request.headers.set(http::kRequestIdHeader, dispatch.caller.requestId.value());
  request.headers.set(http::kAttemptHeader, std::to_string(dispatch.attempt.value()));
  request.headers.set(http::kPriorityHeader, std::string(toString(dispatch.caller.priority)));
  request.headers.set(http::kCacheSaltHeader, dispatch.caller.tenant->id.value());
  request.headers.set(http::kExpectedIncarnationHeader,
                      std::to_string(dispatch.backend.incarnation.value()));
  request.headers.set(http::kExpectedWeightsHeader,
                      std::to_string(dispatch.backend.weights.value()));
  request.body = openai::engineBody(dispatch.body, resumeFrom);
  return request;
}

/// An answer that belongs to another request or attempt is never given to this caller.
bool belongsTo(const http::Response& head, const EngineDispatch& dispatch) {
  return head.headers.get(http::kRequestIdHeader) == dispatch.caller.requestId.value() &&
         head.headers.get(http::kAttemptHeader) == std::to_string(dispatch.attempt.value());
}

Error refusalError(unsigned status, const BackendId& backend) {
  const std::string detail = "engine '" + backend.value() + "' answered " + std::to_string(status);
  if (status == kStatusPreconditionFailed) {
    return fail(ErrorKind::kFenced, detail);
  }
  if (status == kStatusUnavailable || status == kStatusTooManyRequests) {
    return fail(ErrorKind::kBackendRefused, detail);
  }
  return fail(ErrorKind::kProtocolViolation, detail);
}

}  // namespace

awaitable<Result<void>> EngineAttempt::run(const EngineDispatch& dispatch) {
  http::Request request = toEngineRequest(dispatch, sink_.expectedIndex(), dispatch.path);
  auto opened = co_await client_.open(dispatch.endpoint, std::move(request), dispatch.options);
  if (!opened) {
    co_return opened.error();
  }
  stream_ = std::move(opened.value());
  if (cancelled_) {
    co_return fail(ErrorKind::kCallerGone, "the caller left before the engine answered");
  }
  if (!belongsTo(stream_->head(), dispatch)) {
    co_return fail(ErrorKind::kProtocolViolation, "the answer belongs to another request");
  }
  if (stream_->head().status != kStatusOk) {
    co_return refusalError(stream_->head().status, dispatch.backend.id);
  }
  sink_.setBackend(dispatch.backend.id);
  co_return co_await readAnswer(dispatch);
}

void EngineAttempt::cancel() {
  cancelled_ = true;
  if (stream_) {
    stream_->cancel();
  }
}

awaitable<Result<void>> EngineAttempt::readAnswer(const EngineDispatch& dispatch) {
  http::SseReader reader;
  for (;;) {
    Result<std::string> bytes = co_await stream_->read();
    if (!bytes) {
      co_return bytes.error();
    }
    if (bytes.value().empty()) {
      co_return fail(ErrorKind::kStreamBroken,
                     "the engine's stream ended before its closing event");
    }
    reader.feed(bytes.value());
    while (const std::optional<http::SseEvent> event = reader.next()) {
      Result<bool> closed = co_await takeEvent(dispatch, *event);
      if (!closed) {
        co_return closed.error();
      }
      if (closed.value()) {
        // Reads the end mark too, so that the connection can be used again.
        const Result<std::string> end = co_await stream_->read();
        static_cast<void>(end);
        co_return boost::outcome_v2::success();
      }
    }
  }
}

awaitable<Result<bool>> EngineAttempt::takeEvent(const EngineDispatch& dispatch,
                                                 const http::SseEvent& event) {
  if (event.data == http::kSseDone) {
    co_return true;
  }
  if (event.id.empty()) {
    Result<openai::ChunkContent> content = openai::parseChunk(event.data);
    if (!content) {
      co_return content.error();
    }
    if (content.value().hasUsage) {
      sink_.takeUsage(content.value().usage);
    }
    co_return false;
  }
  const std::string expected = dispatch.caller.requestId.value() + "/" +
                               std::to_string(dispatch.attempt.value()) + "/" +
                               std::to_string(sink_.expectedIndex());
  if (event.id != expected) {
    co_return fail(ErrorKind::kProtocolViolation,
                   "token '" + event.id + "' came where '" + expected + "' was due");
  }
  Result<void> taken = co_await sink_.takeToken(event.data);
  if (!taken) {
    co_return taken.error();
  }
  co_return false;
}

}  // namespace calicodrift::router
