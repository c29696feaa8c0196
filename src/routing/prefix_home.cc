#include "routing/prefix_home.h"

#include <algorithm>
#include <limits>

#include "routing/cost.h"

namespace calicodrift::routing {
namespace {

/// Number of candidates in affinity order that a decision examines besides the home; one more than
/// this in other regions.
constexpr std::size_t kAlternatives = 4;
/// Cost of leaving the home in addition to the transfer: another copy that evicts others.
constexpr double kLeaveHomeMs = 200;
/// Time to transfer one token of the common prefix, relative to the time to prefill it.
constexpr double kTransferCostRatio = 1.0;

std::size_t sharedBlocksOf(const RouteRequest& request) {
  const std::size_t shared = std::min(request.sharedBlocks, request.blocks.size());
  return shared > 0 ? shared : request.blocks.size();
}

std::uint64_t keyOf(const RouteRequest& request) {
  const std::size_t shared = sharedBlocksOf(request);
  return shared > 0 ? request.blocks[shared - 1].value() : hashBytes(request.tenant.value());
}

/// Time to prefill the common prefix without cache.
double sharedPrefillMs(const RouteRequest& request, const Candidate& candidate) {
  const std::size_t shared = std::min(request.sharedBlocks, request.blocks.size());
  return prefillMs(request, candidate, 0) - prefillMs(request, candidate, shared);
}

/// The home of the common prefix: in the router's own region if prefilling it there again costs
/// less than the round trip to the home of the whole fleet, otherwise the latter.
/// @param nearest the first position in affinity order, among the nearby ones if there are any.
std::size_t homeOf(const RouteRequest& request, const CandidateSet& candidates,
                   std::size_t nearest) {
  if (candidates.allNearby() || !candidates.anyNearby()) {
    return nearest;
  }
  const std::size_t fleetHome = candidates.inAffinityOrder(keyOf(request), 1).front();
  const Candidate& candidate = candidates[fleetHome];
  return sharedPrefillMs(request, candidate) > candidate.rttMs ? fleetHome : nearest;
}

}  // namespace

Choice PrefixHome::choose(const RouteRequest& request, const CandidateSet& candidates,
                          MonotonicTime /*now*/) {
  const std::size_t shared = std::min(request.sharedBlocks, request.blocks.size());
  const std::vector<std::size_t> order = candidates.inAffinityOrderNearbyFirst(
      keyOf(request), 1 + kAlternatives + request.avoided.size());
  const std::size_t home = homeOf(request, candidates, order.front());
  Choice best;
  double bestMs = std::numeric_limits<double>::infinity();
  for (const std::size_t position : withoutAvoided(request, candidates, order)) {
    const Candidate& candidate = candidates[position];
    const double sharedMs = sharedPrefillMs(request, candidate);
    const double leaveMs = position == home ? 0 : kLeaveHomeMs + kTransferCostRatio * sharedMs;
    const double ms = candidate.rttMs + queueDelayMs(candidate) +
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
