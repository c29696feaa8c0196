#include "limits/water_fill.h"

#include <algorithm>
#include <limits>

namespace calicodrift::limits {

double fairLevel(std::vector<Demand> demands, double capacity) {
  std::sort(demands.begin(), demands.end(), [](const Demand& first, const Demand& second) {
    return first.amount * second.weight < second.amount * first.weight;
  });
  double weightLeft = 0;
  for (const Demand& demand : demands) {
    weightLeft += demand.weight;
  }
  double capacityLeft = capacity;
  for (const Demand& demand : demands) {
    const double level = capacityLeft / weightLeft;
    if (demand.amount > level * demand.weight) {
      return level;
    }
    capacityLeft -= demand.amount;
    weightLeft -= demand.weight;
  }
  return std::numeric_limits<double>::infinity();
}

}  // namespace calicodrift::limits
