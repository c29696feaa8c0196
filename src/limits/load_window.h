#pragma once

#include <cstddef>

#include "common/clock.h"

namespace calicodrift::limits {

/// How many tokens a router may have outstanding at one model's engines. The window follows the
/// measured time to first token: it shrinks when more than kLatePart of a round's first tokens were
/// late, the more the more were, and grows by a small factor when they were on time and the window
/// was the bound. Every router adapts its own window, so no load report is needed and many routers
/// share an engine as flows share a link.
class LoadWindow {
 public:
  /// The tokens allowed for this number of usable engines.
  double tokens(std::size_t engines) const { return perEngine_ * static_cast<double>(engines); }
  /// A request met the bound, so a larger window would be used.
  void onPressed() { pressed_ = true; }
  /// A first token came, or is overdue.
  /// @param outstanding tokens outstanding at this moment.
  /// @return whether the window shrank.
  bool onSample(bool late, MonotonicTime dispatched, double outstanding, std::size_t engines,
                MonotonicTime now);

  /// A window that no first token has corrected yet is wide, so that a restarted router serves at
  /// once; the first late round cuts it to what was really outstanding.
  static constexpr double kInitialTokensPerEngine = 65'536;
  static constexpr double kLeastTokensPerEngine = 16;
  static constexpr double kLatePart = 0.1;

 private:
  bool endRound(std::size_t engines, MonotonicTime now);

  double perEngine_ = kInitialTokensPerEngine;
  bool pressed_ = false;
  std::size_t samples_ = 0;
  std::size_t lateSamples_ = 0;
  /// Most tokens outstanding at a sample of the round.
  double peak_ = 0;
  MonotonicTime roundBegan_{};
  MonotonicTime shrank_{};
};

}  // namespace calicodrift::limits
