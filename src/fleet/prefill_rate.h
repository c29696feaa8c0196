#pragma once

#include <algorithm>
#include <cstddef>

namespace calicodrift::fleet {

/// Estimates how many prompt tokens a model server prefills per millisecond. A sample is the number
/// of tokens queued there when a request was sent, divided by the time until its first token
/// arrived. Starts from an initial rate and moves by exponential smoothing within bounds, since a
/// cache entry wrongly assumed to be kept, or to be lost, distorts a sample by several times.
class PrefillRate {
 public:
  explicit PrefillRate(double initialRate) : initialRate_(initialRate), tokensPerMs_(initialRate) {}

  /// @param tokens queued at the server, including those of the request itself.
  void observe(std::size_t tokens, double milliseconds) {
    if (tokens < kMinTokens || milliseconds <= 0) {
      return;
    }
    const double measured = static_cast<double>(tokens) / milliseconds;
    const double bounded =
        std::clamp(measured, initialRate_ / kMaxDeviation, initialRate_ * kMaxDeviation);
    tokensPerMs_ += (bounded - tokensPerMs_) * kSmoothing;
  }
  double tokensPerMs() const { return tokensPerMs_; }

  /// Shorter prompts wait longer for the steps of other requests than for their own prefill.
  static constexpr std::size_t kMinTokens = 2000;

 private:
  /// Weight of the newest sample.
  static constexpr double kSmoothing = 0.05;
  /// Samples are clamped to the initial rate divided, or multiplied, by this factor.
  static constexpr double kMaxDeviation = 10;

  double initialRate_;
  double tokensPerMs_;
};

}  // namespace calicodrift::fleet
