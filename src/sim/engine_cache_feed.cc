#include "sim/engine_cache_feed.h"

namespace calicodrift::sim {

void EngineCacheFeed::publish(const std::vector<CacheEvent>& events, MonotonicTime now) {
  constexpr std::int64_t kPercent = 100;
  std::uniform_int_distribution<std::int64_t> draw(0, kPercent - 1);
  for (const CacheEvent& event : events) {
    if (draw(random_) >= settings_.lossPercent) {
      events_.push_back({now + settings_.delay, event});
    }
  }
  while (events_.size() > settings_.kept) {
    events_.pop_front();
  }
}

std::vector<CacheEvent> EngineCacheFeed::readAfter(std::uint64_t after, MonotonicTime now) const {
  std::vector<CacheEvent> visible;
  for (const Published& published : events_) {
    if (published.event.sequence > after && published.visibleAt <= now) {
      visible.push_back(published.event);
    }
  }
  return visible;
}

void LaggingLoad::record(Sample sample, MonotonicTime now) {
  samples_.emplace_back(now, sample);
  while (samples_.size() > 1 && samples_[1].first + lag_ <= now) {
    samples_.pop_front();
  }
}

LaggingLoad::Sample LaggingLoad::report(MonotonicTime now) const {
  Sample reported;
  for (const auto& [time, sample] : samples_) {
    if (time + lag_ <= now) {
      reported = sample;
    }
  }
  return reported;
}

}  // namespace calicodrift::sim
