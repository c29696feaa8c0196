#pragma once

#include <vector>

namespace calicodrift::bench {

/// y = intercept + slope * x by least squares.
struct LinearFit {
  double intercept = 0;
  double slope = 0;
  /// Share of the variance of y that the line explains; 1 where y doesn't vary.
  double rSquared = 1;

  double at(double x) const { return intercept + slope * x; }
};

/// Needs as many `xs` as `ys`, and two different xs for a slope other than 0.
LinearFit fitLine(const std::vector<double>& xs, const std::vector<double>& ys);

}  // namespace calicodrift::bench
