#pragma once

#include <cmath>
#include <cstdint>

namespace calicodrift {

/// Count, mean and variance of a stream of values in constant memory (Welford's method). Two of
/// them merge into that of both streams.
struct RunningStatistics {
  std::uint64_t count = 0;
  double mean = 0;
  /// Sum of the squared differences from the mean.
  double squares = 0;

  void add(double value) {
    ++count;
    const double before = value - mean;
    mean += before / static_cast<double>(count);
    squares += before * (value - mean);
  }

  void merge(const RunningStatistics& other) {
    if (other.count == 0) {
      return;
    }
    const auto mine = static_cast<double>(count);
    const auto theirs = static_cast<double>(other.count);
    const double difference = other.mean - mean;
    mean += difference * theirs / (mine + theirs);
    squares += other.squares + difference * difference * mine * theirs / (mine + theirs);
    count += other.count;
  }

  /// Half of the width of the 95% confidence interval of the mean, by the normal approximation; 0
  /// for fewer than two values.
  double confidence95() const {
    constexpr double kNormalQuantile = 1.96;
    if (count < 2) {
      return 0;
    }
    const auto values = static_cast<double>(count);
    return kNormalQuantile * std::sqrt(squares / (values - 1) / values);
  }
};

}  // namespace calicodrift
