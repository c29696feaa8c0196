#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace calicodrift::http {

/// One server-sent event. Only the fields that engines and callers use are kept.
struct SseEvent {
  std::string id;
  std::string event;
  std::string data;

  bool operator==(const SseEvent&) const = default;
};

/// Cuts a byte stream into server-sent events as the bytes arrive. Events are separated by an empty
/// line; lines end with LF or CRLF.
class SseReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// The next whole event, or nothing until more bytes have come.
  std::optional<SseEvent> next();
  /// Bytes of an unfinished event, to bound memory.
  std::size_t pendingBytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
};

/// The wire form of one event.
std::string formatSse(const SseEvent& event);

/// Data of the last event of an OpenAI-style stream.
inline constexpr std::string_view kSseDone = "[DONE]";

}  // namespace calicodrift::http
