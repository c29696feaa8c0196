#include "forward/answer_relay.h"

#include <algorithm>

namespace calicodrift::forward {

using boost::asio::awaitable;

AnswerRelay::AnswerRelay(http::ResponseWriter& writer, std::optional<EventNumber> resumeAfter)
    : writer_(writer) {
  cutter_.startAfter(resumeAfter);
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
  co_return co_await writer_.startStream(std::move(head));
}

awaitable<Result<void>> AnswerRelay::take(std::string_view bytes) {
  cutter_.feed(bytes);
  const std::size_t before = cutter_.events();
  const std::string events = cutter_.takeWholeEvents();
  if (!cutter_.inOrder()) {
    co_return fail(ErrorKind::kProtocolViolation, "the server's events are out of order");
  }
  if (events.empty()) {
    co_return boost::outcome_v2::success();
  }
  const MonotonicTime now = monotonicNow();
  if (!firstEventTime_) {
    firstEventTime_ = now;
  } else {
    longestPause_ = std::max(longestPause_, now - lastEventTime_);
  }
  lastEventTime_ = now;
  if (timing_.first) {
    timing_.later += cutter_.events() - before;
  }
  timing_.first = timing_.first.value_or(now);
  timing_.last = now;
  co_return co_await writer_.writeChunk(events);
}

awaitable<Result<void>> AnswerRelay::finish() {
  const std::string rest = cutter_.rest();
  if (!rest.empty()) {
    Result<void> written = co_await writer_.writeChunk(rest);
    if (!written) {
      co_return written;
    }
  }
  co_return co_await writer_.endStream();
}

void AnswerRelay::dropPartialEvent() {
  EventCutter next;
  next.startAfter(cutter_.lastEvent());
  cutter_ = std::move(next);
}

}  // namespace calicodrift::forward
