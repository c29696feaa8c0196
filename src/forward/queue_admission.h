#pragma once

#include <map>
#include <optional>

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::forward {

struct QueueAdmissionSettings {
  /// Requests are admitted while their wait would be below this multiple of their target latency.
  double steadyTargets = 0.8;
  /// The same while the queues have been long for at most `burst`: a burst is served late instead
  /// of being refused.
  double burstTargets = 3;
  Milliseconds burst{1500};
  /// Requests of lower priority are admitted up to this fraction of that wait, so that capacity
  /// remains for more urgent ones. The wait is that of the most urgent requests if theirs is
  /// shorter: a queue that those with a longer target may fill further would shut the urgent out.
  double lowerPriorityShare = 0.7;
  /// Upper bound of the retry time for refused callers.
  Milliseconds maxRetryAfter{2000};
};

/// Decides whether a service's servers can still answer a request in time, by the shortest wait
/// that it would have. If they can't, the request is refused before it is sent to a server: a queue
/// that exceeds the target makes every answer late, while an immediate refusal lets the caller
/// retry when there is capacity. Does no I/O; callers pass the time.
class QueueAdmission {
 public:
  explicit QueueAdmission(QueueAdmissionSettings settings) : settings_(settings) {}

  /// Requests are allowed by this configuration: targets of earlier ones no longer count.
  void applyConfiguration(ConfigVersion version);
  /// @param wait time until the chosen server begins the request; the request's own prefill does
  /// not count, so that long prompts are admitted like short ones.
  /// @param rank rank of the request's priority; 0 is the most urgent.
  /// @return when to retry, if the request is refused.
  std::optional<Milliseconds> refuse(Milliseconds wait, Milliseconds target, unsigned rank,
                                     MonotonicTime now);

 private:
  /// Longest admitted wait, as a multiple of the target latency.
  double limitTargets(MonotonicTime now) const;
  /// Records the target of a request, and returns the shortest target of its rank and of more
  /// urgent ones.
  Milliseconds shortestTarget(Milliseconds target, unsigned rank);

  QueueAdmissionSettings settings_;
  ConfigVersion configuration_;
  /// Shortest target by rank, of the requests under this configuration so far.
  std::map<unsigned, Milliseconds> targets_;
  /// When the waits began to exceed the steady limit.
  std::optional<MonotonicTime> congestedSince_;
};

}  // namespace calicodrift::forward
