#pragma once

#include <optional>
#include <unordered_map>

#include "common/clock.h"
#include "limits/token_bucket.h"
#include "server_limits/limit_record.h"

namespace calicodrift::server_limits {

/// This node's decision on a request for one unit.
struct UnitDecision {
  bool granted = false;
  /// If refused: time until the next unit is available.
  Milliseconds wait{0};
};

/// Issues units of servers' limits, one for each request. Does no I/O; callers pass the time.
///
/// Invariant: while one node issues a server's units, at most limit x time + burstCapacity() are
/// granted in any time span. It also holds when another node takes over, since a new issuer starts
/// with none: the units that its predecessor granted just before and its own come from the same
/// refill.
class UnitIssuer {
 public:
  /// Takes a unit, and starts issuing the server's units if this node did not do so before.
  /// @param settledAt time until which the previous issuer may still issue units; ignored once it
  ///   has passed for this server.
  UnitDecision take(const LimitRecord& limit, MonotonicTime settledAt, MonotonicTime now);
  /// Returns a unit whose request reached no server.
  void giveBack(fleet::ServerKey server, MonotonicTime now);
  /// Stops issuing the server's units, as another node issues them, or none does.
  void forget(fleet::ServerKey server) { buckets_.erase(server); }
  void forgetAll() { buckets_.clear(); }
  bool issuesUnitsFor(fleet::ServerKey server) const { return buckets_.contains(server); }
  /// When a unit was last requested, and granted; empty if none was.
  std::optional<MonotonicTime> lastRequested(fleet::ServerKey server) const;
  std::optional<MonotonicTime> lastGranted(fleet::ServerKey server) const;

  /// Units that accumulate while none are requested. With fewer, the pauses between requests would
  /// be lost to the server; with more, an overloaded server would get too many requests at once.
  static double burstCapacity(double perSecond);
  /// Wait told to callers if the limit is 0, and upper bound of the wait for a refill. The wait for
  /// a previous issuer (settledAt) is not bounded by it.
  static constexpr Milliseconds kMaxWait{4000};

 private:
  struct Bucket {
    limits::TokenBucket units;
    /// The previous issuer may still grant units.
    bool awaitingPredecessor = true;
    std::optional<MonotonicTime> lastRequested;
    std::optional<MonotonicTime> lastGranted;
  };

  const Bucket* find(fleet::ServerKey server) const;

  std::unordered_map<fleet::ServerKey, Bucket> buckets_;
};

}  // namespace calicodrift::server_limits
