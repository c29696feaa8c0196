#include "routing/least_outstanding.h"

#include <algorithm>
#include <compare>
#include <tuple>

#include "routing/cost.h"

namespace calicodrift::routing {
namespace {

/// Returns the candidate with the lowest sum of round-trip time and wait for a slot. Nearby
/// candidates come first among equals.
std::size_t cheapest(const CandidateSet& candidates, const std::vector<std::size_t>& positions) {
  const auto cost = [&candidates](std::size_t position) {
    const Candidate& candidate = candidates[position];
    return std::tuple(candidate.rttMs + slotWaitMs(candidate), !candidate.nearby);
  };
  return *std::min_element(
      positions.begin(), positions.end(),
      [&cost](std::size_t left, std::size_t right) { return cost(left) < cost(right); });
}

/// Keeps the candidates in the region of the cheapest one, or at most as distant as it: nearby ones
/// while they can take the load. Keeps all of them if no distance is known.
std::vector<std::size_t> notFartherThanCheapest(const CandidateSet& candidates,
                                                std::vector<std::size_t> positions) {
  if (candidates.allNearby()) {
    return positions;
  }
  const Candidate& best = candidates[cheapest(candidates, positions)];
  std::erase_if(positions, [&](std::size_t position) {
    return best.nearby ? !candidates[position].nearby : candidates[position].rttMs > best.rttMs;
  });
  return positions;
}

}  // namespace

Choice LeastOutstanding::choose(const RouteRequest& request, const CandidateSet& candidates,
                                MonotonicTime /*now*/) {
  const auto load = [&candidates](std::size_t position) {
    const Candidate& candidate = candidates[position];
    return std::tuple(candidate.outstandingTokens, candidate.reportedRequests);
  };
  const std::vector<std::size_t> positions = notFartherThanCheapest(
      candidates, withoutAvoided(request, candidates, sampledPositions(candidates, random_)));
  std::size_t best = positions.front();
  std::size_t equals = 0;
  for (const std::size_t position : positions) {
    const auto order = load(position) <=> load(best);
    if (std::is_lt(order)) {
      best = position;
      equals = 1;
    } else if (std::is_eq(order)) {
      ++equals;
      // Reservoir sampling: each of the equals is kept with the same probability.
      if (std::uniform_int_distribution<std::size_t>(1, equals)(random_) == 1) {
        best = position;
      }
    }
  }
  return {best, 0, "fewest outstanding tokens"};
}

}  // namespace calicodrift::routing
