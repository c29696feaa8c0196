#include "bench/linear_fit.h"

#include <cstddef>
#include <numeric>

namespace calicodrift::bench {

LinearFit fitLine(const std::vector<double>& xs, const std::vector<double>& ys) {
  LinearFit fit;
  if (xs.empty()) {
    return fit;
  }
  const auto count = static_cast<double>(xs.size());
  const double meanX = std::accumulate(xs.begin(), xs.end(), 0.0) / count;
  const double meanY = std::accumulate(ys.begin(), ys.end(), 0.0) / count;
  double varianceX = 0;
  double varianceY = 0;
  double covariance = 0;
  for (std::size_t index = 0; index < xs.size(); ++index) {
    const double dx = xs[index] - meanX;
    const double dy = ys[index] - meanY;
    varianceX += dx * dx;
    varianceY += dy * dy;
    covariance += dx * dy;
  }
  fit.slope = varianceX > 0 ? covariance / varianceX : 0;
  fit.intercept = meanY - fit.slope * meanX;
  if (varianceX > 0 && varianceY > 0) {
    fit.rSquared = covariance * covariance / (varianceX * varianceY);
  }
  return fit;
}

}  // namespace calicodrift::bench
