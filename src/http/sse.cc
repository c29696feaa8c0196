#include "http/sse.h"

#include <algorithm>

namespace calicodrift::http {
namespace {

std::string_view withoutCarriageReturn(std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  return line;
}

void applyLine(std::string_view line, SseEvent& event, bool& hasData) {
  const std::size_t colon = std::min(line.find(':'), line.size());
  const std::string_view field = line.substr(0, colon);
  std::string_view value = line.substr(std::min(colon + 1, line.size()));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (field == "id") {
    event.id = value;
  } else if (field == "event") {
    event.event = value;
  } else if (field == "data") {
    event.data += (hasData ? "\n" : "") + std::string(value);
    hasData = true;
  }
}

}  // namespace

std::optional<SseEvent> SseReader::next() {
  SseEvent event;
  bool hasData = false;
  std::size_t begin = 0;
  for (;;) {
    const std::size_t end = buffer_.find('\n', begin);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    const std::string_view line =
        withoutCarriageReturn(std::string_view(buffer_).substr(begin, end - begin));
    begin = end + 1;
    if (!line.empty()) {
      applyLine(line, event, hasData);
      continue;
    }
    buffer_.erase(0, begin);
    if (hasData) {
      return event;
    }
    // Nothing to dispatch: an id or a comment alone says nothing of the next event.
    event = {};
    begin = 0;
  }
}

std::string formatSse(const SseEvent& event) {
  std::string text;
  if (!event.id.empty()) {
    text += "id: " + event.id + "\n";
  }
  if (!event.event.empty()) {
    text += "event: " + event.event + "\n";
  }
  return text + "data: " + event.data + "\n\n";
}

}  // namespace calicodrift::http
