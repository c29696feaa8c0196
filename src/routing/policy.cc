#include "routing/policy.h"

#include <algorithm>
#include <numeric>

namespace calicodrift::routing {

std::vector<std::size_t> sampledPositions(const CandidateSet& candidates, Random& random) {
  constexpr std::size_t kSamples = 16;
  std::vector<std::size_t> positions;
  if (candidates.size() <= CandidateSet::kSmallSetSize) {
    positions.resize(candidates.size());
    std::iota(positions.begin(), positions.end(), 0);
    return positions;
  }
  std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
  while (positions.size() < kSamples) {
    positions.push_back(any(random));
  }
  return positions;
}

std::vector<std::size_t> withoutAvoided(const RouteRequest& request, const CandidateSet& candidates,
                                        std::vector<std::size_t> positions) {
  if (request.avoided.empty()) {
    return positions;
  }
  const auto avoided = [&](std::size_t position) {
    return std::find(request.avoided.begin(), request.avoided.end(), candidates[position].id) !=
           request.avoided.end();
  };
  if (!std::all_of(positions.begin(), positions.end(), avoided)) {
    std::erase_if(positions, avoided);
  }
  return positions;
}

}  // namespace calicodrift::routing
