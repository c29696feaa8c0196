#include "forward/server_attempt.h"

#include "http/status.h"

namespace calicodrift::forward {
namespace {

using boost::asio::awaitable;
constexpr unsigned kFirstServerErrorStatus = 500;

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
  options.headerTimeout = bounds.headTimeout;
  options.bodyTimeout = bounds.headTimeout;
  options.unacknowledgedTimeout = bounds.unacknowledgedTimeout;
  options.canceller = &canceller_;
  options.connectTime = &connectTime_;
  http::Request message = protocol_.encode(request, dispatch);
  auto opened =
      co_await calls_.open(dispatch.server, std::move(message), options, purpose_, mobility_);
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
    // Drains the body, so that the connection can be reused.
    const Result<std::string> rest = co_await stream.read();
    if (rest && !rest.value().empty()) {
      const Result<std::string> end = co_await stream.read();
      static_cast<void>(end);
    }
    co_return notRunError(kind, dispatch.server, status_);
  }
  if (kind == AnswerKind::kUnverified) {
    co_return fail(ErrorKind::kProtocolViolation, "server '" + dispatch.server.id.value() +
                                                      "' gave no valid answer to the request");
  }
  if (streaming && status_ == http::kStatusOk) {
    co_return co_await relayEvents(stream, bounds);
  }
  co_return co_await relayWhole(stream, failureUse);
}

awaitable<Result<void>> ServerAttempt::relayWhole(http::ResponseStream& stream,
                                                  FailureUse failureUse) {
  http::Response response = endToEnd(stream.head());
  for (;;) {
    Result<std::string> piece = co_await stream.read();
    if (!piece) {
      co_return piece.error();
    }
    notifyFirstBytes();
    if (piece.value().empty()) {
      break;
    }
    response.body += piece.value();
  }
  if (relay_.begun()) {
    // After the caller has begun to read a stream, no other answer can replace it.
    co_return fail(ErrorKind::kStreamBroken,
                   "a server answered the resumption of a stream with status " +
                       std::to_string(response.status));
  }
  if (response.status >= kFirstServerErrorStatus && failureUse == FailureUse::kKeep) {
    keptFailure_ = std::move(response);
    co_return fail(ErrorKind::kOutcomeUnknown, "the server answered with a server error");
  }
  co_return co_await relay_.deliver(std::move(response));
}

awaitable<Result<void>> ServerAttempt::relayEvents(http::ResponseStream& stream,
                                                   const AttemptBounds& bounds) {
  stream.setBodyTimeout(bounds.firstEventTimeout);
  Result<std::string> bytes = co_await stream.read();
  if (!bytes) {
    co_return bytes.error();
  }
  notifyFirstBytes();
  stream.setBodyTimeout(bounds.eventTimeout);
  // The head is sent only after the first bytes, so that another server can still give the whole
  // answer if this one sends nothing.
  http::Response head = endToEnd(stream.head());
  Result<void> relayed = co_await relay_.begin(std::move(head));
  while (relayed && !bytes.value().empty()) {
    relayed = co_await relay_.relayBytes(bytes.value());
    if (!relayed) {
      break;
    }
    bytes = co_await stream.read();
    if (!bytes) {
      relay_.dropPartialEvent();
      co_return bytes.error();
    }
  }
  if (!relayed) {
    co_return relayed;
  }
  co_return co_await relay_.finish();
}

void ServerAttempt::notifyFirstBytes() {
  if (firstBytesListener_) {
    const auto listener = std::exchange(firstBytesListener_, nullptr);
    listener();
  }
}

}  // namespace calicodrift::forward
