#include "router/engine_attempt.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <charconv>

#include "http/status.h"

namespace calicodrift::router {
namespace {

using boost::asio::awaitable;
/// An engine sends one token in an event; much more without an event's end is no such stream.
constexpr std::size_t kMaxEventBytes = 1'048'576;

http::Request toEngineRequest(const EngineDispatch& dispatch, std::size_t resumeFrom,
                              std::string_view path) {
  http::Request request;
  request.method = "POST";
  request.target = std::string(path);
  request.headers.set("Content-Type", "application/json");
  request.headers.set(http::kRequestIdHeader, dispatch.caller.requestId.value());
  request.headers.set(http::kAttemptHeader, dispatch.dispatchId);
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
         head.headers.get(http::kAttemptHeader) == dispatch.dispatchId;
}

Error refusalError(unsigned status, const BackendId& backend) {
  const std::string detail = "engine '" + backend.value() + "' answered " + std::to_string(status);
  if (status == http::kStatusPreconditionFailed) {
    return fail(ErrorKind::kFenced, detail + ": another incarnation or version, or loading");
  }
  if (status == http::kStatusUnavailable || status == http::kStatusTooManyRequests) {
    return fail(ErrorKind::kBackendRefused, detail);
  }
  return fail(ErrorKind::kProtocolViolation, detail);
}

std::uint64_t numberIn(const http::HeaderList& headers, std::string_view name) {
  const std::string text = headers.get(name);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/// The longest wait for the next bytes: `timeout`, or less where the deadline is nearer.
Milliseconds boundedWait(Milliseconds timeout, MonotonicTime deadline) {
  const auto left = std::chrono::duration_cast<Milliseconds>(deadline - monotonicNow());
  return std::max(std::min(timeout, left), Milliseconds(1));
}

/// A pause beyond the token timeout is this engine's failure, one beyond the deadline is not.
Error readError(const Error& error, MonotonicTime deadline) {
  if (error.kind == ErrorKind::kDeadlineExceeded && monotonicNow() < deadline) {
    return fail(ErrorKind::kStreamBroken, error.detail);
  }
  return error;
}

/// Reads the end of a body that is complete for the caller already, so that its connection can be
/// used again. Anything else than the end closes it.
awaitable<void> readEnd(std::unique_ptr<http::ResponseStream> stream) {
  constexpr Milliseconds kEndTimeout{1000};
  stream->setBodyTimeout(kEndTimeout);
  const Result<http::BodyPiece> end = co_await stream->read();
  static_cast<void>(end);
}

}  // namespace

awaitable<Result<void>> EngineAttempt::run(const EngineDispatch& dispatch) {
  firstIndex_ = sink_.expectedIndex();
  http::Request request = toEngineRequest(dispatch, firstIndex_, dispatch.path);
  http::ExchangeOptions options = dispatch.options;
  options.canceller = &canceller_;
  auto opened = co_await client_.open(dispatch.endpoint, std::move(request), options);
  if (!opened) {
    co_return readError(opened.error(), dispatch.caller.deadline);
  }
  stream_ = std::move(opened.value());
  if (!belongsTo(stream_->head(), dispatch)) {
    co_return fail(ErrorKind::kProtocolViolation, "the answer belongs to another request");
  }
  readIdentity();
  if (stream_->head().status != http::kStatusOk) {
    co_return refusalError(stream_->head().status, dispatch.backend.id);
  }
  sink_.setBackend(dispatch.backend.id);
  co_return co_await readAnswer(dispatch);
}

void EngineAttempt::readIdentity() {
  const http::HeaderList& headers = stream_->head().headers;
  if (headers.find(http::kIncarnationHeader)) {
    identity_ = EngineIdentity{Incarnation(numberIn(headers, http::kIncarnationHeader)),
                               WeightsVersion(numberIn(headers, http::kWeightsHeader))};
  }
}

awaitable<Result<void>> EngineAttempt::readAnswer(const EngineDispatch& dispatch) {
  http::SseReader reader;
  for (;;) {
    const bool first = sink_.expectedIndex() == firstIndex_;
    const Milliseconds timeout = first ? dispatch.firstTokenTimeout : dispatch.tokenTimeout;
    stream_->setBodyTimeout(boundedWait(timeout, dispatch.caller.deadline));
    Result<http::BodyPiece> piece = co_await stream_->read();
    if (!piece) {
      co_return readError(piece.error(), dispatch.caller.deadline);
    }
    if (piece.value().end) {
      co_return fail(ErrorKind::kStreamBroken,
                     "the engine's stream ended before its closing event");
    }
    reader.feed(piece.value().bytes);
    while (const std::optional<http::SseEvent> event = reader.next()) {
      Result<bool> closed = co_await takeEvent(dispatch, *event);
      if (!closed) {
        co_return closed.error();
      }
      if (closed.value()) {
        const auto executor = co_await boost::asio::this_coro::executor;
        boost::asio::co_spawn(executor, readEnd(std::move(stream_)), boost::asio::detached);
        co_return boost::outcome_v2::success();
      }
    }
    if (reader.pendingBytes() > kMaxEventBytes) {
      co_return fail(ErrorKind::kProtocolViolation, "the engine sent an event without end");
    }
    if (monotonicNow() >= dispatch.caller.deadline) {
      co_return fail(ErrorKind::kDeadlineExceeded, "the answer was not complete at the deadline");
    }
  }
}

awaitable<Result<bool>> EngineAttempt::takeEvent(const EngineDispatch& dispatch,
                                                 const http::SseEvent& event) {
  if (event.data == http::kSseDone) {
    const Result<void> complete = checkClosingCount();
    if (!complete) {
      co_return complete.error();
    }
    co_return true;
  }
  if (event.id.empty()) {
    Result<openai::ChunkContent> content = openai::parseChunk(event.data);
    if (!content) {
      co_return content.error();
    }
    if (content.value().hasUsage) {
      closingCount_ = content.value().usage.completionTokens;
      sink_.takeUsage(content.value().usage);
    }
    co_return false;
  }
  const std::string expected = dispatch.caller.requestId.value() + "/" + dispatch.dispatchId + "/" +
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

Result<void> EngineAttempt::checkClosingCount() const {
  const std::size_t came = sink_.expectedIndex() - firstIndex_;
  if (!closingCount_) {
    return fail(ErrorKind::kStreamBroken, "the engine closed without a count of its tokens");
  }
  if (*closingCount_ != came) {
    return fail(ErrorKind::kStreamBroken, "the engine counted " + std::to_string(*closingCount_) +
                                              " tokens and " + std::to_string(came) + " came");
  }
  return boost::outcome_v2::success();
}

}  // namespace calicodrift::router
