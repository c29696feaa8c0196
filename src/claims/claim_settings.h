#pragma once

#include <cstddef>

#include "common/clock.h"

namespace calicodrift::claims {

/// Rules that at-most-once execution depends on. All are enabled in production. The protocol tests
/// disable one at a time to show that they detect the duplicate execution that the rule prevents.
struct SafetyRules {
  /// A replica abstains on keys that it may have voted on before its vote history began.
  bool abstainAfterRestart = true;
  /// Replicas of a new epoch vote only once the previous epoch can no longer form a majority.
  bool sealPreviousEpoch = true;
  /// A vote counts only if the claim and the replica are in the same epoch.
  bool checkEpoch = true;
  /// A restarted node votes only once it is proven not to revive an epoch that it had left.
  bool proveCurrentEpoch = true;
};

struct ClaimSettings {
  /// Maximum difference between any two clocks, and maximum time by which a key may be ahead of a
  /// clock.
  Milliseconds maxClockSkew{500};
  /// How long after its timestamp a key is accepted; older keys are refused.
  Milliseconds retention{600'000};
  /// Maximum time that a request waits for its claim to be decided.
  Milliseconds claimTimeout{300};
  Milliseconds claimRetransmit{40};
  /// Maximum number of records of one replica; it accepts no new claims beyond that.
  std::size_t maxRecords = 200'000;
  /// How long the set of alive nodes must differ from the view before a new view is written.
  Milliseconds viewChangeDelay{3000};
  /// Minimum interval between two accesses to the object API.
  Milliseconds storeInterval{200};
  Milliseconds joinInterval{100};
  SafetyRules rules;
};

/// A simultaneous reading of the monotonic and the wall clock. The wall clock may jump; see
/// ClaimReplica for the consequences.
struct ClockReading {
  MonotonicTime monotonic;
  /// Milliseconds since the Unix epoch.
  std::uint64_t wall = 0;
};

}  // namespace calicodrift::claims
