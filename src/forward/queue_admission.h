#pragma once

#include <optional>

#include "common/clock.h"

namespace calicodrift::forward {

struct QueueAdmissionSettings {
  /// Requests are admitted while they would wait for less than so many times their target latency.
  double steadyTargets = 0.8;
  /// The same while the queues have been longer only for a short time: a burst is served late
  /// rather than refused.
  double burstTargets = 3;
  Milliseconds burst{1500};
  /// Requests of lower priority are admitted up to this part of that wait, so that the more urgent
  /// ones find room.
  double lowerPriorityShare = 0.7;
  /// Longest time after which a refused caller is told to come back.
  Milliseconds longestRetryAfter{2000};
};

/// Whether a service's servers can still answer a request in time, by the shortest wait that it
/// would have. Where they can't, it is refused before it is sent anywhere: a queue that has grown
/// beyond the target makes every answer late, and a refusal at once lets the caller come back when
/// there is room. No I/O; calls are told the time.
class QueueAdmission {
 public:
  explicit QueueAdmission(QueueAdmissionSettings settings) : settings_(settings) {}

  /// @param wait of the chosen server before it begins with the request; its own prefill does not
  /// count, so that long prompts are admitted as short ones are.
  /// @param rank of the request's priority, 0 the most urgent.
  /// @return when to come back, where the request is refused.
  std::optional<Milliseconds> refuse(Milliseconds wait, Milliseconds target, unsigned rank,
                                     MonotonicTime now);

 private:
  /// Longest wait in targets.
  double limitTargets(MonotonicTime now) const;

  QueueAdmissionSettings settings_;
  /// Since when the waits have been longer than the steady limit.
  std::optional<MonotonicTime> congestedSince_;
};

}  // namespace calicodrift::forward
