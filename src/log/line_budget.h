#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "common/clock.h"

namespace calicodrift::log {

/// Bounds the lines of each event, so that a flood of one kind neither costs the process its time
/// nor crowds out the rest: failures have events, and so budgets, of their own.
///
/// Invariant: over any span, an event has at most kBurst + span x kLinesPerSecond lines.
class LineBudget {
 public:
  static constexpr double kLinesPerSecond = 100;
  static constexpr double kBurst = 200;

  /// Whether one more line of the event may be written.
  bool tryTake(std::string_view event, MonotonicTime now);
  /// Lines left out since the last call, by event; those of `event` alone are forgotten by it.
  std::uint64_t takeSuppressed(std::string_view event);

 private:
  struct Bucket {
    double tokens = kBurst;
    MonotonicTime updated{};
    std::uint64_t suppressed = 0;
  };

  std::map<std::string, Bucket, std::less<>> buckets_;
};

}  // namespace calicodrift::log
