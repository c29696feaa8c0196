#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>

#include "forward/event_stream.h"
#include "http/server.h"

namespace calicodrift::forward {

/// When one server's events came.
struct EventTiming {
  std::optional<MonotonicTime> first;
  MonotonicTime last{};
  /// Those behind the ones that came first.
  std::size_t later = 0;
};

/// The caller's side of one answer, over all servers that work on it. Bytes of a stream are passed
/// on as whole events, in order and once each: what a broken server sent of an event is dropped,
/// and the next server goes on behind the last whole one under the head of the first.
class AnswerRelay {
 public:
  /// @param resumeAfter last event that the caller has already.
  AnswerRelay(http::ResponseWriter& writer, std::optional<EventNumber> resumeAfter);

  /// Whether the caller has got the head of a stream.
  bool begun() const { return begun_; }
  /// Where another server would go on.
  std::optional<EventNumber> lastEvent() const { return cutter_.lastEvent(); }
  std::optional<MonotonicTime> firstEventTime() const { return firstEventTime_; }
  /// The longest time between two pieces that were passed on, which is what a caller sees stand
  /// still.
  MonotonicTime::duration longestPause() const { return longestPause_; }

  /// Of the server whose stream is relayed now.
  const EventTiming& timing() const { return timing_; }

  /// A whole answer. Fails with kCallerGone.
  boost::asio::awaitable<Result<void>> deliver(http::Response response);
  /// The head of a server's stream; passed on once. Its events' timing starts.
  boost::asio::awaitable<Result<void>> begin(http::Response head);
  /// Bytes of a server's stream. Fails with kCallerGone, or with kProtocolViolation where the
  /// events don't follow those before.
  boost::asio::awaitable<Result<void>> take(std::string_view bytes);
  /// The server's stream is complete.
  boost::asio::awaitable<Result<void>> finish();
  /// A server's stream broke off: its part of an event is dropped.
  void dropPartialEvent();
  /// No server completes the stream: the caller's connection is closed, so that the answer does not
  /// look complete.
  void abort() { writer_.abort(); }

 private:
  http::ResponseWriter& writer_;
  EventCutter cutter_;
  EventTiming timing_;
  std::optional<MonotonicTime> firstEventTime_;
  MonotonicTime lastEventTime_{};
  MonotonicTime::duration longestPause_{0};
  bool begun_ = false;
};

}  // namespace calicodrift::forward
