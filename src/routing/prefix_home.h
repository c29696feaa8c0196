#pragma once

#include "routing/policy.h"

namespace calicodrift::routing {

/// Sends all requests that share a prompt's common prefix to one back end, its home: the first in
/// order of affinity to the last block that other requests may share. All routers agree on it
/// without communication. A common prefix that is prefilled in less time than the round trip
/// between regions takes has a home in each region: the first in the order there. Other back ends
/// compete by cost, including the round trip. A request leaves the home if that is busier than the
/// next back ends in the order by more than it costs to move the common prefix there, or if its
/// prompt would pause the streams that run on the home for longer than allowed; the home is then
/// returned as the holder from which to fetch the prefix.
class PrefixHome : public Policy {
 public:
  static constexpr std::string_view kName = "PrefixHome";
  std::string_view name() const override { return kName; }
  Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                MonotonicTime now) override;
};

}  // namespace calicodrift::routing
