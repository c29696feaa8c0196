#include "bench/soak_fleet.h"

#include <boost/json.hpp>

namespace calicodrift::bench {
namespace {

namespace json = boost::json;
using boost::asio::awaitable;

/// Starting a process on a busy machine takes a while.
constexpr Milliseconds kActionTimeout{60000};

std::string textAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

Result<std::vector<FleetMember>> membersAt(const json::object& object, std::string_view key) {
  std::vector<FleetMember> members;
  const json::value* list = object.if_contains(key);
  if (list == nullptr || !list->is_array()) {
    return fail(ErrorKind::kProtocolViolation, "the fleet lists no " + std::string(key));
  }
  for (const json::value& entry : list->get_array()) {
    if (!entry.is_object()) {
      return fail(ErrorKind::kProtocolViolation, "a member of the fleet is no object");
    }
    Result<Endpoint> endpoint = parseEndpoint(textAt(entry.get_object(), "endpoint"));
    if (!endpoint) {
      return endpoint.error();
    }
    members.push_back({textAt(entry.get_object(), "id"), endpoint.value()});
  }
  return members;
}

Result<json::object> parseObject(const std::string& text) {
  json::error_code code;
  json::value document = json::parse(text, code);
  if (code || !document.is_object()) {
    return fail(ErrorKind::kProtocolViolation, "the fleet's answer is no JSON object: " + text);
  }
  return std::move(document.get_object());
}

}  // namespace

FleetControl::FleetControl(http::Client& client, Endpoint endpoint)
    : client_(client), endpoint_(std::move(endpoint)) {}

awaitable<Result<FleetDescription>> FleetControl::describe() {
  Result<std::string> body = co_await call("GET", "/fleet");
  if (!body) {
    co_return body.error();
  }
  Result<json::object> object = parseObject(body.value());
  if (!object) {
    co_return object.error();
  }
  FleetDescription fleet;
  fleet.shape = textAt(object.value(), "shape");
  fleet.apiKey = textAt(object.value(), "api_key");
  fleet.model = textAt(object.value(), "model");
  fleet.servicePath = textAt(object.value(), "service_path");
  Result<std::vector<FleetMember>> routers = membersAt(object.value(), "routers");
  Result<std::vector<FleetMember>> engines = membersAt(object.value(), "engines");
  Result<std::vector<FleetMember>> services = membersAt(object.value(), "services");
  for (const auto* members : {&routers, &engines, &services}) {
    if (!*members) {
      co_return members->error();
    }
  }
  fleet.routers = std::move(routers.value());
  fleet.engines = std::move(engines.value());
  fleet.services = std::move(services.value());
  co_return fleet;
}

awaitable<Result<ActionResult>> FleetControl::begin(FaultEvent event) {
  co_return co_await act("/begin/", event);
}

awaitable<Result<ActionResult>> FleetControl::end(FaultEvent event) {
  co_return co_await act("/end/", event);
}

awaitable<Result<std::string>> FleetControl::strikes() {
  co_return co_await call("GET", "/strikes");
}

awaitable<Result<ActionResult>> FleetControl::act(std::string verb, FaultEvent event) {
  std::string target =
      verb + std::string(faultRow(event.kind).name) + "?target=" + std::to_string(event.target);
  Result<std::string> body = co_await call("POST", std::move(target));
  if (!body) {
    co_return body.error();
  }
  Result<json::object> object = parseObject(body.value());
  if (!object) {
    co_return object.error();
  }
  ActionResult result;
  const json::value* accepted = object.value().if_contains("accepted_version");
  if (accepted != nullptr && accepted->is_int64()) {
    result.accepted = BundleVersion(static_cast<std::uint64_t>(accepted->get_int64()));
  }
  co_return result;
}

awaitable<Result<std::string>> FleetControl::call(std::string method, std::string target) {
  http::Request request;
  request.method = std::move(method);
  request.target = std::move(target);
  http::ExchangeOptions options;
  options.headerTimeout = kActionTimeout;
  Result<http::Response> response =
      co_await client_.exchange(endpoint_, std::move(request), options);
  if (!response) {
    co_return response.error();
  }
  if (response.value().status != 200) {
    co_return fail(ErrorKind::kProtocolViolation, "the fleet refused: " + response.value().body);
  }
  co_return response.value().body;
}

}  // namespace calicodrift::bench
