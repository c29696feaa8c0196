#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>

#include "forward/event_stream.h"
#include "http/server.h"

namespace calicodrift::forward {

/// Arrival times of the events from one server.
struct EventTiming {
  std::optional<MonotonicTime> first;
  MonotonicTime last{};
  /// Number of events after those that arrived first.
  std::size_t later = 0;
};

/// The caller's side of one answer, across all servers that produce it. Bytes of a stream are
/// passed on as whole events, in order and once each: the partial event of a server whose stream
/// broke is dropped, and the next server continues after the last whole event, under the head of
/// the first server's answer.
class AnswerRelay {
 public:
  /// @param resumeAfter last event that the caller already has.
  AnswerRelay(http::ResponseWriter& writer, std::optional<EventNumber> resumeAfter);

  /// Whether the head of a stream, or of an answer that is passed on as it arrives, was sent to the
  /// caller.
  bool begun() const { return begun_; }
  /// The listener is called once, before the first event goes to the caller.
  void onFirstEvent(std::function<void()> listener) { firstEventListener_ = std::move(listener); }
  /// The listener is called once a server, when events have arrived for kSustainedTime.
  void onSustained(std::function<void()> listener) { sustainedListener_ = std::move(listener); }
  /// A server that crashes under a request does so within some tens of milliseconds after it has
  /// begun to answer.
  static constexpr Milliseconds kSustainedTime{300};
  /// Last whole event; another server would resume after it.
  std::optional<EventNumber> lastEvent() const { return splitter_.lastEvent(); }
  std::optional<MonotonicTime> firstEventTime() const { return firstEventTime_; }
  /// Longest time between two chunks that were passed on, which is the longest stall that the
  /// caller sees.
  MonotonicTime::duration longestPause() const { return longestPause_; }

  /// Event times of the server whose stream is being relayed.
  const EventTiming& timing() const { return timing_; }

  /// Sends a complete answer. Fails with kCallerGone.
  boost::asio::awaitable<Result<void>> deliver(http::Response response);
  /// Starts relaying a server's stream: sends the head, unless one was sent before, and resets the
  /// event timing.
  boost::asio::awaitable<Result<void>> begin(http::Response head);
  /// Most bytes of one event, which are held until it is whole; a stream that exceeds it sends no
  /// events.
  static constexpr std::size_t kMaxEventBytes = 1'048'576;
  /// Relays bytes of a server's stream. Fails with kCallerGone, or with kProtocolViolation if the
  /// event numbers don't follow the earlier ones or an event is longer than kMaxEventBytes.
  boost::asio::awaitable<Result<void>> relayBytes(std::string_view bytes);
  /// Starts to pass on the bytes of an answer that is not a stream, under the server's head. If it
  /// breaks off, no other server can go on with it.
  boost::asio::awaitable<Result<void>> beginOpaque(http::Response head);
  boost::asio::awaitable<Result<void>> relayOpaque(std::string_view bytes);
  /// Whether bytes that are not whole events were passed on, so that no other server can go on.
  bool opaque() const { return opaque_; }
  /// Whether bytes of an event have arrived without its end; never for an answer that does not
  /// consist of events.
  bool insideEvent() const { return hasEvents_ && !splitter_.rest().empty(); }
  /// Ends the answer after the server's stream is complete.
  boost::asio::awaitable<Result<void>> finish();
  /// Drops the incomplete event of a server whose stream broke.
  void dropPartialEvent();
  /// Closes the caller's connection when no server completes the stream, so that the answer does
  /// not look complete.
  void abort() { writer_.abort(); }

 private:
  /// Forgets all bytes that were not passed on; the next event follows `number`.
  void continueAfter(std::optional<EventNumber> number);
  /// What follows the last whole event has become too long to be held.
  boost::asio::awaitable<Result<void>> passLongRest();

  http::ResponseWriter& writer_;
  EventSplitter splitter_;
  EventTiming timing_;
  std::function<void()> firstEventListener_;
  std::function<void()> sustainedListener_;
  std::optional<MonotonicTime> firstEventTime_;
  MonotonicTime lastEventTime_{};
  MonotonicTime::duration longestPause_{0};
  bool begun_ = false;
  bool opaque_ = false;
  /// Whether the answer consists of events. Bytes of another type of content are passed on to the
  /// last one.
  bool hasEvents_ = true;
};

}  // namespace calicodrift::forward
