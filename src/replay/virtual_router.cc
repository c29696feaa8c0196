#include "replay/virtual_router.h"

#include <algorithm>

#include "routing/cost.h"

namespace calicodrift::replay {
namespace {

std::size_t tokensOf(const routing::RouteRequest& request) {
  return request.promptTokens + request.outputTokens;
}

}  // namespace

VirtualRouter::VirtualRouter(std::string_view policy, std::uint64_t seed, std::size_t zone)
    : zone_(zone), policy_(routing::makePolicy(policy, seed)) {}

std::optional<routing::Candidate> VirtualRouter::dispatch(const routing::RouteRequest& request,
                                                          MonotonicTime now) {
  if (candidates_.empty()) {
    return std::nullopt;
  }
  const routing::Choice choice = policy_->choose(request, candidates_, now);
  routing::Candidate chosen = candidates_[choice.index];
  policy_->onDispatched(request, chosen, now);
  ++chosen.outstanding;
  chosen.outstandingTokens += tokensOf(request);
  chosen.sentPrefillTokens += routing::uncachedTokens(request, choice.expectedCachedBlocks);
  candidates_.put(chosen);
  return chosen;
}

void VirtualRouter::attemptEnded(const routing::RouteRequest& request, const BackendId& engine) {
  const auto position = candidates_.find(engine);
  if (!position || candidates_[*position].outstanding == 0) {
    return;
  }
  routing::Candidate changed = candidates_[*position];
  --changed.outstanding;
  changed.outstandingTokens -= std::min(changed.outstandingTokens, tokensOf(request));
  candidates_.put(std::move(changed));
}

void VirtualRouter::completed(const routing::RouteRequest& request,
                              const routing::Candidate& engine, std::size_t cachedTokens,
                              MonotonicTime now) {
  attemptEnded(request, engine.id);
  policy_->onCompleted(request, engine, cachedTokens, now);
}

void VirtualRouter::engineLost(const BackendId& engine) {
  candidates_.erase(engine);
  policy_->onBackendLost(engine);
}

void VirtualRouter::applyReport(const BackendId& engine, const LoadReport& report) {
  const auto position = candidates_.find(engine);
  if (!report.alive) {
    if (position) {
      engineLost(engine);
    }
    return;
  }
  routing::Candidate candidate;
  if (position) {
    candidate = candidates_[*position];
    if (candidate.incarnation != report.incarnation) {
      policy_->onBackendLost(engine);
    }
  }
  candidate.id = engine;
  candidate.incarnation = report.incarnation;
  candidate.reportedRequests = report.requests;
  candidate.reportedPrefillTokens = report.prefillTokens;
  candidate.sentPrefillTokens = 0;
  candidates_.put(std::move(candidate));
}

void VirtualRouter::applyCacheEvents(const routing::CacheEventBatch& batch, MonotonicTime now) {
  policy_->onCacheEvents(batch, now);
}

}  // namespace calicodrift::replay
