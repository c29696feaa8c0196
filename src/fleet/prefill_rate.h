#pragma once

#include <algorithm>
#include <cstddef>

namespace calicodrift::fleet {

/// How many prompt tokens a model server prefills in a millisecond, as learnt from its first
/// tokens: what was waiting there when a request was sent, over the time until its first token
/// came. Starts from a first guess; single samples move it by a little and within bounds, as a
/// cache that was taken for kept, or one for lost, makes a sample wrong by several times.
class PrefillRate {
 public:
  explicit PrefillRate(double firstGuess) : firstGuess_(firstGuess), tokensPerMs_(firstGuess) {}

  /// @param tokens waiting at the server with the request's own.
  void observe(std::size_t tokens, double milliseconds) {
    if (tokens < kLeastTokens || milliseconds <= 0) {
      return;
    }
    const double seen = static_cast<double>(tokens) / milliseconds;
    const double bounded = std::clamp(seen, firstGuess_ / kFarthest, firstGuess_ * kFarthest);
    tokensPerMs_ += (bounded - tokensPerMs_) * kLatestShare;
  }
  double tokensPerMs() const { return tokensPerMs_; }

  /// Shorter prompts wait for the steps of other requests more than for their own prefill.
  static constexpr std::size_t kLeastTokens = 2000;

 private:
  static constexpr double kLatestShare = 0.05;
  static constexpr double kFarthest = 10;

  double firstGuess_;
  double tokensPerMs_;
};

}  // namespace calicodrift::fleet
