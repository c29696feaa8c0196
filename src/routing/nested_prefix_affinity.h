#pragma once

#include "routing/cache_estimates.h"
#include "routing/policy.h"
#include "routing/prefix_heat.h"

namespace calicodrift::routing {

/// Assigns a home to every prefix: the first engines in order of affinity to the prefix, as many as
/// its measured share of the load requires. Along the prompt, each longer and less requested prefix
/// narrows the home within the home of the shorter prefix, until one engine is left. A hot prefix
/// therefore spreads over several engines and returns to one when it cools, and all routers agree
/// without communication because they measure the same shares.
///
/// The home is preferred but not required: its estimated time to first token is compared with
/// engines that are believed to hold more of the prompt, with the next engines in order of
/// affinity, and with a few random ones. Choosing an engine outside the home costs extra, because
/// it creates a second copy.
class NestedPrefixAffinity : public Policy {
 public:
  static constexpr std::string_view kName = "NestedPrefixAffinity";
  explicit NestedPrefixAffinity(std::uint64_t seed);
  std::string_view name() const override { return kName; }
  Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                MonotonicTime now) override;
  void onDispatched(const RouteRequest& request, const Candidate& backend,
                    MonotonicTime now) override;
  void onCompleted(const RouteRequest& request, const Candidate& backend, std::size_t cachedTokens,
                   MonotonicTime now) override;
  void onCacheEvents(const CacheEventBatch& batch, MonotonicTime now) override;
  void onBackendLost(const BackendId& backend) override;

  /// The engines that share the load of the prompt's hottest prefixes, best first, followed by
  /// those that take over when all of these are busy.
  struct Home {
    std::vector<std::size_t> positions;
    /// Number of leading positions that form the home.
    std::size_t width = 1;
  };
  /// Also counts the request for the measured heat.
  Home homeOf(const RouteRequest& request, const CandidateSet& candidates, MonotonicTime now);

 private:
  /// Combined information about all holders of a prompt.
  struct HolderSummary {
    /// Whether other routers' dispatches are known, from cache events, or there are no other
    /// routers.
    bool seesAllDispatches = false;
    /// Length of the longest prefix that any engine is believed to hold.
    std::size_t mostCachedBlocks = 0;
    /// Mean over all candidates.
    double meanQueueMs = 0;
  };
  HolderSummary summarizeHolders(const RouteRequest& request,
                                 const std::vector<PrefixHolder>& holders, MonotonicTime now) const;
  /// Cost to the fleet of another copy of blocks that are cached elsewhere, in milliseconds.
  static double copyMs(const RouteRequest& request, const Candidate& candidate, std::size_t cached,
                       const HolderSummary& summary, bool atHome);
  /// Number of engines that the prefix's share of the load requires.
  std::size_t widthOf(BlockHash prefix, std::size_t engines, MonotonicTime now) const;

  Random random_;
  CacheEstimates cacheEstimates_;
  PrefixHeat heat_;
  std::optional<MonotonicTime> lastEvents_;
};

}  // namespace calicodrift::routing
