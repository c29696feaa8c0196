#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet/server_pool.h"
#include "forward/rollout_hooks.h"

namespace calicodrift::forward {

/// The servers that a dispatch may go to now, all of one version where a service's versions are
/// told apart. Holds until the next change of the pool: not over a `co_await`.
struct AllowedServers {
  const routing::CandidateSet& set() const { return canary ? *canary : *pooled; }

  service_rollout::Track track = service_rollout::Track::kStable;
  /// The order under way; 0: none.
  service_rollout::OrderKey order;
  /// The canary's budget was asked for the request.
  bool askedBudget = false;
  const routing::CandidateSet* pooled = nullptr;
  /// The candidate's few servers of the canary, where the request is one.
  std::optional<routing::CandidateSet> canary;
};

/// A dispatch that needs a server.
struct ServerQuery {
  const std::string& service;
  const ModelId& model;
  service_rollout::RouteKey route;
  /// Servers that have had the request.
  const std::vector<BackendId>& tried;
  /// Whether it may be the canary: the request's first dispatch.
  bool mayBeCanary = false;
};

/// Asks for the service's rule and brings the pool's sets in line with it first, so that no choice
/// goes by an older one. The canary's budget is asked only for a query that may be the canary, and
/// only where the candidate has servers. While the rule allows the candidate no more than the
/// canary, everything else goes to the stable version, also where that has no server left.
AllowedServers allowedServers(const RolloutHooks& hooks, fleet::ServerPool& pool,
                              const ServerQuery& query, MonotonicTime now);

/// Whether the set holds a server that has not had the request.
bool holdsUntried(const routing::CandidateSet& set, const std::vector<BackendId>& tried);

}  // namespace calicodrift::forward
