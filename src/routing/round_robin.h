#pragma once

#include "routing/policy.h"

namespace calicodrift::routing {

/// Chooses the back ends in turn, regardless of load or cache. Serves as the baseline.
class RoundRobin : public Policy {
 public:
  static constexpr std::string_view kName = "RoundRobin";
  std::string_view name() const override { return kName; }
  Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                MonotonicTime now) override;

 private:
  std::size_t next_ = 0;
};

}  // namespace calicodrift::routing
