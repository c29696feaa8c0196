#include "replay/deployment.h"

#include "replay/trace.h"

namespace calicodrift::replay {

std::optional<Deployment> findDeployment(std::string_view name) {
  constexpr std::size_t kCacheBlocks = 1024;
  Deployment deployment;
  deployment.name = std::string(name);
  deployment.zones = 3;
  deployment.engine.cacheBlocks = kCacheBlocks;
  deployment.engine.blockTokens = kTraceBlockTokens;
  if (name == "tatra") {
    deployment.engines = 18;
    deployment.betweenZones = Microseconds(1500);
    return deployment;
  }
  if (name == "trinacria") {
    deployment.engines = 12;
    deployment.betweenZones = Microseconds(1000);
    return deployment;
  }
  return std::nullopt;
}

}  // namespace calicodrift::replay
