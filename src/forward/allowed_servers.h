#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet/server_pool.h"
#include "forward/rollout_hooks.h"

namespace calicodrift::forward {

/// The servers that a dispatch may be sent to now; all run one version if a rule distinguishes the
/// service's versions, or if the dispatch goes on with a stream. Invalidated by the next change of
/// the pool, so it must not be held across a `co_await`.
struct AllowedServers {
  const routing::CandidateSet& set() const {
    if (ofVersion) {
      return *ofVersion;
    }
    return canary ? *canary : *pooled;
  }

  service_rollout::Track track = service_rollout::Track::kStable;
  /// Rollout order in progress; 0 if there is none.
  service_rollout::OrderKey order;
  /// Whether the canary budget was asked for this request.
  bool canaryBudgetAsked = false;
  const routing::CandidateSet* pooled = nullptr;
  /// The subset of the candidate version's servers that receives canary requests; set only if this
  /// request is one.
  std::optional<routing::CandidateSet> canary;
  /// The servers of the version that began the stream; set only if the dispatch goes on with one.
  std::optional<routing::CandidateSet> ofVersion;
};

/// Describes a dispatch that needs a server.
struct ServerQuery {
  const std::string& service;
  const ModelId& model;
  service_rollout::RouteKey route;
  /// Servers that the request has already been sent to.
  const std::vector<BackendId>& tried;
  /// Whether the request may be a canary request; true only for its first dispatch.
  bool mayBeCanary = false;
  /// Version that began the stream that the dispatch goes on with; empty if it begins anew.
  const std::optional<SoftwareVersion>& streamVersion;
};

/// Fetches the service's traffic rule and updates the pool's candidate sets to it first, so that no
/// choice uses an outdated rule. The canary budget is asked only if the query may be a canary
/// request and the candidate version has servers. While the rule limits the candidate version to
/// canary requests, all other requests go to the stable version, even if it has no server left. A
/// stream goes on at the version that began it only: at none if the rule allows it no requests.
AllowedServers allowedServers(const RolloutHooks& hooks, fleet::ServerPool& pool,
                              const ServerQuery& query, MonotonicTime now);

/// Whether the set contains a server that the request has not been sent to.
bool containsUntried(const routing::CandidateSet& set, const std::vector<BackendId>& tried);

}  // namespace calicodrift::forward
