#pragma once

#include "routing/policy.h"

namespace calicodrift::routing {

/// Ranks the back ends by a rendezvous hash of the prompt's first blocks and chooses the first one
/// whose load is within kLoadFactor of the mean. Needs no index: every router computes the same
/// ranking.
class PrefixHashBoundedLoad : public Policy {
 public:
  static constexpr std::string_view kName = "PrefixHashBoundedLoad";
  std::string_view name() const override { return kName; }
  Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                MonotonicTime now) override;

 private:
  /// Number of blocks that determine the affinity; prompts that differ only in later blocks stay
  /// together.
  static constexpr std::size_t kAffinityBlocks = 4;
  static constexpr double kLoadFactor = 1.25;
  /// Number of ranked candidates that a decision examines in a large set.
  static constexpr std::size_t kExaminedPositions = 16;
};

}  // namespace calicodrift::routing
