#pragma once

#include <cstdint>
#include <random>

#include "common/clock.h"

namespace calicodrift::relay {

struct ViewGuardSettings {
  /// Nodes at the next depth wait for so much longer, as those above hand on what they read; each
  /// node adds a random part of it, so that many do not call together.
  Milliseconds stagger{0};
  /// A call that has not been answered for so long is given up.
  Milliseconds callTimeout{0};
  /// First and longest pause after a call that failed; it grows in between, with jitter.
  Milliseconds firstPause{0};
  Milliseconds longestPause{0};
};

/// As shares of the age from which views are read, where that is three fifths of the bound on their
/// age: two silent calls of the deepest nodes leave the time for a third.
ViewGuardSettings viewGuardSettings(Milliseconds readAge);

/// Decides when a node reads views from the store itself, wherever they come from otherwise.
///
/// Invariant: a node that can reach the store has no view older than its age of reading, three
/// times the stagger and the time of the calls that failed before. It holds whatever others do, as
/// nothing that they say postpones the reading but a view that is newer for certain.
class ViewGuard {
 public:
  ViewGuard(ViewGuardSettings settings, std::uint64_t seed);

  /// When a view has to be read from the store.
  /// @param provenAt when it was the newest for certain.
  /// @param readAge from which age on it is read.
  /// @param depth nodes between this one and the store.
  MonotonicTime due(MonotonicTime provenAt, Milliseconds readAge, std::uint32_t depth) const;
  void onRead(bool reached, MonotonicTime now);
  /// The end of the pause after a failed call; the epoch of the clock where there is none.
  MonotonicTime notBefore() const { return notBefore_; }
  const ViewGuardSettings& settings() const { return settings_; }

 private:
  Milliseconds anyOf(Milliseconds longest);

  ViewGuardSettings settings_;
  std::mt19937_64 random_;
  /// Drawn anew for each reading.
  Milliseconds lot_{0};
  Milliseconds nextPause_{0};
  /// After a failed call.
  MonotonicTime notBefore_{};
};

}  // namespace calicodrift::relay
