#pragma once

#include "routing/policy.h"

namespace calicodrift::routing {

/// Chooses the back end with the fewest outstanding tokens of this router and, among equals, the
/// fewest reported requests; ties are broken at random so that routers don't choose in lockstep.
/// From a large set it compares a random sample (the power of a few choices). Only back ends of the
/// router's own region are compared while the wait there is shorter than the network round trip to
/// others.
class LeastOutstanding : public Policy {
 public:
  static constexpr std::string_view kName = "LeastOutstanding";
  explicit LeastOutstanding(std::uint64_t seed) : random_(seed) {}
  std::string_view name() const override { return kName; }
  Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                MonotonicTime now) override;

 private:
  Random random_;
};

}  // namespace calicodrift::routing
