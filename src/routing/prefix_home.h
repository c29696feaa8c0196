#pragma once

#include "routing/policy.h"

namespace calicodrift::routing {

/// Sends all requests that share a prompt's common part to one back end, its home: the first in the
/// order of affinity to the last block that others may share. All routers agree on it without a
/// message. A common part that is read in less time than the way between regions takes has a home
/// in each region: the first in the order there. Others compete by cost, with the way. A request
/// leaves a home that is busier than the next ones in the order by more than it costs to move the
/// common part there, or where its prompt would make the streams that run there pause for longer
/// than they may; the home is then named as the holder to move it from.
class PrefixHome : public Policy {
 public:
  static constexpr std::string_view kName = "PrefixHome";
  std::string_view name() const override { return kName; }
  Choice choose(const RouteRequest& request, const CandidateSet& candidates,
                MonotonicTime now) override;
};

}  // namespace calicodrift::routing
