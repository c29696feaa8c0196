#pragma once

#include <optional>
#include <unordered_map>

#include "common/clock.h"
#include "limits/token_bucket.h"
#include "server_limits/limit_fact.h"

namespace calicodrift::server_limits {

/// A node's decision on one unit.
struct UnitDecision {
  bool granted = false;
  /// Where it is refused: until the next unit comes.
  Milliseconds wait{0};
};

/// Gives out units of servers' limits, one for each request. No I/O; calls are told the time.
///
/// Invariant: where one node gives out a server's units, at most limit x time + heldUnits() are
/// given in any span. It holds also over a change of that node, as one that begins has none: what
/// its predecessor gave a moment ago and what it gives itself came from the same refill.
class UnitMinter {
 public:
  /// Begins to give out the server's units, or goes on.
  /// @param settledAt where this node begins: another one may give them out until then.
  UnitDecision take(const LimitFact& limit, MonotonicTime settledAt, MonotonicTime now);
  /// The unit reached no server.
  void giveBack(fleet::ServerKey server, MonotonicTime now);
  /// Another node gives them out, or nobody does.
  void forget(fleet::ServerKey server) { buckets_.erase(server); }
  void forgetAll() { buckets_.clear(); }
  bool owns(fleet::ServerKey server) const { return buckets_.contains(server); }
  /// When a unit was last asked for, and given; nothing where none was.
  std::optional<MonotonicTime> lastAsked(fleet::ServerKey server) const;
  std::optional<MonotonicTime> lastGiven(fleet::ServerKey server) const;

  /// Units that wait for requests while none come. With fewer, the pauses between requests would be
  /// lost to the server; with more, a server in need would get too many at once.
  static double heldUnits(double perSecond);
  /// Told to callers of a server that takes nothing.
  static constexpr Milliseconds kLongestWait{4000};

 private:
  struct Bucket {
    limits::TokenBucket units;
    /// Whoever gave them out before may do so still.
    bool unsettled = true;
    std::optional<MonotonicTime> lastAsked;
    std::optional<MonotonicTime> lastGiven;
  };

  const Bucket* find(fleet::ServerKey server) const;

  std::unordered_map<fleet::ServerKey, Bucket> buckets_;
};

}  // namespace calicodrift::server_limits
