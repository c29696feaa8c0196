#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "common/clock.h"
#include "service_rollout/canary_analyzer.h"
#include "service_rollout/observations.h"
#include "service_rollout/order.h"
#include "service_rollout/service_record.h"

namespace calicodrift::service_rollout {

struct PlanSettings {
  /// Limit of the service's requests that a candidate may get from the order to its deadline:
  /// `exposureShare` as a share of them, plus `exposureSlack` requests.
  double exposureShare = 0.1;
  double exposureSlack = 50;
};

/// How recent the view of one kind of objects is.
struct ViewProof {
  /// Store revision that the view has reached.
  store::Revision revision;
  /// Latest time at which the view was proven to be the newest state.
  MonotonicTime provenAt{};
};

/// What the lease holder knows of one service. Must be built only from views that have been read.
struct PlanInput {
  /// Empty if the view of the orders has none for the service.
  std::optional<Order> order;
  std::optional<ServiceRecord> record;
  /// Whether the record's object has become unreadable: `record` is then the last readable one,
  /// with the object's current revision.
  bool recordUnreadable = false;
  /// The views that the order and the record were taken from.
  ViewProof orders;
  ViewProof records;
  /// The version that most servers had when this node first saw the service.
  SoftwareVersion firstSeen;
  /// Sums over all nodes for the record's order; `age` is the order's. Observations and verdict of
  /// another order are ignored.
  OrderObservations observations;
  Verdict verdict = Verdict::kUndecided;
  /// Figures behind the verdict, for the log.
  std::string evidence;
  /// Usable servers of each version, over all nodes.
  std::size_t stableServers = 0;
  std::size_t candidateServers = 0;
  /// Requests that run on the stable version and on any other, over all nodes.
  std::size_t stableInFlight = 0;
  std::size_t otherInFlight = 0;
  /// Requests per second to the service, over all nodes.
  double requestsPerSecond = 0;
  /// Set by PhaseWatch from this node's observations: how long the record has been in its phase,
  /// and for how long up to now no requests have run on the versions that may stop when the order
  /// ends: the stable version while shifting, else all others.
  Milliseconds phaseAge{0};
  Milliseconds drainedFor{0};
};

enum class PlanStep { kNothing, kWriteRecord, kWriteState };

/// The lease holder's next write. There is one at a time: the views are read again after each.
struct PlanAction {
  PlanStep step = PlanStep::kNothing;
  /// For kWriteRecord.
  ServiceRecord record;
  /// For kWriteState: the state to write to the input's order.
  OrderState state = OrderState::kNew;
  /// Reason for the decision, for the log. Has no figures if there is nothing to write, so that it
  /// changes only with the awaited condition; empty if nothing is awaited.
  std::string reason;
};

/// Decides on the next write for one service. Performs no I/O and depends only on its arguments, so
/// that any successor continues from what the store holds.
///
/// Invariants: an order's state is written only after the record that decided it; the stable
/// version changes only by a record in the shifting phase whose candidate it was; the record of an
/// order that has ended never returns to baking for that order.
PlanAction nextAction(const PlanInput& input, const PlanSettings& settings);

/// How long before the deadline all of a service's requests may go to the candidate, given its
/// remaining exposure.
Milliseconds shiftBudget(const PlanInput& input, const PlanSettings& settings);

}  // namespace calicodrift::service_rollout
