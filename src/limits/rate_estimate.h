#pragma once

#include <cstddef>

#include "common/clock.h"

namespace calicodrift::limits {

/// Units a second over the recent past: an exponentially weighted average whose weight falls to
/// 1/e within `window`.
class RateEstimate {
 public:
  explicit RateEstimate(Milliseconds window) : window_(window) {}

  void add(double units, MonotonicTime now);
  double perSecond(MonotonicTime now) const;

 private:
  Milliseconds window_;
  double rate_ = 0;
  MonotonicTime updated_{};
};

/// An exponentially weighted average of samples; each new sample counts `weight`.
class SampleAverage {
 public:
  explicit SampleAverage(double weight) : weight_(weight) {}

  void add(double sample, MonotonicTime now) {
    value_ = samples_ == 0 ? sample : value_ + weight_ * (sample - value_);
    ++samples_;
    updated_ = now;
  }
  double value() const { return value_; }
  /// Whether a sample came within `age` before `now`.
  bool freshAt(MonotonicTime now, Milliseconds age) const {
    return samples_ > 0 && now - updated_ <= age;
  }

 private:
  double weight_;
  double value_ = 0;
  std::size_t samples_ = 0;
  MonotonicTime updated_{};
};

}  // namespace calicodrift::limits
