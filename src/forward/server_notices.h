#pragma once

#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/error.h"

namespace calicodrift::forward {

/// What a server says of itself in the head of an answer, whatever the answer is to.
struct ServerNotices {
  /// It finishes what it has and then ends: it must get no new work. True for all nodes.
  bool leaving = false;
  /// It refused, and wants nothing from this node for so long.
  std::optional<Milliseconds> rest;
  /// The requests a second that it takes from all nodes together, as long as its answers say so;
  /// nothing where it names no limit. Fails with kProtocolViolation where it can't be read.
  Result<std::optional<double>> requestLimit = std::optional<double>();
  /// Why other notices of the head can't be read; these change nothing.
  std::vector<Error> unreadable;
};

}  // namespace calicodrift::forward
