#pragma once

#include <vector>

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::fleet {

/// A weights version that was named, and the age of that naming as known to one node.
struct WeightsNaming {
  WeightsVersion weights;
  Milliseconds age{0};
};

/// One node's knowledge of the weights versions named for a model. Nodes exchange it because the
/// store holds only the newest version and not when it was named.
struct NamedWeights {
  ModelId model;
  /// Requests must no longer be sent to versions below this one.
  WeightsVersion floor;
  /// The sender knows all namings of versions above this one.
  WeightsVersion coveredFrom;
  /// Those namings in ascending order of version; may also include that of `coveredFrom`.
  std::vector<WeightsNaming> namings;
};

}  // namespace calicodrift::fleet
