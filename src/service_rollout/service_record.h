#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>

#include "common/ids.h"
#include "service_rollout/order.h"
#include "store/object_store.h"

namespace calicodrift::service_rollout {

/// How far an order has come.
enum class Phase {
  /// No order is under way: the stable version gets everything.
  kSteady,
  /// The candidate gets a bounded share, the canary; the rest goes to the stable version.
  kBaking,
  /// The candidate gets everything, and what runs on the stable version is waited for.
  kShifting,
};
std::string_view toString(Phase phase);

/// What must outlive every node about a service's versions: one object a service in the store,
/// written by the lease holder under a condition, read by all nodes along the relay tree.
///
/// Invariant: it is written before any node may act on it, as nodes act on what they read of it. So
/// whichever nodes are lost, their successors find which version is the stable one.
struct ServiceRecord {
  std::string service;
  SoftwareVersion stable;
  /// Empty in the steady phase.
  SoftwareVersion candidate;
  Phase phase = Phase::kSteady;
  /// The order's revision when it was accepted, before a state was written to it; 0 in the steady
  /// phase where no order was ever accepted. Kept after the end, so that the same order is not
  /// accepted again where its state was not written. After an end without an outcome it is the
  /// revision of the view of orders that showed the end: nothing is decided on an older one.
  store::Revision order;
  /// How the order ended, in the steady phase; kNew where there was none. Lets a successor write
  /// the order's state where the last holder was lost in between.
  OrderState outcome = OrderState::kNew;
  /// Target of that order.
  SoftwareVersion outcomeTarget;
  /// Of this object in the store; 0: not written yet.
  store::Revision revision;

  bool operator==(const ServiceRecord&) const = default;
};

/// The kind of these objects, which are the product's own; each is named by its service.
inline constexpr std::string_view kRecordKind = "calicodrift-service-versions";

/// Between the record and its object. Reading fails with kProtocolViolation.
store::Object toObject(const ServiceRecord& record);
Result<ServiceRecord> toRecord(const store::Object& object);

/// Names the order that the record says is under way.
OrderKey keyOf(const ServiceRecord& record);

}  // namespace calicodrift::service_rollout
