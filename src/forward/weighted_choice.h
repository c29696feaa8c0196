#pragma once

#include <map>
#include <string>

#include "routes/route_table.h"

namespace calicodrift::forward {

/// Divides a route's requests over its services by weight, with smooth weighted round robin, so
/// that each share is also accurate over short sequences.
class WeightedChoice {
 public:
  const std::string& choose(const routes::Route& route);

 private:
  /// Current weight of each service, by the route's name.
  std::map<std::string, std::map<std::string, std::int64_t>> currentWeights_;
};

}  // namespace calicodrift::forward
