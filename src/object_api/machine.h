#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/endpoint.h"
#include "common/error.h"
#include "common/ids.h"

namespace calicodrift::object_api {

enum class MachineKind { kEngine, kService };

/// One entry of the platform's machine list; the conditions are those of an endpoint slice.
struct Machine {
  BackendId id;
  MachineKind kind = MachineKind::kEngine;
  /// Model that an engine serves, or the name of an ordinary service.
  std::string serves;
  ZoneId zone;
  Endpoint endpoint;
  bool ready = true;
  bool serving = true;
  /// Leaving: finishes what it has and must get no new work.
  bool terminating = false;
};

std::string toJson(const Machine& machine);
std::string toJson(const std::vector<Machine>& machines);
/// Both fail with kProtocolViolation.
Result<Machine> machineFromJson(std::string_view text);
Result<std::vector<Machine>> machinesFromJson(std::string_view text);

}  // namespace calicodrift::object_api
