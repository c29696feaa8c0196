#include "routing/prefix_home.h"

#include <algorithm>
#include <limits>

#include "routing/cost.h"

namespace calicodrift::routing {
namespace {

/// Places in the order of affinity that a decision looks at beside the homes.
constexpr std::size_t kOtherPlaces = 4;
/// Homes that a common part has together hold this many tokens of it at most.
constexpr std::size_t kTokensOverHomes = 1024;
constexpr std::size_t kMostHomes = 8;
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

std::size_t homesOf(std::size_t sharedTokens) {
  // Where nothing is shared, or it is not known how much, one home is enough.
  return sharedTokens == 0
             ? 1
             : std::clamp(kTokensOverHomes / sharedTokens, std::size_t{1}, kMostHomes);
}

/// The home of this request among those of its common part.
std::size_t homeRankOf(const RouteRequest& request, std::size_t homes) {
  return request.blocks.empty() ? 0 : hashPair(request.blocks.back().value(), homes) % homes;
}

}  // namespace

Choice PrefixHome::choose(const RouteRequest& request, const CandidateSet& candidates,
                          MonotonicTime /*now*/) {
  const std::size_t shared = std::min(request.sharedBlocks, request.blocks.size());
  const std::size_t homes = homesOf(request.sharedTokens);
  const std::vector<std::size_t> order =
      candidates.inAffinityOrder(keyOf(request), homes + kOtherPlaces + request.avoided.size());
  const std::size_t home = order[std::min(homeRankOf(request, homes), order.size() - 1)];
  Choice best;
  double bestMs = std::numeric_limits<double>::infinity();
  for (const std::size_t position : withoutAvoided(request, candidates, order)) {
    const Candidate& candidate = candidates[position];
    const double sharedMs =
        prefillMs(request, candidate, 0) - prefillMs(request, candidate, shared);
    const double leaveMs = position == home ? 0 : kLeaveMs + kMoveShare * sharedMs;
    const double ms = queueDelayMs(candidate) + admissionDelayMs(request, candidate) + leaveMs;
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
