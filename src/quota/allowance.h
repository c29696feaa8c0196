#pragma once

#include "common/clock.h"

namespace calicodrift::quota {

/// Rate limit of one tenant, shared by all nodes.
struct TenantLimit {
  double unitsPerSecond = 0;
  /// Units that may be used at once in addition to the rate.
  double burst = 0;

  bool operator==(const TenantLimit&) const = default;
};

/// Bounds on how far the sum over all nodes may exceed a limit: usage in any `window` is at most
/// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaBounds {
  Milliseconds window{10'000};
  double overshoot = 0.1;
  /// In units of the limit.
  double slack = 0;
};

/// Divides the permitted excess over one limit among the sources of error that nodes cannot
/// coordinate on. The fractions are powers of one half, so that the worst case of all of them
/// together stays below the whole excess: a quarter for units granted ahead of need, an eighth for
/// a request larger than the available content, an eighth for root changes, and a quarter for nodes
/// that have just lost their source.
struct Allowance {
  Allowance(const QuotaBounds& bounds, const TenantLimit& limit);

  /// Units granted ahead of need expire after this term. At most rate x term is granted and unused
  /// at a time.
  Milliseconds prefetchTerm{0};
  /// How far below zero, in units, one request may take the content of a root.
  double maxDebt = 0;
  /// Units that a new root may grant before its bucket has refilled.
  double initialContent = 0;
  /// How long a node without a source may continue at the rate that it was last granted.
  Milliseconds disconnectedTerm{0};
};

}  // namespace calicodrift::quota
