#pragma once

#include <map>

#include "common/clock.h"
#include "common/endpoint.h"

namespace calicodrift::server_limits {

/// Tracks which roots do not answer, and since when. Does no I/O; callers pass the time.
class RootSilence {
 public:
  void noteAnswer(const Endpoint& root) { outages_.erase(root); }
  void noteFailure(const Endpoint& root, MonotonicTime now);
  /// Whether a call failed recently, so that another one is not worthwhile yet.
  bool isSilent(const Endpoint& root, MonotonicTime now) const;
  /// Whether the root has answered nothing for kTakeoverDelay although it was called throughout.
  bool isPresumedDead(const Endpoint& root, MonotonicTime now) const;

  /// Delay before a silent root is called again.
  static constexpr Milliseconds kRetryDelay{300};
  /// Longer than it takes to update a list of roots, and than a root continues without proof of its
  /// role: RelaySettings::tenure.
  static constexpr Milliseconds kTakeoverDelay{4000};

 private:
  struct Outage {
    MonotonicTime since{};
    MonotonicTime last{};
  };

  std::map<Endpoint, Outage> outages_;
};

}  // namespace calicodrift::server_limits
