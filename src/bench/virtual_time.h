#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "common/clock.h"

namespace calicodrift::bench {

/// Events in order of virtual time; equal times keep the order in which they were planned.
class VirtualTime {
 public:
  MonotonicTime now() const { return now_; }
  void schedule(Microseconds delay, std::function<void()> action) {
    events_.push({now_ + delay, sequence_++, std::move(action)});
  }
  void runUntil(MonotonicTime end) {
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.action();
    }
    now_ = end;
  }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(time, sequence) > std::pair(other.time, other.sequence);
    }
  };

  /// Not zero, which state machines may take as "never".
  MonotonicTime now_ = MonotonicTime{} + std::chrono::hours(1);
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace calicodrift::bench
