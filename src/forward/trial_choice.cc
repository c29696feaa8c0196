#include "forward/trial_choice.h"

#include <algorithm>
#include <numeric>

namespace calicodrift::forward {
namespace {

/// Enough choices, because a fleet runs few attempts of suspect requests at the same time.
constexpr std::size_t kMaxTrialChoices = 8;

quarantine::ServerRun runOf(const routing::Candidate& candidate) {
  return quarantine::runOf(candidate.id, candidate.incarnation);
}

}  // namespace

std::vector<std::size_t> trialOrder(const routing::RouteRequest& request,
                                    const routing::CandidateSet& candidates) {
  std::vector<std::size_t> positions(candidates.size());
  std::iota(positions.begin(), positions.end(), std::size_t{0});
  positions = routing::withoutAvoided(request, candidates, std::move(positions));
  std::stable_sort(
      positions.begin(), positions.end(), [&candidates](std::size_t first, std::size_t second) {
        return routing::requestsAt(candidates[first]) < routing::requestsAt(candidates[second]);
      });
  return positions;
}

std::vector<quarantine::ServerRun> trialChoices(const routing::RouteRequest& request,
                                                const routing::CandidateSet& candidates) {
  std::vector<quarantine::ServerRun> choices;
  for (const std::size_t position : trialOrder(request, candidates)) {
    if (choices.size() < kMaxTrialChoices) {
      choices.push_back(runOf(candidates[position]));
    }
  }
  return choices;
}

routing::Choice chooseForTrial(const routing::RouteRequest& request,
                               const routing::CandidateSet& candidates,
                               quarantine::ServerRun assigned) {
  const std::vector<std::size_t> order = trialOrder(request, candidates);
  const auto found = std::find_if(order.begin(), order.end(), [&](std::size_t position) {
    return runOf(candidates[position]) == assigned;
  });
  routing::Choice choice;
  choice.index = found == order.end() ? order.front() : *found;
  choice.reason = "few requests, for a trial";
  return choice;
}

}  // namespace calicodrift::forward
