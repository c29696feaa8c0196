#include "routing/prefix_hash_bounded_load.h"

#include <algorithm>

namespace calicodrift::routing {
namespace {

std::size_t loadOf(const Candidate& candidate) {
  return std::max(candidate.outstanding, candidate.reportedRequests);
}

std::uint64_t affinityKey(const RouteRequest& request, std::size_t blocks) {
  const std::size_t count = std::min(blocks, request.blocks.size());
  if (count == 0) {
    return hashBytes(request.tenant.value());
  }
  return request.blocks[count - 1].value();
}

}  // namespace

Choice PrefixHashBoundedLoad::choose(const RouteRequest& request, const Candidates& candidates,
                                     MonotonicTime /*now*/) {
  std::size_t totalLoad = 0;
  for (const Candidate& candidate : candidates) {
    totalLoad += loadOf(candidate);
  }
  const double mean = static_cast<double>(totalLoad + 1) / static_cast<double>(candidates.size());
  const double bound = std::max(1.0, mean * kLoadFactor);
  const std::uint64_t key = affinityKey(request, kAffinityBlocks);
  std::size_t best = candidates.size();
  std::uint64_t bestRank = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (static_cast<double>(loadOf(candidates[index])) >= bound) {
      continue;
    }
    const std::uint64_t rank = hashBytes(candidates[index].id.value(), key);
    if (best == candidates.size() || rank > bestRank) {
      best = index;
      bestRank = rank;
    }
  }
  // The load bound is above the mean, so at least one candidate is below it.
  return {std::min(best, candidates.size() - 1), 0, "first in prefix order below the load bound"};
}

}  // namespace calicodrift::routing
