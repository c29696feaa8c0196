#include "forward/allowed_servers.h"

#include <algorithm>

namespace calicodrift::forward {
namespace {

using service_rollout::CandidateUse;
using service_rollout::Track;
using service_rollout::TrafficRule;

bool mayBeCanary(const RolloutHooks& hooks, fleet::ServerPool& pool, const ServerQuery& query,
                 const TrafficRule& rule, MonotonicTime now) {
  return rule.use == CandidateUse::kCanary && query.mayBeCanary && hooks.takeCanary &&
         !pool.candidates(query.service, query.model, now, Track::kCandidate).empty();
}

}  // namespace

AllowedServers allowedServers(const RolloutHooks& hooks, fleet::ServerPool& pool,
                              const ServerQuery& query, MonotonicTime now) {
  AllowedServers allowed;
  TrafficRule rule;
  if (hooks.rule) {
    rule = hooks.rule(query.service);
    pool.setVersions(query.service, rule.stable, rule.candidate, now);
    allowed.order = rule.order;
  }
  if (query.streamVersion) {
    const SoftwareVersion& version = *query.streamVersion;
    const bool isCandidate = !rule.stable.value().empty() && version == rule.candidate;
    allowed.track = isCandidate ? Track::kCandidate : Track::kStable;
    const bool excluded = isCandidate && rule.use == CandidateUse::kNothing;
    allowed.ofVersion = excluded
                            ? routing::CandidateSet()
                            : pool.candidatesOfVersion(query.service, query.model, version, now);
    return allowed;
  }
  allowed.pooled = &pool.candidates(query.service, query.model, now);
  allowed.canaryBudgetAsked = mayBeCanary(hooks, pool, query, rule, now);
  if (allowed.canaryBudgetAsked && hooks.takeCanary(rule.order, query.route)) {
    routing::CandidateSet canaryServers =
        pool.canary(query.service, query.model, hooks.canaryServerShare, now);
    if (!canaryServers.empty()) {
      allowed.track = Track::kCandidate;
      allowed.canary = std::move(canaryServers);
    }
  }
  if (rule.use == CandidateUse::kEverything) {
    const routing::CandidateSet& candidate =
        pool.candidates(query.service, query.model, now, Track::kCandidate);
    const bool stableHasUntried = containsUntried(*allowed.pooled, query.tried);
    if (!candidate.empty() && (containsUntried(candidate, query.tried) || !stableHasUntried)) {
      allowed.track = Track::kCandidate;
      allowed.pooled = &candidate;
    }
  }
  return allowed;
}

bool containsUntried(const routing::CandidateSet& set, const std::vector<BackendId>& tried) {
  for (std::size_t position = 0; position < set.size(); ++position) {
    if (std::find(tried.begin(), tried.end(), set[position].id) == tried.end()) {
      return true;
    }
  }
  return false;
}

}  // namespace calicodrift::forward
