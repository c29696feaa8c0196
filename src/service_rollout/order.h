#pragma once

#include <cstdint>
#include <string>

#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"
#include "common/strong_type.h"
#include "store/object_store.h"

/// Progressive delivery of a service's software: an operator orders a service onto servers of
/// another version, a bounded share of the traffic tries them, all nodes judge them together, and
/// the order ends in promotion or in rollback. docs/design/service-rollouts.md has the protocol.
namespace calicodrift::service_rollout {

/// What became of an order.
enum class OrderState {
  /// Nothing has been written to it yet.
  kNew,
  kRunning,
  kCompleted,
  kRolledBack,
};
std::string_view toString(OrderState state);

/// Names one order between nodes in few bytes, see keyOf().
using OrderKey = StrongType<struct OrderKeyTag, std::uint64_t>;

/// An operator's order to move a service's traffic to servers of the target version.
struct Order {
  /// Of the object that holds it.
  std::string name;
  std::string service;
  SoftwareVersion target;
  /// From the operator's write until the order should have ended.
  Milliseconds duration{0};
  /// As last written by a node, and for which target: the operator may have changed the target
  /// since.
  OrderState state = OrderState::kNew;
  SoftwareVersion stateTarget;
  /// Of the object's last change, a write of the state included.
  store::Revision revision;
  /// The operator has withdrawn it.
  bool withdrawn = false;

  /// Whether a state was written for the present target.
  bool hasState() const { return state != OrderState::kNew && stateTarget == target; }
  /// Whether it has ended for the present target.
  bool ended() const {
    return hasState() && (state == OrderState::kCompleted || state == OrderState::kRolledBack);
  }
  bool operator==(const Order&) const = default;
};

/// Fails with kSettingsInvalid, saying why, for an order that can't be carried out: without a
/// service or target, or with a duration of 0 or below.
Result<void> check(const Order& order);

}  // namespace calicodrift::service_rollout
