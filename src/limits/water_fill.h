#pragma once

#include <vector>

namespace calicodrift::limits {

/// One party that wants a part of a capacity.
struct Demand {
  double amount = 0;
  double weight = 1;
};

/// Weighted max-min fair division: the level L at which the sum of min(amount, L x weight) is
/// `capacity`. Infinite where the capacity covers every demand.
double fairLevel(std::vector<Demand> demands, double capacity);

}  // namespace calicodrift::limits
