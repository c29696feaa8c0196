#include "routing/round_robin.h"

#include <algorithm>

namespace calicodrift::routing {

Choice RoundRobin::choose(const RouteRequest& request, const CandidateSet& candidates,
                          MonotonicTime /*now*/) {
  const std::size_t first = next_ % candidates.size();
  ++next_;
  // One more position than there are back ends to avoid.
  const std::size_t examined = std::min(request.avoided.size() + 1, candidates.size());
  std::vector<std::size_t> positions;
  for (std::size_t offset = 0; offset < examined; ++offset) {
    positions.push_back((first + offset) % candidates.size());
  }
  return {withoutAvoided(request, candidates, std::move(positions)).front(), 0, "next in turn"};
}

}  // namespace calicodrift::routing
