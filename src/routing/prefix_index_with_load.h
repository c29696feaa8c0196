#pragma once

#include "routing/cache_estimates.h"
#include "routing/policy.h"

namespace calicodrift::routing {

/// Compares the engines that are believed to hold a prefix of the prompt, and a few others, by the
/// estimated time to first token: the queueing delay plus the prefill of uncached tokens. Cache
/// entries expire and belong to one incarnation.
class PrefixIndexWithLoad : public Policy {
 public:
  static constexpr std::string_view kName = "PrefixIndexWithLoad";
  explicit PrefixIndexWithLoad(std::uint64_t seed);
  std::string_view name() const override { return kName; }
  Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                MonotonicTime now) override;
  void onDispatched(const RouteRequest& request, const Candidate& backend,
                    MonotonicTime now) override;
  void onCompleted(const RouteRequest& request, const Candidate& backend, std::size_t cachedTokens,
                   MonotonicTime now) override;
  void onCacheEvents(const CacheEventBatch& batch, MonotonicTime now) override;
  void onBackendLost(const BackendId& backend) override;

 private:
  Random random_;
  CacheEstimates cacheEstimates_;
};

}  // namespace calicodrift::routing
