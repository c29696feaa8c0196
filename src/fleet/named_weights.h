#pragma once

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::fleet {

/// Weights that were named for a model, and how long ago that was as one node heard it. Nodes tell
/// each other, as the store does not say when an object was written.
struct NamedWeights {
  ModelId model;
  WeightsVersion weights;
  Milliseconds age{0};
};

}  // namespace calicodrift::fleet
