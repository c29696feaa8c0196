#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "sim/engine_model.h"

namespace calicodrift::replay {

/// A site as the replay models it. All engines serve every model of the trace.
struct Deployment {
  std::string name;
  std::size_t engines = 0;
  std::size_t zones = 1;
  /// One way.
  Microseconds withinZone{200};
  Microseconds betweenZones{1000};
  sim::EngineModelSettings engine;

  Microseconds latency(std::size_t fromZone, std::size_t toZone) const {
    return fromZone == toZone ? withinZone : betweenZones;
  }
};

/// "tatra" (18 engines in 3 halls) or "trinacria" (12 engines in 3 zones).
std::optional<Deployment> findDeployment(std::string_view name);

}  // namespace calicodrift::replay
