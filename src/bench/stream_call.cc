#include "bench/stream_call.h"

#include <charconv>

#include "http/sse.h"
#include "openai/completion.h"
#include "sim/answer_text.h"

namespace calicodrift::bench {
namespace {

using boost::asio::awaitable;

/// Index at the end of "REQUEST_ID/INDEX".
std::optional<std::size_t> indexOf(std::string_view eventId) {
  const std::size_t slash = eventId.rfind('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = eventId.substr(slash + 1);
  std::size_t index = 0;
  const auto parsed = std::from_chars(digits.begin(), digits.end(), index);
  if (parsed.ec != std::errc{} || parsed.ptr != digits.end()) {
    return std::nullopt;
  }
  return index;
}

void takeToken(const http::SseEvent& event, StreamState& state) {
  const Result<openai::ChunkContent> content = openai::parseChunk(event.data);
  const std::optional<std::size_t> index = indexOf(event.id);
  if (!content || index != state.nextIndex) {
    state.outOfOrder = true;
    return;
  }
  state.text += content.value().text;
  state.lastEventId = event.id;
  ++state.nextIndex;
}

void takeEvent(const http::SseEvent& event, StreamState& state, StreamPart& part) {
  if (event.event == "error") {
    part.errorBody = event.data;
  } else if (event.data == http::kSseDone) {
    state.closed = true;
  } else if (!event.id.empty()) {
    takeToken(event, state);
  }
}

}  // namespace

awaitable<StreamPart> readStream(http::Client& client, Endpoint endpoint, CompletionCall call,
                                 StreamState& state, http::ExchangeOptions options) {
  call.stream = true;
  http::Request request = toHttpRequest(call);
  if (!state.lastEventId.empty()) {
    request.headers.set(http::kLastEventIdHeader, state.lastEventId);
  }
  StreamPart part;
  auto opened = co_await client.open(std::move(endpoint), std::move(request), options);
  if (!opened) {
    part.failure = opened.error();
    co_return part;
  }
  http::ResponseStream& stream = *opened.value();
  part.status = stream.head().status;
  part.headers = stream.head().headers;
  http::SseReader reader;
  for (;;) {
    Result<http::BodyPiece> piece = co_await stream.read();
    if (!piece) {
      part.failure = piece.error();
      co_return part;
    }
    // The closing event tells whether the answer is whole.
    if (piece.value().end) {
      co_return part;
    }
    if (part.status != 200) {
      part.errorBody += piece.value().bytes;
      continue;
    }
    reader.feed(piece.value().bytes);
    while (const std::optional<http::SseEvent> event = reader.next()) {
      takeEvent(*event, state, part);
    }
  }
}

bool holdsWholeAnswer(const CompletionCall& call, const StreamState& state) {
  return state.closed && !state.outOfOrder && state.nextIndex == call.maxTokens &&
         state.text == sim::answerText(call.prompt, 0, call.maxTokens);
}

}  // namespace calicodrift::bench
