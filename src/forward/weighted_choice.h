#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "routes/route_table.h"

namespace calicodrift::forward {

/// Divides a route's requests over its services by weight, with smooth weighted round robin, so
/// that each share is also accurate over short sequences, and from the first request on under which
/// weights are in force. A service of weight 0 is never chosen, unless all are.
class WeightedChoice {
 public:
  const std::string& choose(const routes::Route& route);

 private:
  struct Turns {
    /// The weights that they belong to.
    std::vector<routes::WeightedService> services;
    /// What each service is ahead of its share, negative, or behind it, in parts of their sum.
    std::map<std::string, std::int64_t> balances;
  };

  static void applyWeights(Turns& turns, const std::vector<routes::WeightedService>& services);

  /// By the route's name.
  std::map<std::string, Turns> turns_;
};

}  // namespace calicodrift::forward
