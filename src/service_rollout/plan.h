#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "common/clock.h"
#include "service_rollout/judge.h"
#include "service_rollout/observations.h"
#include "service_rollout/order.h"
#include "service_rollout/service_record.h"

namespace calicodrift::service_rollout {

struct PlanSettings {
  /// Most of a service's requests that a candidate may get from the order to its deadline, and so
  /// many beside.
  double exposureShare = 0.1;
  double exposureSlack = 50;
};

/// What the holder of the lease knows of one service.
struct PlanInput {
  std::optional<Order> order;
  std::optional<ServiceRecord> record;
  /// The version that most servers had when this node first saw the service.
  SoftwareVersion firstSeen;
  /// All nodes' sums for the record's order; `age` is the order's.
  OrderObservations seen;
  Verdict verdict = Verdict::kUndecided;
  /// Usable servers of each version, and requests that run on the stable one, over all nodes.
  std::size_t stableServers = 0;
  std::size_t candidateServers = 0;
  std::size_t stableInFlight = 0;
  /// Requests a second that reach the service, over all nodes.
  double requestsPerSecond = 0;
};

enum class PlanStep { kNothing, kWriteRecord, kWriteState };

/// The next write of the lease holder. One at a time: after each the views are read again.
struct PlanAction {
  PlanStep step = PlanStep::kNothing;
  /// kWriteRecord.
  ServiceRecord record;
  /// kWriteState: to the input's order.
  OrderState state = OrderState::kNew;
  /// For the log: what decided it.
  std::string reason;
};

/// Decides on the next write for one service. No I/O, and no state but what it is given, so that
/// any successor goes on from what the store holds.
PlanAction nextAction(const PlanInput& input, const PlanSettings& settings);

}  // namespace calicodrift::service_rollout
