#include "routing/prefix_home.h"

#include <algorithm>
#include <limits>

#include "routing/cost.h"

namespace calicodrift::routing {
namespace {

/// Places in the order of affinity that a decision looks at beside the home, and as many in other
/// regions with one more.
constexpr std::size_t kOtherPlaces = 4;
/// What leaving the home costs beside the move: another copy that pushes others out.
constexpr double kLeaveMs = 200;
/// Time to move one token of the common part, as a fraction of the time to prefill it.
constexpr double kMoveShare = 1.0;

std::size_t sharedBlocksOf(const RouteRequest& request) {
  const std::size_t shared = std::min(request.sharedBlocks, request.blocks.size());
  return shared > 0 ? shared : request.blocks.size();
}

std::uint64_t keyOf(const RouteRequest& request) {
  const std::size_t shared = sharedBlocksOf(request);
  return shared > 0 ? request.blocks[shared - 1].value() : hashBytes(request.tenant.value());
}

/// Time to read the common part anew.
double sharedPrefillMs(const RouteRequest& request, const Candidate& candidate) {
  const std::size_t shared = std::min(request.sharedBlocks, request.blocks.size());
  return prefillMs(request, candidate, 0) - prefillMs(request, candidate, shared);
}

/// Where the common part is kept: in each region where reading it there once more costs less than
/// the way to the home of the whole fleet, else there.
/// @param nearest the first place in the order of affinity, of nearby ones where there are any.
std::size_t homeOf(const RouteRequest& request, const CandidateSet& candidates,
                   std::size_t nearest) {
  if (candidates.allNearby() || !candidates.anyNearby()) {
    return nearest;
  }
  const std::size_t ofFleet = candidates.inAffinityOrder(keyOf(request), 1).front();
  const Candidate& candidate = candidates[ofFleet];
  return sharedPrefillMs(request, candidate) > candidate.wayMs ? ofFleet : nearest;
}

}  // namespace

Choice PrefixHome::choose(const RouteRequest& request, const CandidateSet& candidates,
                          MonotonicTime /*now*/) {
  const std::size_t shared = std::min(request.sharedBlocks, request.blocks.size());
  const std::vector<std::size_t> order = candidates.inAffinityOrderNearbyFirst(
      keyOf(request), 1 + kOtherPlaces + request.avoided.size());
  const std::size_t home = homeOf(request, candidates, order.front());
  Choice best;
  double bestMs = std::numeric_limits<double>::infinity();
  for (const std::size_t position : withoutAvoided(request, candidates, order)) {
    const Candidate& candidate = candidates[position];
    const double sharedMs = sharedPrefillMs(request, candidate);
    const double leaveMs = position == home ? 0 : kLeaveMs + kMoveShare * sharedMs;
    const double ms = candidate.wayMs + queueDelayMs(candidate) +
                      admissionDelayMs(request, candidate) + leaveMs +
                      streamPauseMs(candidate, uncachedTokens(request, shared));
    if (ms < bestMs) {
      bestMs = ms;
      best.index = position;
    }
  }
  best.expectedCachedBlocks = shared;
  best.reason = best.index == home ? "home of the prefix" : "the home of the prefix is busier";
  if (best.index != home && shared > 0) {
    best.holder = home;
  }
  return best;
}

}  // namespace calicodrift::routing
