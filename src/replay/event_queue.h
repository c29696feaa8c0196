#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "common/clock.h"

namespace calicodrift::replay {

/// Runs actions in virtual time, equal times in the order in which they were scheduled, so that a
/// run is the same each time.
class EventQueue {
 public:
  MonotonicTime now() const { return now_; }

  void schedule(MonotonicTime::duration delay, std::function<void()> action) {
    events_.push({now_ + delay, sequence_++, std::move(action)});
  }

  /// Runs until no event is left.
  void run() {
    while (!events_.empty()) {
      // The queue gives out constant references only; the event is popped right after.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.time;
      event.action();
    }
  }

 private:
  struct Event {
    MonotonicTime time;
    std::uint64_t sequence = 0;
    std::function<void()> action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.time != right.time ? left.time > right.time : left.sequence > right.sequence;
    }
  };

  MonotonicTime now_{};
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
};

}  // namespace calicodrift::replay
