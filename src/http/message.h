#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/error.h"

namespace calicodrift::http {

/// One header field; names compare without regard to case.
struct Header {
  std::string name;
  std::string value;
};

/// Header fields in their order of arrival.
class HeaderList {
 public:
  /// Replaces the field if it is there.
  void set(std::string_view name, std::string value);
  /// Adds a field behind those of the same name, as some may occur several times.
  void add(std::string name, std::string value);
  void erase(std::string_view name);
  std::optional<std::string> find(std::string_view name) const;
  /// Values of all fields of that name, in their order.
  std::vector<std::string> findAll(std::string_view name) const;
  /// Value of the field, or an empty text.
  std::string get(std::string_view name) const;
  const std::vector<Header>& all() const { return headers_; }

 private:
  std::vector<Header> headers_;
};

struct Request {
  std::string method = "GET";
  /// Path with query.
  std::string target = "/";
  HeaderList headers;
  std::string body;
  /// When its first byte came, or was taken up where requests are pipelined; nothing for requests
  /// that this process makes.
  std::optional<MonotonicTime> begun;
  /// Path without the query.
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  /// Value of a query parameter, not percent-decoded; empty where absent.
  std::string queryValue(std::string_view name) const;
};

struct Response {
  unsigned status = 200;
  HeaderList headers;
  std::string body;
};

/// Header names that are the project's own.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kAttemptHeader = "X-Attempt";
inline constexpr std::string_view kRunHeader = "X-Run";
inline constexpr std::string_view kErrorKindHeader = "X-Error-Kind";
inline constexpr std::string_view kBackendHeader = "X-Backend";
inline constexpr std::string_view kPriorityHeader = "X-Priority";
inline constexpr std::string_view kDeadlineHeader = "X-Deadline-Ms";
inline constexpr std::string_view kNotRepeatableHeader = "X-Not-Repeatable";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
/// "true" on an answer that an earlier attempt with the same Idempotency-Key got.
inline constexpr std::string_view kReplayHeader = "X-Replay";
inline constexpr std::string_view kLastEventIdHeader = "Last-Event-ID";
inline constexpr std::string_view kExpectedIncarnationHeader = "X-Engine-Expected-Incarnation";
inline constexpr std::string_view kExpectedWeightsHeader = "X-Engine-Expected-Weights";
inline constexpr std::string_view kIncarnationHeader = "X-Engine-Incarnation";
inline constexpr std::string_view kWeightsHeader = "X-Engine-Weights";
inline constexpr std::string_view kConfigVersionHeader = "X-Config-Version";
inline constexpr std::string_view kConfigVouchedHeader = "X-Config-Vouched";
inline constexpr std::string_view kCacheSaltHeader = "X-Engine-Cache-Salt";

/// Whether a field speaks of one connection only, so that no proxy passes it on.
bool isHopByHop(std::string_view name);

Response jsonResponse(unsigned status, std::string body);
Response textResponse(unsigned status, std::string body);

/// The answer for an error, from the table: status, JSON body with kind, run statement, retry
/// advice and remedy, and Retry-After where the advice is to come back.
Response errorResponse(const Error& error);
/// The same as one JSON object, for an error event within a stream.
std::string errorBody(const Error& error);

}  // namespace calicodrift::http
