#include "forward/server_attempt.h"

#include "common/hashing.h"
#include "forward/remaining_time.h"
#include "http/status.h"

namespace calicodrift::forward {
namespace {

using boost::asio::awaitable;
constexpr unsigned kFirstServerErrorStatus = 500;
/// Time for the body of a refusal: its caller waits meanwhile, and the head has said all.
constexpr Milliseconds kRefusalBodyTimeout{50};
/// The deadline's own timer ends the attempt before the timeouts of its connection do.
constexpr Milliseconds kDeadlineMargin{20};

/// Copies the server's head without hop-by-hop headers.
http::Response endToEnd(const http::Response& head) {
  http::Response response;
  response.status = head.status;
  for (const http::Header& header : head.headers.all()) {
    if (!http::isHopByHop(header.name)) {
      response.headers.add(header.name, header.value);
    }
  }
  // The length is set again for the body that is sent.
  response.headers.erase("Content-Length");
  return response;
}

Error notRunError(AnswerKind kind, const fleet::Server& server, unsigned status) {
  const std::string detail = "server '" + server.id.value() + "' answered " +
                             std::to_string(status) + " without running the request";
  return fail(kind == AnswerKind::kAnotherServer ? ErrorKind::kFenced : ErrorKind::kBackendRefused,
              detail);
}

}  // namespace

awaitable<Result<void>> ServerAttempt::run(const Request& request, const Dispatch& dispatch,
                                           const AttemptBounds& bounds, bool streaming,
                                           FailureUse failureUse) {
  http::ExchangeOptions options;
  options.connectTimeout = bounds.connectTimeout;
  options.headerTimeout = remainingTime(bounds.deadline) + kDeadlineMargin;
  options.bodyTimeout = options.headerTimeout;
  options.unacknowledgedTimeout = bounds.unacknowledgedTimeout;
  options.canceller = &canceller_;
  options.request = http::RequestKey(hashBytes(request.id.value()));
  options.connectTime = &connectTime_;
  SendCheck check = recordingCheck(request, dispatch, bounds.deadline);
  http::Request message;
  silence_.begin(bounds.startPatience);
  auto opened = co_await calls_.open(dispatch.server, std::move(message), options, purpose_,
                                     leavePath_, std::move(check));
  silence_.end();
  if (!opened) {
    co_return opened.error();
  }
  http::ResponseStream& stream = *opened.value();
  status_ = stream.head().status;
  const AnswerKind kind = protocol_.classify(request, stream.head());
  answered_ = kind == AnswerKind::kAnswered;
  weights_ = protocol_.weightsOf(stream.head());
  fromOtherServer_ = protocol_.namesOtherServer(dispatch.server, stream.head());
  if (kind == AnswerKind::kNotRun || kind == AnswerKind::kAnotherServer) {
    stream.noteRefusal();
    // Drains the body, so that the connection can be reused.
    stream.setBodyTimeout(kRefusalBodyTimeout);
    const Result<http::BodyPiece> rest = co_await stream.read();
    if (rest && !rest.value().end) {
      const Result<http::BodyPiece> end = co_await stream.read();
      static_cast<void>(end);
    }
    co_return notRunError(kind, dispatch.server, status_);
  }
  if (kind == AnswerKind::kUnverified) {
    co_return fail(ErrorKind::kProtocolViolation, "server '" + dispatch.server.id.value() +
                                                      "' gave no valid answer to the request");
  }
  if (streaming && status_ == http::kStatusOk) {
    co_return co_await relayEvents(stream, dispatch.server, bounds);
  }
  co_return co_await relayWhole(stream, dispatch.server, bounds, failureUse);
}

SendCheck ServerAttempt::recordingCheck(const Request& request, const Dispatch& dispatch,
                                        MonotonicTime deadline) {
  return [this, &request, &dispatch, deadline](http::Request& message) -> Result<void> {
    Result<void> allowed = mayBeSent_();
    handedOver_ = allowed.has_value();
    withheld_ = !allowed;
    if (allowed) {
      Dispatch now = dispatch;
      now.timeLeft = remainingTime(deadline);
      message = protocol_.encode(request, now);
    }
    return allowed;
  };
}

awaitable<Result<void>> ServerAttempt::relayWhole(http::ResponseStream& stream,
                                                  const fleet::Server& server,
                                                  const AttemptBounds& bounds,
                                                  FailureUse failureUse) {
  http::Response response = endToEnd(stream.head());
  const bool keep = response.status >= kFirstServerErrorStatus && failureUse == FailureUse::kKeep;
  while (!bodyEnd_) {
    Result<http::BodyPiece> piece = co_await read(stream, bounds.begunPatience);
    if (!piece) {
      co_return piece.error();
    }
    notifyFirstBytes();
    bodyEnd_ = piece.value().end;
    response.body += piece.value().bytes;
    const bool tooLong = !bodyEnd_ && response.body.size() > bounds.maxHeldBytes;
    if (tooLong && keep) {
      co_return fail(ErrorKind::kOutcomeUnknown,
                     "the server answered with a server error that is too long to be kept");
    }
    if (tooLong && relay_.begun()) {
      break;
    }
    if (tooLong) {
      co_return co_await relayLong(stream, server, bounds, std::move(response));
    }
  }
  if (relay_.begun()) {
    // After the caller has begun to read a stream, no other answer can replace it.
    co_return fail(ErrorKind::kStreamBroken,
                   "a server answered the resumption of a stream with status " +
                       std::to_string(response.status));
  }
  Result<void> whole = co_await confirmEnd(stream, server, bounds);
  if (!whole) {
    co_return whole;
  }
  if (keep) {
    keptFailure_ = std::move(response);
    co_return fail(ErrorKind::kOutcomeUnknown, "the server answered with a server error");
  }
  co_return co_await relay_.deliver(std::move(response));
}

awaitable<Result<void>> ServerAttempt::relayLong(http::ResponseStream& stream,
                                                 const fleet::Server& server,
                                                 const AttemptBounds& bounds,
                                                 http::Response begun) {
  std::string bytes = std::move(begun.body);
  Result<void> relayed = co_await relay_.beginOpaque(std::move(begun));
  while (relayed) {
    relayed = co_await relay_.relayOpaque(bytes);
    if (!relayed || bodyEnd_) {
      break;
    }
    Result<http::BodyPiece> piece = co_await stream.read();
    if (!piece) {
      co_return piece.error();
    }
    bodyEnd_ = piece.value().end;
    bytes = std::move(piece.value().bytes);
  }
  if (!relayed) {
    co_return relayed;
  }
  Result<void> whole = co_await confirmEnd(stream, server, bounds);
  if (!whole) {
    co_return whole;
  }
  co_return co_await relay_.finish();
}

awaitable<Result<void>> ServerAttempt::relayEvents(http::ResponseStream& stream,
                                                   const fleet::Server& server,
                                                   const AttemptBounds& bounds) {
  Result<http::BodyPiece> first = co_await read(stream, bounds.begunPatience);
  if (!first) {
    co_return first.error();
  }
  notifyFirstBytes();
  Result<void> relayed = co_await relayPieces(stream, bounds, std::move(first.value()));
  if (!relayed) {
    co_return relayed;
  }
  if (relay_.insideEvent()) {
    relay_.dropPartialEvent();
    co_return endCheck_.partialEventError(server);
  }
  Result<void> whole = co_await confirmEnd(stream, server, bounds);
  if (!whole) {
    co_return whole;
  }
  co_return co_await relay_.finish();
}

awaitable<Result<void>> ServerAttempt::relayPieces(http::ResponseStream& stream,
                                                   const AttemptBounds& bounds,
                                                   http::BodyPiece first) {
  // The head is sent only after the first bytes, so that another server can still give the whole
  // answer if this one sends nothing.
  http::Response head = endToEnd(stream.head());
  Result<void> relayed = co_await relay_.begin(std::move(head));
  http::BodyPiece piece = std::move(first);
  while (relayed && !piece.end) {
    relayed = co_await relay_.relayBytes(piece.bytes);
    if (!relayed) {
      break;
    }
    Result<http::BodyPiece> next = co_await read(stream, bounds.bodyPatience);
    if (!next) {
      relay_.dropPartialEvent();
      co_return next.error();
    }
    piece = std::move(next.value());
  }
  bodyEnd_ = piece.end;
  co_return relayed;
}

awaitable<Result<http::BodyPiece>> ServerAttempt::read(http::ResponseStream& stream,
                                                       Milliseconds patience) {
  silence_.begin(patience);
  Result<http::BodyPiece> piece = co_await stream.read();
  silence_.end();
  co_return piece;
}

awaitable<Result<void>> ServerAttempt::confirmEnd(http::ResponseStream& stream,
                                                  const fleet::Server& server,
                                                  const AttemptBounds& bounds) {
  silence_.begin(bounds.bodyPatience);
  Result<void> whole = co_await endCheck_.confirm(server, *bodyEnd_, stream.tunnel(), canceller_);
  silence_.end();
  if (!whole && leftPath_) {
    whole.error().reason = server_paths::kPathLost;
  }
  co_return whole;
}

server_paths::MovePermission ServerAttempt::recordingGrant(
    server_paths::MovePermission permission) {
  if (!permission) {
    return permission;
  }
  return [this, permission = std::move(permission)] {
    leftPath_ = permission();
    return leftPath_;
  };
}

void ServerAttempt::notifyFirstBytes() {
  if (firstBytesListener_) {
    const auto listener = std::exchange(firstBytesListener_, nullptr);
    listener();
  }
}

}  // namespace calicodrift::forward
