#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "forward/request.h"

namespace calicodrift::forward {

/// Splits the bytes of an event stream into whole events without changing them, so that a caller
/// never receives part of an event that another server would repeat.
class EventSplitter {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// Removes and returns all whole events in the buffer, unchanged; empty if there is none.
  std::string takeWholeEvents();
  /// Bytes after the last whole event.
  const std::string& rest() const { return buffer_; }
  /// Removes and returns them.
  std::string takeRest();
  /// Number of the last event that was returned.
  std::optional<EventNumber> lastEvent() const { return lastEvent_; }
  /// Count of events that were returned.
  std::size_t events() const { return events_; }
  /// False once an event's number was not greater than the one before.
  bool inOrder() const { return inOrder_; }
  /// Accepts only events with numbers above `number` from now on.
  void startAfter(std::optional<EventNumber> number) { lastEvent_ = number; }

 private:
  void recordEventNumbers(std::string_view events);

  std::string buffer_;
  /// Bytes at the front of the buffer in which no event ends.
  std::size_t searched_ = 0;
  std::optional<EventNumber> lastEvent_;
  std::size_t events_ = 0;
  bool inOrder_ = true;
};

}  // namespace calicodrift::forward
