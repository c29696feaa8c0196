#include "routing/least_outstanding.h"

#include <compare>
#include <tuple>

namespace calicodrift::routing {

Choice LeastOutstanding::choose(const RouteRequest& /*request*/, const Candidates& candidates,
                                MonotonicTime /*now*/) {
  const auto load = [](const Candidate& candidate) {
    return std::tuple(candidate.outstandingTokens, candidate.reportedRequests);
  };
  std::size_t best = 0;
  std::size_t equals = 1;
  for (std::size_t index = 1; index < candidates.size(); ++index) {
    const auto order = load(candidates[index]) <=> load(candidates[best]);
    if (std::is_lt(order)) {
      best = index;
      equals = 1;
    } else if (std::is_eq(order)) {
      ++equals;
      // Each of the equals is kept with the same chance.
      if (std::uniform_int_distribution<std::size_t>(1, equals)(random_) == 1) {
        best = index;
      }
    }
  }
  return {best, 0, "fewest outstanding tokens"};
}

}  // namespace calicodrift::routing
