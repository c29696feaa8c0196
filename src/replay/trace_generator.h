#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "replay/deployment.h"
#include "replay/trace.h"

namespace calicodrift::replay {

/// What a generated trace looks like. Prompts nest: tenant's instructions, then a collection's
/// common text, then a document, then the turns of one conversation about it.
struct TraceShape {
  struct Range {
    std::size_t least = 0;
    std::size_t most = 0;
  };
  std::size_t tenants = 8;
  /// Exponent of the Zipf distributions; larger is more skewed.
  double tenantSkew = 1.0;
  double documentSkew = 0.9;
  std::size_t collectionsPerTenant = 6;
  std::size_t documentsPerCollection = 16;
  Range rootBlocks{2, 6};
  Range collectionBlocks{2, 10};
  Range documentBlocks{12, 40};
  /// Added to a conversation by each turn.
  Range turnBlocks{0, 2};
  Range turns{1, 6};
  Range outputTokens{16, 240};
  /// Share of requests that ask a short question under the tenant's instructions only.
  double shortShare = 0.3;
  /// After so many requests some document becomes its tenant's most asked-for one.
  std::size_t requestsAHotShift = 150;
  /// Share of the requests that go to one document while it is in a flash, and the part of the
  /// trace that the flash lasts; in the middle of it.
  double flashShare = 0.0;
  double flashLength = 0.2;
  /// Arrivals are Poisson at a rate that changes between calm and burst.
  double burstRate = 2.0;
  double burstShare = 0.2;
};

/// "reviews" (tatra's), "campaigns" (trinacria's) or "flash" (a document suddenly very hot).
std::optional<TraceShape> findShape(std::string_view name);
/// The shape that fits the site.
std::string_view defaultShapeOf(const Deployment& deployment);

struct TraceOrder {
  Deployment deployment;
  TraceShape shape;
  std::uint64_t seed = 1;
  std::size_t requests = 0;
  /// Share of the site's full-batch throughput that the trace takes when it is routed round robin.
  double load = 0.8;
};

/// Equal orders give equal traces.
Trace generateTrace(const TraceOrder& order);

}  // namespace calicodrift::replay
