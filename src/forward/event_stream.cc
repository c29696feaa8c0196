#include "forward/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace calicodrift::forward {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kEventEndCrLf = "\r\n\r\n";
constexpr std::string_view kIdField = "id:";

/// Position after the last whole event; 0 if there is none.
std::size_t endOfWholeEvents(std::string_view text) {
  std::size_t end = 0;
  for (const std::string_view mark : {kEventEnd, kEventEndCrLf}) {
    const std::size_t found = text.rfind(mark);
    if (found != std::string_view::npos) {
      end = std::max(end, found + mark.size());
    }
  }
  return end;
}

std::optional<EventNumber> numberIn(std::string_view line) {
  if (!line.starts_with(kIdField)) {
    return std::nullopt;
  }
  line.remove_prefix(kIdField.size());
  while (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(line.begin(), line.end(), number);
  if (parsed.ec != std::errc{}) {
    return std::nullopt;
  }
  return EventNumber(number);
}

}  // namespace

std::string EventSplitter::takeWholeEvents() {
  // An end may have begun within the bytes that were searched before.
  const std::size_t from = searched_ - std::min(searched_, kEventEndCrLf.size() - 1);
  const std::size_t found = endOfWholeEvents(std::string_view(buffer_).substr(from));
  if (found == 0) {
    searched_ = buffer_.size();
    return {};
  }
  const std::size_t end = from + found;
  std::string events = buffer_.substr(0, end);
  buffer_.erase(0, end);
  searched_ = buffer_.size();
  recordEventNumbers(events);
  return events;
}

std::string EventSplitter::takeRest() {
  searched_ = 0;
  return std::exchange(buffer_, {});
}

void EventSplitter::recordEventNumbers(std::string_view events) {
  while (!events.empty()) {
    const std::size_t end = std::min(events.find('\n'), events.size() - 1);
    const std::string_view line = events.substr(0, end);
    if (line.empty() || line == "\r") {
      ++events_;
    }
    if (const std::optional<EventNumber> number = numberIn(line)) {
      inOrder_ = inOrder_ && (!lastEvent_ || *number > *lastEvent_);
      lastEvent_ = number;
    }
    events.remove_prefix(end + 1);
  }
}

}  // namespace calicodrift::forward
