#pragma once

#include "common/clock.h"

namespace calicodrift::quota {

/// What one tenant may use over all nodes together.
struct TenantLimit {
  double unitsPerSecond = 0;
  /// On top of that, at once.
  double burst = 0;

  bool operator==(const TenantLimit&) const = default;
};

/// How far the deployment lets the sum over all nodes pass a limit: what is used in any `window` is
/// at most (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaBounds {
  Milliseconds window{10'000};
  double overshoot = 0.1;
  /// In the limit's unit.
  double slack = 0;
};

/// How the excess over one limit is divided among what the nodes can't know of each other. The
/// parts are halves of halves, so that the worst of all together stays below the whole:
/// a quarter for what was granted ahead of need, an eighth for a request larger than what is
/// there, an eighth for changes of roots, a quarter for nodes that have just lost their source.
struct Allowance {
  Allowance(const QuotaBounds& bounds, const TenantLimit& limit);

  /// What is granted ahead is void after this. At most rate x term is granted and unused at a time.
  Milliseconds aheadTerm{0};
  /// A root's content may fall so far below zero for one request.
  double debt = 0;
  /// What a node that has just become a root may grant before its content has grown.
  double start = 0;
  /// A node without a source goes on at the rate that it was granted so far, for this long.
  Milliseconds islandTerm{0};
};

}  // namespace calicodrift::quota
