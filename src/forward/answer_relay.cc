#include "forward/answer_relay.h"

#include <algorithm>
#include <string>
#include <utility>

namespace calicodrift::forward {

using boost::asio::awaitable;

namespace {

constexpr std::string_view kEventStreamType = "text/event-stream";

}  // namespace

AnswerRelay::AnswerRelay(http::ResponseWriter& writer, std::optional<EventNumber> resumeAfter)
    : writer_(writer) {
  splitter_.startAfter(resumeAfter);
}

awaitable<Result<void>> AnswerRelay::deliver(http::Response response) {
  co_return co_await writer_.send(std::move(response));
}

awaitable<Result<void>> AnswerRelay::begin(http::Response head) {
  timing_ = {};
  if (begun_) {
    co_return boost::outcome_v2::success();
  }
  begun_ = true;
  const std::string type = head.headers.get("Content-Type");
  hasEvents_ = type.empty() || type.starts_with(kEventStreamType);
  co_return co_await writer_.startStream(std::move(head));
}

awaitable<Result<void>> AnswerRelay::relayBytes(std::string_view bytes) {
  const std::optional<EventNumber> lastPassed = splitter_.lastEvent();
  splitter_.feed(bytes);
  const std::size_t before = splitter_.events();
  const std::string events = splitter_.takeWholeEvents();
  if (!splitter_.inOrder()) {
    continueAfter(lastPassed);
    co_return fail(ErrorKind::kProtocolViolation,
                   "the event numbers of the server's stream do not increase");
  }
  if (events.empty() && splitter_.rest().size() > kMaxEventBytes) {
    co_return co_await passLongRest();
  }
  if (events.empty()) {
    co_return boost::outcome_v2::success();
  }
  const MonotonicTime now = monotonicNow();
  if (!firstEventTime_) {
    firstEventTime_ = now;
    if (firstEventListener_) {
      firstEventListener_();
    }
  } else {
    longestPause_ = std::max(longestPause_, now - lastEventTime_);
  }
  lastEventTime_ = now;
  if (timing_.first) {
    timing_.later += splitter_.events() - before;
  }
  timing_.first = timing_.first.value_or(now);
  timing_.last = now;
  if (sustainedListener_ && now - *timing_.first >= kSustainedTime) {
    const auto listener = std::exchange(sustainedListener_, nullptr);
    listener();
  }
  co_return co_await writer_.writeChunk(events);
}

awaitable<Result<void>> AnswerRelay::passLongRest() {
  if (hasEvents_) {
    dropPartialEvent();
    co_return fail(ErrorKind::kProtocolViolation,
                   "an event of the server's stream has no end within " +
                       std::to_string(kMaxEventBytes) + " bytes");
  }
  opaque_ = true;
  const std::string rest = splitter_.takeRest();
  co_return co_await writer_.writeChunk(rest);
}

awaitable<Result<void>> AnswerRelay::beginOpaque(http::Response head) {
  begun_ = true;
  opaque_ = true;
  hasEvents_ = false;
  co_return co_await writer_.startStream(std::move(head));
}

awaitable<Result<void>> AnswerRelay::relayOpaque(std::string_view bytes) {
  if (bytes.empty()) {
    // An empty chunk would end the body.
    co_return boost::outcome_v2::success();
  }
  co_return co_await writer_.writeChunk(bytes);
}

awaitable<Result<void>> AnswerRelay::finish() {
  const std::string rest = splitter_.rest();
  if (!rest.empty()) {
    Result<void> written = co_await writer_.writeChunk(rest);
    if (!written) {
      co_return written;
    }
  }
  co_return co_await writer_.endStream();
}

void AnswerRelay::dropPartialEvent() {
  continueAfter(splitter_.lastEvent());
}

void AnswerRelay::continueAfter(std::optional<EventNumber> number) {
  EventSplitter next;
  next.startAfter(number);
  splitter_ = std::move(next);
}

}  // namespace calicodrift::forward
