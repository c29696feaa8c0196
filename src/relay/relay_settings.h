#pragma once

#include <cstddef>
#include <string>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/ids.h"

namespace calicodrift::relay {

struct RelaySettings {
  NodeId node;
  ZoneId zone;
  /// Nodes of one group share relays.
  std::string group;
  /// Where followers reach this node; without a port it reads the store itself and serves nobody.
  Endpoint endpoint;
  /// Nodes that one relay serves.
  std::size_t maxFollowers = 16;
  /// Relays of a group, so that one that is lost need not be replaced before its followers go on.
  std::size_t leastRelays = 2;
  /// A relay whose own proof is older serves nobody, so that its followers go elsewhere.
  Milliseconds proofAge{1300};
  /// A follower that has not asked for so long no longer counts.
  Milliseconds followerTerm{3000};
  /// A relay that failed is not tried again for so long.
  Milliseconds failureTerm{5000};
  /// Longest random delay before a node that finds no relay becomes one, so that one of many does.
  Milliseconds claimDelay{400};
  /// Between two looks at the list of relays.
  Milliseconds reviewInterval{10'000};
  /// Time beyond a watch's wait after which a relay counts as silent.
  Milliseconds callTimeout{400};
};

}  // namespace calicodrift::relay
