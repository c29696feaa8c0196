#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "common/clock.h"
#include "sim/engine_model.h"

namespace calicodrift::sim {

struct CacheFeedSettings {
  /// An event can be read so long after it happened.
  Milliseconds delay{0};
  /// Events lost on the way, in percent; the gap shows in the sequence numbers.
  std::int64_t lossPercent = 0;
  /// Events kept for readers; older ones are dropped.
  std::size_t kept = 4096;
};

/// The engine's published cache events: late, with gaps, and bounded. No clock of its own.
class EngineCacheFeed {
 public:
  EngineCacheFeed(CacheFeedSettings settings, std::uint64_t seed)
      : settings_(settings), random_(seed) {}

  void publish(const std::vector<CacheEvent>& events, MonotonicTime now);
  /// Forgets all events: they are of weights that are gone.
  void clear() { events_.clear(); }
  /// Events with a sequence number above `after` that have become visible.
  std::vector<CacheEvent> readAfter(std::uint64_t after, MonotonicTime now) const;

 private:
  struct Published {
    MonotonicTime visibleAt;
    CacheEvent event;
  };

  CacheFeedSettings settings_;
  std::mt19937_64 random_;
  std::deque<Published> events_;
};

/// What an engine reports of its load, as it was `lag` ago.
class LaggingLoad {
 public:
  struct Sample {
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t prefillTokens = 0;
  };

  explicit LaggingLoad(Milliseconds lag) : lag_(lag) {}

  void record(Sample sample, MonotonicTime now);
  Sample report(MonotonicTime now) const;

 private:
  Milliseconds lag_;
  /// The first one is the newest that is at least `lag_` old, where there is one.
  std::deque<std::pair<MonotonicTime, Sample>> samples_;
};

}  // namespace calicodrift::sim
