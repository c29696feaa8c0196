#pragma once

#include <boost/json/value.hpp>
#include <optional>
#include <string>

#include "common/ids.h"
#include "service_rollout/order.h"
#include "store/object_store.h"

namespace calicodrift::service_rollout {

/// Progress of an order.
enum class Phase {
  /// No order is in progress: the stable version gets all traffic.
  kSteady,
  /// The candidate gets a bounded share (canary); the rest goes to the stable version.
  kBaking,
  /// The candidate gets all traffic while requests on the stable version finish.
  kShifting,
};
std::string_view toString(Phase phase);

/// Persistent state of a service's versions: one object per service in the store, written
/// conditionally by the lease holder and read by all nodes through the relay tree.
///
/// Invariant: it is written before any node may act on it, as nodes act on what they read of it.
/// Whichever nodes are lost, their successors can determine the stable version.
struct ServiceRecord {
  std::string service;
  SoftwareVersion stable;
  /// Empty in the steady phase.
  SoftwareVersion candidate;
  Phase phase = Phase::kSteady;
  /// The order's revision when it was accepted, before a state was written to it; 0 in the steady
  /// phase if no order was ever accepted. Kept after the end, so that the same order is not
  /// accepted again if its state was not written. After an end without an outcome, it is the
  /// revision of the view of the orders that showed the end: no decision is based on an older one.
  store::Revision order;
  /// How the order ended, in the steady phase; kNew if there was none. Allows a successor to write
  /// the order's state if the last holder was lost in between.
  OrderState outcome = OrderState::kNew;
  /// Target of that order.
  SoftwareVersion outcomeTarget;
  /// Revision of this object in the store; 0 if not written yet.
  store::Revision revision;

  bool operator==(const ServiceRecord&) const = default;
};

/// Kind of these objects, which is defined by this product; each object is named after its service.
inline constexpr std::string_view kRecordKind = "calicodrift-service-versions";

/// Conversions between the record and its object. Reading fails with kProtocolViolation.
store::Object toObject(const ServiceRecord& record);
Result<ServiceRecord> toRecord(const store::Object& object);

/// Identifies the order that the record shows as in progress.
OrderKey keyOf(const ServiceRecord& record);

}  // namespace calicodrift::service_rollout
