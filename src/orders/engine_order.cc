#include "orders/engine_order.h"

#include <array>
#include <boost/json.hpp>
#include <utility>

namespace calicodrift::orders {
namespace {

namespace json = boost::json;

constexpr std::array<std::pair<OrderKind, std::string_view>, 3> kKindNames{
    {{OrderKind::kObserve, "observe"},
     {OrderKind::kLoadVersion, "load_version"},
     {OrderKind::kSetRole, "role"}}};

std::string_view nameOf(OrderKind kind) {
  for (const auto& [known, name] : kKindNames) {
    if (known == kind) {
      return name;
    }
  }
  return "observe";
}

std::optional<OrderKind> kindOf(std::string_view text) {
  for (const auto& [kind, name] : kKindNames) {
    if (name == text) {
      return kind;
    }
  }
  return std::nullopt;
}

/// Absent or malformed numbers are read as 0, which is no valid id or version.
std::uint64_t numberAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  json::error_code code;
  const auto number = value == nullptr ? 0 : value->to_number<std::uint64_t>(code);
  return code ? 0 : number;
}

std::string textAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

Result<json::object> parseObject(std::string_view text, ErrorKind failure) {
  json::error_code code;
  json::value document = json::parse(text, code);
  if (code || !document.is_object()) {
    return fail(failure, "expected a JSON object");
  }
  return std::move(document.get_object());
}

bool isKnownRole(std::string_view role) {
  return role == "prefill" || role == "decode" || role == "mixed";
}

}  // namespace

std::string toJson(const EngineOrder& order) {
  json::object object{{"kind", nameOf(order.kind)},
                      {"fencing_token", order.token.value()},
                      {"bundle_version", order.bundle.value()}};
  if (order.incarnation) {
    object["incarnation"] = order.incarnation->value();
  }
  if (order.kind == OrderKind::kLoadVersion) {
    object["weights_version"] = order.weights.value();
  }
  if (order.kind == OrderKind::kSetRole) {
    object["role"] = order.role;
  }
  return json::serialize(object);
}

Result<EngineOrder> engineOrderFromJson(std::string_view text) {
  Result<json::object> object = parseObject(text, ErrorKind::kMalformedRequest);
  if (!object) {
    return object.error();
  }
  const std::optional<OrderKind> kind = kindOf(textAt(object.value(), "kind"));
  if (!kind) {
    return fail(ErrorKind::kMalformedRequest, "kind must be observe, load_version or role");
  }
  EngineOrder order;
  order.kind = *kind;
  order.token = FencingToken(numberAt(object.value(), "fencing_token"));
  order.bundle = BundleVersion(numberAt(object.value(), "bundle_version"));
  order.weights = WeightsVersion(numberAt(object.value(), "weights_version"));
  order.role = textAt(object.value(), "role");
  if (const std::uint64_t incarnation = numberAt(object.value(), "incarnation")) {
    order.incarnation = Incarnation(incarnation);
  }
  if (order.token.value() == 0) {
    return fail(ErrorKind::kMalformedRequest, "fencing_token must be a number above 0");
  }
  if (order.kind == OrderKind::kLoadVersion && order.weights.value() == 0) {
    return fail(ErrorKind::kMalformedRequest, "weights_version must be a number above 0");
  }
  if (order.kind == OrderKind::kSetRole && !isKnownRole(order.role)) {
    return fail(ErrorKind::kMalformedRequest, "role must be prefill, decode or mixed");
  }
  return order;
}

std::string toJson(const EngineReport& report) {
  json::object object{{"id", report.id.value()},
                      {"model", report.model.value()},
                      {"incarnation", report.incarnation.value()},
                      {"weights_version", report.weights.value()},
                      {"accepting", report.accepting},
                      {"role", report.role},
                      {"highest_token", report.highestToken.value()},
                      {"highest_bundle", report.highestBundle.value()}};
  if (report.loading) {
    object["loading_version"] = report.loading->value();
  }
  return json::serialize(object);
}

Result<EngineReport> engineReportFromJson(std::string_view text) {
  Result<json::object> object = parseObject(text, ErrorKind::kProtocolViolation);
  if (!object) {
    return object.error();
  }
  EngineReport report;
  report.id = BackendId(textAt(object.value(), "id"));
  report.model = ModelId(textAt(object.value(), "model"));
  report.incarnation = Incarnation(numberAt(object.value(), "incarnation"));
  report.weights = WeightsVersion(numberAt(object.value(), "weights_version"));
  report.role = textAt(object.value(), "role");
  report.highestToken = FencingToken(numberAt(object.value(), "highest_token"));
  report.highestBundle = BundleVersion(numberAt(object.value(), "highest_bundle"));
  const json::value* accepting = object.value().if_contains("accepting");
  report.accepting = accepting == nullptr || !accepting->is_bool() || accepting->get_bool();
  if (const std::uint64_t loading = numberAt(object.value(), "loading_version")) {
    report.loading = WeightsVersion(loading);
  }
  if (report.id.value().empty() || report.incarnation.value() == 0) {
    return fail(ErrorKind::kProtocolViolation, "an engine's report lacks id or incarnation");
  }
  return report;
}

}  // namespace calicodrift::orders
