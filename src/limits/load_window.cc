#include "limits/load_window.h"

#include <algorithm>

namespace calicodrift::limits {
namespace {

constexpr std::size_t kRoundSamples = 8;
constexpr Milliseconds kShortestRound{250};
constexpr double kCut = 0.92;
constexpr double kMostLatePart = 0.5;
constexpr double kGrowth = 1.03;

double cutFactor(double latePart) {
  // All late halves the window.
  return latePart > kMostLatePart ? 1 - latePart / 2 : kCut;
}

}  // namespace

bool LoadWindow::onSample(bool late, MonotonicTime dispatched, double outstanding,
                          std::size_t engines, MonotonicTime now) {
  if (dispatched < shrank_) {
    // Sent under a window that was found too large already.
    return false;
  }
  ++samples_;
  peak_ = std::max(peak_, outstanding);
  lateSamples_ += late ? 1 : 0;
  if (samples_ < kRoundSamples || now - roundBegan_ < kShortestRound) {
    return false;
  }
  return endRound(engines, now);
}

bool LoadWindow::endRound(std::size_t engines, MonotonicTime now) {
  const double latePart = static_cast<double>(lateSamples_) / static_cast<double>(samples_);
  const bool cut = latePart > kLatePart;
  if (cut) {
    shrank_ = now;
    // Where most were late, what was outstanding was too much, however wide the window is. Where
    // some were, the load may just be low, and the window must not follow it down.
    const bool most = latePart > kMostLatePart;
    const double used = peak_ / static_cast<double>(std::max<std::size_t>(engines, 1));
    const double tooMuch = most ? used : std::max(used, perEngine_ / 2);
    perEngine_ = std::min(perEngine_, tooMuch) * cutFactor(latePart);
    perEngine_ = std::max(perEngine_, kLeastTokensPerEngine);
  } else if (pressed_) {
    perEngine_ *= kGrowth;
  }
  pressed_ = false;
  samples_ = 0;
  lateSamples_ = 0;
  peak_ = 0;
  roundBegan_ = now;
  return cut;
}

}  // namespace calicodrift::limits
