#pragma once

#include <functional>
#include <string>

#include "http/client.h"
#include "http/server.h"
#include "http/status.h"
#include "peer/codec.h"

/// Calls between nodes that want an answer: a cereal message each way over HTTP.
namespace calicodrift::peer {

/// Reason of a failed callPeer(): the peer has no handler for the path, as a build from before it.
inline constexpr std::string_view kUnknownPath = "unknown_path";
/// Time for the body of an answer, which may hold a large view and come over a slow link.
inline constexpr Milliseconds kLongestAnswerBody{30'000};

/// Sends `message` and reads the answer. `timeout` holds for the connect, for each piece of the
/// body and for bytes that are not acknowledged; `headerTimeout` for the time until the answer
/// begins. Fails as Client::exchange() does, or with kProtocolViolation where the answer is no such
/// message.
template <typename Answer, typename Message>
boost::asio::awaitable<Result<Answer>> callPeer(http::Client& client, Endpoint peer,
                                                std::string_view path, Message message,
                                                Milliseconds timeout, Milliseconds headerTimeout) {
  http::ExchangeOptions options;
  options.connectTimeout = timeout;
  options.headerTimeout = headerTimeout;
  options.bodyTimeout = timeout;
  options.wholeTimeout = headerTimeout + kLongestAnswerBody;
  options.unacknowledgedTimeout = timeout;
  http::Request request;
  request.method = "POST";
  request.target = std::string(path);
  request.body = encode(message);
  Result<http::Response> answer =
      co_await client.exchange(std::move(peer), std::move(request), options);
  if (!answer) {
    co_return answer.error();
  }
  if (answer.value().status != http::kStatusOk) {
    Error error = fail(ErrorKind::kProtocolViolation,
                       "the peer answered " + std::to_string(answer.value().status));
    if (answer.value().status == http::kStatusNotFound) {
      error.reason = kUnknownPath;
    }
    co_return error;
  }
  co_return decode<Answer>(answer.value().body);
}

/// Reads a message, and answers it with what `answer` gives; 400 where it is no such message.
template <typename Message, typename Answer>
boost::asio::awaitable<void> answerPeer(
    http::Request& request, http::ResponseWriter& writer,
    std::function<boost::asio::awaitable<Answer>(Message)> answer) {
  Result<Message> message = decode<Message>(request.body);
  if (!message) {
    http::Response refusal =
        http::textResponse(http::kStatusBadRequest, message.error().detail + "\n");
    co_await http::respond(writer, std::move(refusal));
    co_return;
  }
  const Answer given = co_await answer(std::move(message.value()));
  http::Response response;
  response.status = http::kStatusOk;
  response.body = encode(given);
  co_await http::respond(writer, std::move(response));
}

}  // namespace calicodrift::peer
