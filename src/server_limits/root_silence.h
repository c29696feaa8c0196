#pragma once

#include <map>

#include "common/clock.h"
#include "common/endpoint.h"

namespace calicodrift::server_limits {

/// Which roots do not answer, and since when. No I/O; calls are told the time.
class RootSilence {
 public:
  void noteAnswer(const Endpoint& root) { silent_.erase(root); }
  void noteFailure(const Endpoint& root, MonotonicTime now);
  /// It failed a moment ago, and is not worth another call yet.
  bool isSilent(const Endpoint& root, MonotonicTime now) const;
  /// It has answered nothing for kTakeover, though it was asked all the time.
  bool isGone(const Endpoint& root, MonotonicTime now) const;

  /// Before a silent root is asked again.
  static constexpr Milliseconds kPause{300};
  /// Longer than a list of roots needs to be changed, and than a root goes on without proof of its
  /// place: RelaySettings::tenure.
  static constexpr Milliseconds kTakeover{4000};

 private:
  struct Silence {
    MonotonicTime since{};
    MonotonicTime last{};
  };

  std::map<Endpoint, Silence> silent_;
};

}  // namespace calicodrift::server_limits
