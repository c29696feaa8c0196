#include "object_api/machine.h"

#include <boost/json.hpp>

namespace calicodrift::object_api {
namespace {

namespace json = boost::json;

json::object toObject(const Machine& machine) {
  json::object object;
  object["name"] = machine.id.value();
  object["kind"] = machine.kind == MachineKind::kEngine ? "engine" : "service";
  object["serves"] = machine.serves;
  object["zone"] = machine.zone.value();
  object["address"] = machine.endpoint.toString();
  object["conditions"] = json::object{
      {"ready", machine.ready}, {"serving", machine.serving}, {"terminating", machine.terminating}};
  return object;
}

std::string textAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

bool flagAt(const json::object& object, std::string_view key, bool absent) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_bool() ? value->get_bool() : absent;
}

Result<Machine> fromValue(const json::value& value) {
  if (!value.is_object()) {
    return fail(ErrorKind::kProtocolViolation, "a machine must be an object");
  }
  const json::object& object = value.get_object();
  Machine machine;
  machine.id = BackendId(textAt(object, "name"));
  machine.kind = textAt(object, "kind") == "service" ? MachineKind::kService : MachineKind::kEngine;
  machine.serves = textAt(object, "serves");
  machine.zone = ZoneId(textAt(object, "zone"));
  Result<Endpoint> endpoint = parseEndpoint(textAt(object, "address"));
  if (!endpoint || machine.id.value().empty()) {
    return fail(ErrorKind::kProtocolViolation, "a machine needs a name and an address");
  }
  machine.endpoint = endpoint.value();
  const json::value* conditions = object.if_contains("conditions");
  if (conditions != nullptr && conditions->is_object()) {
    machine.ready = flagAt(conditions->get_object(), "ready", true);
    machine.serving = flagAt(conditions->get_object(), "serving", true);
    machine.terminating = flagAt(conditions->get_object(), "terminating", false);
  }
  return machine;
}

}  // namespace

std::string toJson(const Machine& machine) {
  return json::serialize(toObject(machine));
}

std::string toJson(const std::vector<Machine>& machines) {
  json::array items;
  for (const Machine& machine : machines) {
    items.push_back(toObject(machine));
  }
  return json::serialize(json::object{{"items", items}});
}

Result<Machine> machineFromJson(std::string_view text) {
  json::error_code code;
  const json::value document = json::parse(text, code);
  if (code) {
    return fail(ErrorKind::kProtocolViolation, "a machine is not JSON: " + code.message());
  }
  return fromValue(document);
}

Result<std::vector<Machine>> machinesFromJson(std::string_view text) {
  json::error_code code;
  const json::value document = json::parse(text, code);
  const json::value* items =
      !code && document.is_object() ? document.get_object().if_contains("items") : nullptr;
  if (items == nullptr || !items->is_array()) {
    return fail(ErrorKind::kProtocolViolation, "the machine list is no object with items");
  }
  std::vector<Machine> machines;
  for (const json::value& item : items->get_array()) {
    Result<Machine> machine = fromValue(item);
    if (!machine) {
      return machine.error();
    }
    machines.push_back(machine.value());
  }
  return machines;
}

}  // namespace calicodrift::object_api
