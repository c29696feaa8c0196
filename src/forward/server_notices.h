#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/error.h"

namespace calicodrift::forward {

/// Notices about the server itself in the head of an answer to any request.
struct ServerNotices {
  /// The server finishes its current work and then exits, so it must get no new work from any node.
  bool leaving = false;
  /// The server refused the request and wants none from this node for this long.
  std::optional<Milliseconds> rest;
  /// Requests per second that the server accepts from all nodes together, while its answers say so;
  /// empty if it names no limit. Fails with kProtocolViolation if it can't be parsed.
  Result<std::optional<double>> requestLimit = std::optional<double>();
  /// Requests per second that the server may refuse for lack of capacity, over all nodes; it fails
  /// if it has to refuse more. Empty if it names no such limit. Fails like requestLimit.
  Result<std::optional<double>> refusalLimit = std::optional<double>();
  /// Why other notices in the head can't be parsed; those have no effect.
  std::vector<Error> unreadable;
};

}  // namespace calicodrift::forward
