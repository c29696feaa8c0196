#pragma once

#include <vector>

#include "quarantine/crash_ledger.h"
#include "routing/policy.h"

namespace calicodrift::forward {

/// Order of servers for a request that was in progress when servers crashed, best first: servers
/// that have not had it and run few other requests, because those are lost if the server crashes
/// too.
/// @param candidates must not be empty.
std::vector<std::size_t> trialOrder(const routing::RouteRequest& request,
                                    const routing::CandidateSet& candidates);

/// The first servers of that order as server runs; quarantine chooses one of them.
std::vector<quarantine::ServerRun> trialChoices(const routing::RouteRequest& request,
                                                const routing::CandidateSet& candidates);

/// The server assigned to the trial, or the best one if that has left since.
routing::Choice chooseForTrial(const routing::RouteRequest& request,
                               const routing::CandidateSet& candidates,
                               quarantine::ServerRun assigned);

}  // namespace calicodrift::forward
