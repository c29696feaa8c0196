#include "replay/measures.h"

#include <algorithm>
#include <cmath>

namespace calicodrift::replay {

double LatencySample::percentile(double percent) const {
  if (values_.empty()) {
    return 0;
  }
  constexpr double kWhole = 100;
  std::vector<double> sorted = values_;
  const double rank = std::ceil(percent / kWhole * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::ptrdiff_t>(std::max(rank, 1.0)) - 1;
  std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
  return sorted[static_cast<std::size_t>(index)];
}

double Measures::prefixHitRate() const {
  return promptTokens == 0 ? 0
                           : static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
}

}  // namespace calicodrift::replay
