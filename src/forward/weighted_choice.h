#pragma once

#include <map>
#include <string>

#include "routes/route_table.h"

namespace calicodrift::forward {

/// Divides a route's requests over its services by their weights: smooth weighted round robin, so
/// that each service's share is right over short spans too.
class WeightedChoice {
 public:
  const std::string& choose(const routes::Route& route);

 private:
  /// What each service of a route is owed, by the route's name.
  std::map<std::string, std::map<std::string, std::int64_t>> owed_;
};

}  // namespace calicodrift::forward
