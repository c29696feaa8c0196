#include "routing/nested_prefix_affinity.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "routing/cost.h"

namespace calicodrift::routing {
namespace {

constexpr std::size_t kHeatPrefixes = 8192;
constexpr Milliseconds kHeatHalfLife{60'000};
/// Headroom above the measured share, so that the engines of a home are not permanently full.
constexpr double kHeadroom = 1.5;
/// Homes wider than this are not narrowed yet: their prefix is on most engines anyway.
constexpr std::size_t kMaxHomeWidth = 2;
/// Number of engines after the home that may take over requests.
constexpr std::size_t kOverflowEngines = 2;
/// After this time without cache events, the cache estimates cover only what this router sent
/// itself.
constexpr Milliseconds kEventTimeout{10'000};
/// Cost to the fleet of a second copy of a prefix, relative to its prefill; higher if it is only
/// assumed that another engine holds the first copy, because the router then can't find the second
/// one again.
constexpr double kCopyCost = 0.5;
constexpr double kUnobservedCopyCost = 1.0;
/// Mean queue at which the cost of a copy has increased by its whole prefill.
constexpr double kCongestedQueueMs = 500;

/// Prefixes whose heat is measured: one every few blocks, because most consecutive blocks belong to
/// one text.
std::vector<BlockHash> measuredPrefixes(const RouteRequest& request) {
  constexpr std::size_t kMeasuredInterval = 4;
  std::vector<BlockHash> prefixes;
  for (std::size_t block = kMeasuredInterval; block <= request.blocks.size();
       block += kMeasuredInterval) {
    prefixes.push_back(request.blocks[block - 1]);
  }
  if (prefixes.empty() && !request.blocks.empty()) {
    prefixes.push_back(request.blocks.back());
  }
  return prefixes;
}

std::uint64_t keyOf(const RouteRequest& request) {
  return request.blocks.empty() ? hashBytes(request.tenant.value()) : request.blocks.back().value();
}

}  // namespace

NestedPrefixAffinity::NestedPrefixAffinity(std::uint64_t seed)
    : random_(seed),
      cacheEstimates_(kMaxCacheEntries, kCacheEntryTtl),
      heat_(kHeatPrefixes, kHeatHalfLife) {}

Choice NestedPrefixAffinity::choose(const RouteRequest& request, const CandidateSet& candidates,
                                    MonotonicTime now) {
  const Home home = homeOf(request, candidates, now);
  const std::vector<PrefixHolder> holders = cacheEstimates_.holders(request, candidates, now);
  std::vector<std::size_t> positions = home.positions;
  for (const PrefixHolder& holder : holders) {
    positions.push_back(holder.position);
  }
  constexpr std::size_t kRandomCandidates = 2;
  std::uniform_int_distribution<std::size_t> any(0, candidates.size() - 1);
  for (std::size_t sample = 0; sample < kRandomCandidates; ++sample) {
    positions.push_back(any(random_));
  }
  HolderSummary summary = summarizeHolders(request, holders, now);
  summary.meanQueueMs = meanQueueMs(candidates);
  const auto homeEnd = home.positions.begin() + static_cast<std::ptrdiff_t>(home.width);
  Choice best;
  double bestMs = std::numeric_limits<double>::infinity();
  for (const std::size_t position : withoutAvoided(request, candidates, std::move(positions))) {
    const bool atHome = std::find(home.positions.begin(), homeEnd, position) != homeEnd;
    const std::size_t believed = cachedBlocksAt(holders, position);
    const std::size_t cached =
        atHome && !summary.seesAllDispatches ? summary.mostCachedBlocks : believed;
    const Candidate& candidate = candidates[position];
    const double ms = queueDelayMs(candidate) + prefillMs(request, candidate, cached) +
                      copyMs(request, candidate, cached, summary, atHome);
    if (ms < bestMs) {
      bestMs = ms;
      best = {position, cached,
              believed > 0 ? "prefix believed cached"
              : atHome     ? "home of the prefix"
                           : "home of the prefix is busy"};
    }
  }
  return best;
}

NestedPrefixAffinity::HolderSummary NestedPrefixAffinity::summarizeHolders(
    const RouteRequest& request, const std::vector<PrefixHolder>& holders,
    MonotonicTime now) const {
  HolderSummary summary;
  const bool eventsArrive = lastEvents_ && now - *lastEvents_ < kEventTimeout;
  summary.seesAllDispatches = request.decidedOnlyByThisRouter || eventsArrive;
  for (const PrefixHolder& holder : holders) {
    summary.mostCachedBlocks = std::max(summary.mostCachedBlocks, holder.cachedBlocks);
  }
  return summary;
}

double NestedPrefixAffinity::copyMs(const RouteRequest& request, const Candidate& candidate,
                                    std::size_t cached, const HolderSummary& summary, bool atHome) {
  // If all engines have queues, recomputing a prefix here delays all later requests.
  const double congestion = summary.meanQueueMs / kCongestedQueueMs;
  if (!summary.seesAllDispatches && !atHome) {
    // Other routers may have sent the prefix to its home.
    return (kUnobservedCopyCost + congestion) * prefillMs(request, candidate, cached);
  }
  if (cached >= summary.mostCachedBlocks) {
    return 0;
  }
  return (kCopyCost + congestion) * (prefillMs(request, candidate, cached) -
                                     prefillMs(request, candidate, summary.mostCachedBlocks));
}

NestedPrefixAffinity::Home NestedPrefixAffinity::homeOf(const RouteRequest& request,
                                                        const CandidateSet& candidates,
                                                        MonotonicTime now) {
  const std::size_t maxWidth = std::min(kMaxHomeWidth, candidates.size());
  // Compensates for the candidates that already failed, which are removed later.
  const std::size_t overflowEngines = kOverflowEngines + request.avoided.size();
  Home home;
  bool narrowed = false;
  heat_.countTotal(1, now);
  for (const BlockHash prefix : measuredPrefixes(request)) {
    heat_.count(prefix, 1, now);
    const std::size_t width = widthOf(prefix, candidates.size(), now);
    if (width > maxWidth) {
      continue;
    }
    if (!narrowed) {
      home.positions = candidates.inAffinityOrder(prefix.value(), width + overflowEngines);
    } else if (width < home.width) {
      candidates.sortByAffinity(home.positions, home.width, prefix.value());
    }
    if (!narrowed || width < home.width) {
      home.width = std::min(width, home.positions.size());
    }
    narrowed = true;
    if (width <= 1) {
      // Longer prefixes can't be hotter.
      return home;
    }
  }
  if (!narrowed) {
    home.positions = candidates.inAffinityOrder(keyOf(request), maxWidth + request.avoided.size());
    home.width = home.positions.size();
  }
  return home;
}

std::size_t NestedPrefixAffinity::widthOf(BlockHash prefix, std::size_t engines,
                                          MonotonicTime now) const {
  const double needed = heat_.shareOf(prefix, now) * static_cast<double>(engines) * kHeadroom;
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(needed)));
}

void NestedPrefixAffinity::onDispatched(const RouteRequest& request, const Candidate& backend,
                                        MonotonicTime now) {
  cacheEstimates_.recordCached(request, backend, now);
}

void NestedPrefixAffinity::onCompleted(const RouteRequest& request, const Candidate& backend,
                                       std::size_t /*cachedTokens*/, MonotonicTime now) {
  cacheEstimates_.recordCached(request, backend, now);
}

void NestedPrefixAffinity::onCacheEvents(const CacheEventBatch& batch, MonotonicTime now) {
  lastEvents_ = now;
  cacheEstimates_.applyEvents(batch, now);
}

void NestedPrefixAffinity::onBackendLost(const BackendId& backend) {
  cacheEstimates_.forget(backend);
}

}  // namespace calicodrift::routing
