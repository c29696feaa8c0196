#pragma once

#include <cstdint>
#include <string>

#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"
#include "common/strong_type.h"
#include "store/object_store.h"

/// Progressive delivery of a service's software: an operator orders a service onto servers of
/// another version, a bounded share of the traffic goes to them, all nodes evaluate them together,
/// and the order ends in promotion or rollback. docs/design/service-rollouts.md describes the
/// protocol.
namespace calicodrift::service_rollout {

/// State of an order.
enum class OrderState {
  /// No state has been written yet.
  kNew,
  kRunning,
  kCompleted,
  kRolledBack,
};
std::string_view toString(OrderState state);

/// Compact identifier of an order in messages between nodes, see keyOf().
using OrderKey = StrongType<struct OrderKeyTag, std::uint64_t>;

/// An operator's order to move a service's traffic to servers of the target version.
struct Order {
  /// Name of the object that holds the order.
  std::string name;
  std::string service;
  SoftwareVersion target;
  /// Time from the operator's write until the order should have ended.
  Milliseconds duration{0};
  /// State last written by a node, and the target that it was written for: the operator may have
  /// changed the target since.
  OrderState state = OrderState::kNew;
  SoftwareVersion stateTarget;
  /// Revision of the object's last change, including writes of the state.
  store::Revision revision;
  /// Whether the operator has withdrawn the order.
  bool withdrawn = false;

  /// Whether a state was written for the current target.
  bool hasState() const { return state != OrderState::kNew && stateTarget == target; }
  /// Whether the order has ended for the current target.
  bool ended() const {
    return hasState() && (state == OrderState::kCompleted || state == OrderState::kRolledBack);
  }
  bool operator==(const Order&) const = default;
};

/// Fails with kSettingsInvalid and the reason if the order can't be executed: it has no service or
/// target, or its duration is not above 0.
Result<void> check(const Order& order);

}  // namespace calicodrift::service_rollout
