#include "replay/trace.h"

#include <algorithm>
#include <boost/json.hpp>
#include <istream>
#include <limits>

#include "common/hashing.h"

namespace calicodrift::replay {
namespace {

namespace json = boost::json;

Error malformed(std::string_view key, std::string_view expected) {
  return fail(ErrorKind::kMalformedRequest, std::string(key) + " must be " + std::string(expected));
}

Result<std::int64_t> readNumber(const json::object& object, std::string_view key,
                                std::int64_t minimum, std::int64_t maximum) {
  const json::value* value = object.if_contains(key);
  if (value != nullptr && value->is_int64() && value->get_int64() >= minimum &&
      value->get_int64() <= maximum) {
    return value->get_int64();
  }
  // Published traces write some whole numbers as 27482.0.
  if (value != nullptr && value->is_double()) {
    const double number = value->get_double();
    const auto whole = static_cast<std::int64_t>(number);
    if (number >= static_cast<double>(minimum) && number <= static_cast<double>(maximum) &&
        static_cast<double>(whole) == number) {
      return whole;
    }
  }
  return malformed(
      key, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
}

Result<std::vector<std::uint64_t>> readHashIds(const json::object& object) {
  constexpr std::string_view kExpected = "a list of whole numbers";
  const json::value* value = object.if_contains("hash_ids");
  if (value == nullptr || !value->is_array()) {
    return malformed("hash_ids", kExpected);
  }
  std::vector<std::uint64_t> ids;
  for (const json::value& item : value->get_array()) {
    if (item.is_int64() && item.get_int64() >= 0) {
      ids.push_back(static_cast<std::uint64_t>(item.get_int64()));
    } else if (item.is_uint64()) {
      ids.push_back(item.get_uint64());
    } else {
      return malformed("hash_ids", kExpected);
    }
  }
  return ids;
}

/// Leaves `text` as it is where the key is absent.
Result<void> readText(const json::object& object, std::string_view key, std::string& text) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return boost::outcome_v2::success();
  }
  if (!value->is_string() || value->get_string().empty()) {
    return malformed(key, "a non-empty string");
  }
  text = std::string(value->get_string());
  return boost::outcome_v2::success();
}

Result<void> readOptionalFields(const json::object& object, TraceRequest& request) {
  std::string tenant = request.tenant.value();
  std::string model = request.model.value();
  std::string priority(toString(request.priority));
  BOOST_OUTCOME_TRY(readText(object, "tenant", tenant));
  BOOST_OUTCOME_TRY(readText(object, "model", model));
  BOOST_OUTCOME_TRY(readText(object, "priority", priority));
  const std::optional<Priority> parsed = parsePriority(priority);
  if (!parsed) {
    return malformed("priority", "high, normal or low");
  }
  request.tenant = TenantId(tenant);
  request.model = ModelId(model);
  request.priority = *parsed;
  if (const json::value* value = object.if_contains("repeatable")) {
    if (!value->is_bool()) {
      return malformed("repeatable", "true or false");
    }
    request.repeatable = value->get_bool();
  }
  return boost::outcome_v2::success();
}

}  // namespace

Result<TraceRequest> parseTraceLine(std::string_view line) {
  constexpr std::int64_t kLatestMs = std::numeric_limits<std::int64_t>::max() / 1'000'000;
  constexpr std::int64_t kMostTokens = 100'000'000;
  json::error_code code;
  const json::value document = json::parse(line, code);
  if (code || !document.is_object()) {
    return fail(ErrorKind::kMalformedRequest, "not a JSON object");
  }
  const json::object& object = document.get_object();
  TraceRequest request;
  BOOST_OUTCOME_TRY(request.timestampMs, readNumber(object, "timestamp", 0, kLatestMs));
  BOOST_OUTCOME_TRY(const std::int64_t input, readNumber(object, "input_length", 1, kMostTokens));
  BOOST_OUTCOME_TRY(const std::int64_t output, readNumber(object, "output_length", 0, kMostTokens));
  request.inputLength = static_cast<std::size_t>(input);
  request.outputLength = static_cast<std::size_t>(output);
  BOOST_OUTCOME_TRY(request.hashIds, readHashIds(object));
  BOOST_OUTCOME_TRY(readOptionalFields(object, request));
  return request;
}

Result<Trace> readTrace(std::istream& input) {
  Trace trace;
  std::string line;
  for (std::size_t number = 1; std::getline(input, line); ++number) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) {
      continue;
    }
    Result<TraceRequest> request = parseTraceLine(line);
    if (!request) {
      return fail(request.error().kind,
                  "line " + std::to_string(number) + ": " + request.error().detail);
    }
    trace.push_back(std::move(request.value()));
  }
  std::stable_sort(trace.begin(), trace.end(), [](const TraceRequest& left, const auto& right) {
    return left.timestampMs < right.timestampMs;
  });
  return trace;
}

std::string toTraceLine(const TraceRequest& request) {
  json::array ids;
  for (const std::uint64_t id : request.hashIds) {
    ids.emplace_back(id);
  }
  const json::object object{
      {"timestamp", request.timestampMs},       {"input_length", request.inputLength},
      {"output_length", request.outputLength},  {"hash_ids", std::move(ids)},
      {"tenant", request.tenant.value()},       {"model", request.model.value()},
      {"priority", toString(request.priority)}, {"repeatable", request.repeatable}};
  return json::serialize(object);
}

std::vector<BlockHash> blocksOf(const TraceRequest& request) {
  const std::size_t whole =
      std::min(request.inputLength / kTraceBlockTokens, request.hashIds.size());
  const auto end = request.hashIds.begin() + static_cast<std::ptrdiff_t>(whole);
  const std::vector<std::uint64_t> ids(request.hashIds.begin(), end);
  const CacheScope scope{request.tenant, request.model, WeightsVersion(1), ""};
  return chainHashes(scope, ids);
}

}  // namespace calicodrift::replay
