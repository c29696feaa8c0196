#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"
#include "object_api/object_api.h"
#include "store/position.h"

/// Leases in a store with conditional writes: at most one node at a time acts for the fleet.
namespace calicodrift::lease {

/// A lease as stored. The fields are those of the usual lease object (holderIdentity,
/// leaseDurationMs, leaseTransitions). No wall-clock time is stored, because nodes do not compare
/// clocks.
struct LeaseRecord {
  /// Unique for each start of a process; empty after the holder released the lease.
  std::string holder;
  /// Validity of each renewal, counted from before it was sent.
  Milliseconds duration{0};
  /// Fencing token; increases with each change of holder.
  FencingToken token;
  /// Sequence number of the holder's write, by which it recognizes a write whose reply was lost.
  std::uint64_t renewal = 0;

  auto operator<=>(const LeaseRecord&) const = default;
};

std::string toJson(const LeaseRecord& record);
/// Fails with kProtocolViolation if the text is not a lease record or a number is outside the range
/// that holders write.
Result<LeaseRecord> leaseRecordFromJson(std::string_view text);

/// State of the stored lease at one moment. Version 0: there is no lease object.
struct ObservedLease {
  object_api::ResourceVersion version;
  LeaseRecord record;
  /// False if an object exists whose record cannot be decoded; the lease may be held.
  bool readable = true;
  /// Era of the store in which the lease was read, and when this process first knew of the era. A
  /// store that has returned from a copy may have lost what a holder wrote last.
  store::Era era{};
  MonotonicTime eraSeenAt{};
};

/// A lease object whose record cannot be decoded. Its version serves as its token: the version
/// increases with every write and the token with only some of them, so no token that was ever
/// issued is above it.
ObservedLease unreadableLease(object_api::ResourceVersion version);

}  // namespace calicodrift::lease
