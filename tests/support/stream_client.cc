#include "support/stream_client.h"

namespace calicodrift::testing {
namespace {

void takeEvent(const http::SseEvent& event, StreamAnswer& answer) {
  if (event.event == "error") {
    answer.error = event.data;
    return;
  }
  if (event.data == http::kSseDone) {
    answer.done = true;
    return;
  }
  const Result<openai::ChunkContent> content = openai::parseChunk(event.data);
  if (!content) {
    return;
  }
  if (content.value().hasUsage) {
    answer.cachedTokens = content.value().usage.cachedTokens;
  }
  if (!event.id.empty()) {
    answer.ids.push_back(event.id);
    answer.text += content.value().text;
  }
}

/// Reads one answer into `answer` until it ends, breaks off, or `onEvent` says to leave.
boost::asio::awaitable<void> readStream(http::Client& client, Endpoint endpoint,
                                        http::Request request, OnEvent onEvent,
                                        StreamAnswer& answer) {
  auto opened = co_await client.open(std::move(endpoint), std::move(request));
  if (!opened) {
    co_return;
  }
  http::ResponseStream& stream = *opened.value();
  answer.status = stream.head().status;
  answer.backend = stream.head().headers.get(http::kBackendHeader);
  answer.weights = stream.head().headers.get(http::kWeightsHeader);
  answer.requestId = stream.head().headers.get(http::kRequestIdHeader);
  http::SseReader reader;
  for (;;) {
    const Result<http::BodyPiece> piece = co_await stream.read();
    if (!piece) {
      co_return;
    }
    if (piece.value().end) {
      answer.ended = piece.value().end == http::BodyEnd::kFramed;
      co_return;
    }
    if (answer.status != 200) {
      answer.error += piece.value().bytes;
      continue;
    }
    reader.feed(piece.value().bytes);
    while (const auto event = reader.next()) {
      takeEvent(*event, answer);
      if (onEvent && !onEvent(answer)) {
        co_return;
      }
    }
  }
}

}  // namespace

std::vector<StreamAnswer> streamAll(const Endpoint& endpoint,
                                    const std::vector<http::Request>& requests,
                                    const OnEvent& onEvent) {
  boost::asio::io_context context(1);
  http::Client client(context.get_executor());
  std::vector<StreamAnswer> answers(requests.size());
  for (std::size_t index = 0; index < requests.size(); ++index) {
    boost::asio::co_spawn(context,
                          readStream(client, endpoint, requests[index], onEvent, answers[index]),
                          boost::asio::detached);
  }
  context.run();
  return answers;
}

}  // namespace calicodrift::testing
