#include "routing/prefix_hash_bounded_load.h"

#include <algorithm>

namespace calicodrift::routing {
namespace {

std::uint64_t affinityKey(const RouteRequest& request, std::size_t blocks) {
  const std::size_t count = std::min(blocks, request.blocks.size());
  if (count == 0) {
    return hashBytes(request.tenant.value());
  }
  return request.blocks[count - 1].value();
}

}  // namespace

Choice PrefixHashBoundedLoad::choose(const RouteRequest& request, const CandidateSet& candidates,
                                     MonotonicTime /*now*/) {
  const double mean =
      static_cast<double>(candidates.totalRequests() + 1) / static_cast<double>(candidates.size());
  const double bound = std::max(1.0, mean * kLoadFactor);
  const std::uint64_t key = affinityKey(request, kAffinityBlocks);
  // The load bound is above the mean, so a small set always contains a candidate below it. In a
  // large set all examined candidates exceed it only if most of the fleet does; then the least
  // loaded one is chosen.
  const std::size_t examined =
      candidates.size() <= CandidateSet::kSmallSetSize ? candidates.size() : kExaminedPositions;
  const std::vector<std::size_t> positions =
      withoutAvoided(request, candidates, candidates.inAffinityOrder(key, examined));
  std::size_t best = positions.front();
  for (const std::size_t position : positions) {
    const std::size_t requests = requestsAt(candidates[position]);
    if (static_cast<double>(requests) < bound) {
      return {position, 0, "first in prefix order below the load bound"};
    }
    if (requests < requestsAt(candidates[best])) {
      best = position;
    }
  }
  return {best, 0, "least loaded of the first in prefix order"};
}

}  // namespace calicodrift::routing
