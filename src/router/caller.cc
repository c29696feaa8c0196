#include "router/caller.h"

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <charconv>

#include "common/hashing.h"
#include "openai/completion.h"

namespace calicodrift::router {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::int64_t kLongestDeadlineMs = 3'600'000;
constexpr std::size_t kLongestIdentifier = 128;

std::optional<std::int64_t> parseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.begin(), text.end(), value);
  if (parsed.ec != std::errc{} || parsed.ptr != text.end() || text.empty()) {
    return std::nullopt;
  }
  return value;
}

Error badHeader(std::string_view name, const std::string& expected) {
  return fail(ErrorKind::kMalformedRequest,
              "header " + std::string(name) + ": expected " + expected);
}

std::string randomId() {
  static thread_local boost::uuids::random_generator generator;
  return boost::uuids::to_string(generator());
}

Result<const bundle::Tenant*> findTenant(const bundle::Bundle& bundle,
                                         const http::Request& request) {
  const std::string authorization = request.headers.get("Authorization");
  if (!authorization.starts_with(kBearer)) {
    return fail(ErrorKind::kUnauthenticated, "the Authorization header carries no bearer key");
  }
  const std::string keyHash = sha256Hex(std::string_view(authorization).substr(kBearer.size()));
  const bundle::Tenant* tenant = bundle.findTenantByKeyHash(keyHash);
  if (tenant == nullptr) {
    return fail(ErrorKind::kUnauthenticated, "no tenant has this API key");
  }
  return tenant;
}

/// Reads "REQUEST_ID/wWEIGHTS/INDEX" or, from a caller that leaves out the weights,
/// "REQUEST_ID/INDEX".
Result<void> readLastEventId(std::string_view text, Caller& caller) {
  const Error malformed =
      badHeader(http::kLastEventIdHeader, "REQUEST_ID/wWEIGHTS/INDEX as sent in the stream");
  const std::size_t slash = text.rfind('/');
  if (slash == std::string_view::npos) {
    return malformed;
  }
  const std::optional<std::int64_t> index = parseNumber(text.substr(slash + 1));
  if (!index || *index < 0 || *index >= static_cast<std::int64_t>(openai::kMaxTokensBound)) {
    return malformed;
  }
  std::string_view id = text.substr(0, slash);
  const std::size_t weightsSlash = id.find('/');
  if (weightsSlash != std::string_view::npos) {
    const std::string_view weights = id.substr(weightsSlash + 1);
    const std::optional<std::int64_t> version =
        weights.starts_with('w') ? parseNumber(weights.substr(1)) : std::nullopt;
    if (!version || *version < 1) {
      return malformed;
    }
    caller.resumeWeights = WeightsVersion(static_cast<std::uint64_t>(*version));
    id = id.substr(0, weightsSlash);
  }
  if (id.size() > kLongestIdentifier) {
    return malformed;
  }
  caller.requestId = RequestId(std::string(id));
  caller.resumeFrom = static_cast<std::size_t>(*index) + 1;
  return boost::outcome_v2::success();
}

Result<void> readIdentity(const http::Request& request, Caller& caller) {
  caller.requestId = RequestId(request.headers.get(http::kRequestIdHeader));
  const std::string& id = caller.requestId.value();
  if (id.size() > kLongestIdentifier || id.find('/') != std::string::npos) {
    return badHeader(http::kRequestIdHeader, "at most 128 characters without '/'");
  }
  const std::string lastEvent = request.headers.get(http::kLastEventIdHeader);
  if (!lastEvent.empty()) {
    BOOST_OUTCOME_TRY(readLastEventId(lastEvent, caller));
  }
  if (caller.requestId.value().empty()) {
    caller.requestId = RequestId(randomId());
  }
  return boost::outcome_v2::success();
}

Result<void> readUrgency(const http::Request& request, Milliseconds defaultDeadline,
                         Caller& caller) {
  if (const auto text = request.headers.find(http::kPriorityHeader)) {
    const std::optional<Priority> priority = parsePriority(*text);
    if (!priority) {
      return badHeader(http::kPriorityHeader, "high, normal or low");
    }
    caller.priority = *priority;
  }
  Milliseconds allowed = defaultDeadline;
  if (const auto text = request.headers.find(http::kDeadlineHeader)) {
    const std::optional<std::int64_t> milliseconds = parseNumber(*text);
    if (!milliseconds || *milliseconds < 1 || *milliseconds > kLongestDeadlineMs) {
      return badHeader(http::kDeadlineHeader, "whole milliseconds from 1 to 3600000");
    }
    allowed = Milliseconds(*milliseconds);
  }
  caller.deadline = caller.received + allowed;
  return boost::outcome_v2::success();
}

Result<void> readRepeatability(const http::Request& request, Caller& caller) {
  caller.idempotencyKey = request.headers.get(http::kIdempotencyKeyHeader);
  if (caller.idempotencyKey.size() > kLongestIdentifier) {
    return badHeader(http::kIdempotencyKeyHeader, "at most 128 characters");
  }
  if (const auto text = request.headers.find(http::kNotRepeatableHeader)) {
    if (*text != "true" && *text != "false") {
      return badHeader(http::kNotRepeatableHeader, "true or false");
    }
    caller.notRepeatable = *text == "true";
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<Caller> readCaller(const bundle::Bundle& bundle, const http::Request& request,
                          Milliseconds defaultDeadline) {
  Caller caller;
  caller.received = monotonicNow();
  BOOST_OUTCOME_TRY(caller.tenant, findTenant(bundle, request));
  BOOST_OUTCOME_TRY(readIdentity(request, caller));
  BOOST_OUTCOME_TRY(readUrgency(request, defaultDeadline, caller));
  BOOST_OUTCOME_TRY(readRepeatability(request, caller));
  return caller;
}

std::string callerEventId(const RequestId& id, WeightsVersion weights, std::size_t index) {
  return id.value() + "/w" + std::to_string(weights.value()) + "/" + std::to_string(index);
}

}  // namespace calicodrift::router
