#include "routing/round_robin.h"

namespace calicodrift::routing {

Choice RoundRobin::choose(const RouteRequest& /*request*/, const Candidates& candidates,
                          MonotonicTime /*now*/) {
  const std::size_t index = next_ % candidates.size();
  ++next_;
  return {index, 0, "next in turn"};
}

}  // namespace calicodrift::routing
