#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "forward/request.h"

namespace calicodrift::forward {

/// Cuts the bytes of an event stream into whole events without changing them, so that a caller
/// never gets a part of an event whose rest another server would repeat.
class EventCutter {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// All whole events that have come, as they came; empty if there is none.
  std::string takeWholeEvents();
  /// What follows the last whole event.
  const std::string& rest() const { return buffer_; }
  /// Number of the last event that was taken.
  std::optional<EventNumber> lastEvent() const { return lastEvent_; }
  /// How many events were taken.
  std::size_t events() const { return events_; }
  /// False once an event's number was not above the one before.
  bool inOrder() const { return inOrder_; }
  /// Only events above `number` are in order from now on.
  void startAfter(std::optional<EventNumber> number) { lastEvent_ = number; }

 private:
  void noteNumbers(std::string_view events);

  std::string buffer_;
  std::optional<EventNumber> lastEvent_;
  std::size_t events_ = 0;
  bool inOrder_ = true;
};

}  // namespace calicodrift::forward
