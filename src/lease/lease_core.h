#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "common/clock.h"
#include "lease/lease_record.h"

namespace calicodrift::lease {

struct LeaseSettings {
  /// Identity of this process start; no other process ever uses it.
  std::string holder;
  Milliseconds duration{6000};
  Milliseconds renewInterval{2000};
  /// Delay after a failed read or write.
  Milliseconds retryInterval{500};
  /// Upper bound on the rate error of any node's monotonic clock, as a fraction. Mutual exclusion
  /// depends on it.
  double clockDrift = 0.01;
};

/// The next step for the driver of a LeaseCore.
enum class LeaseStep { kWait, kRead, kWrite };

struct LeaseAction {
  LeaseStep step = LeaseStep::kWait;
  /// kWrite: the lease to write, conditional on `write.version`.
  ObservedLease write;
};

/// Decides when to read and write the lease, and whether this process holds it. Performs no I/O:
/// the driver executes one action at a time and reports its outcome. `now` is always this node's
/// own monotonic clock.
///
/// Invariant: no two processes hold the lease at the same time (token() is set in at most one), as
/// long as all clocks stay within `clockDrift`. This holds for three reasons. A holder counts the
/// lease from before it sent the renewing write, which is before the store applied it. Another
/// candidate writes only after it has seen one stored version unchanged for the whole duration plus
/// the drift margin on its own clock, counted from after the store applied that version. That write
/// is conditional on the version seen, so it fails if a renewal came in between.
///
/// A store that returns from a copy has lost the latest writes. Nobody acts on a write of an
/// earlier era, and in a new era nobody gains the lease for one duration plus the drift margin,
/// within which a holder whose writes were lost has stopped. A token is no lower than the
/// position of the lease that it replaces, so that none is issued twice.
///
/// A process that was paused fails the check of token() when it resumes. Receivers reject what it
/// sent before if they have seen a higher token.
class LeaseCore {
 public:
  explicit LeaseCore(LeaseSettings settings) : settings_(std::move(settings)) {}

  /// Returns the next action. Called after each outcome and at short intervals.
  /// @param mayAcquire false if this node is not a candidate: it then renews a lease that it holds
  /// but acquires none.
  LeaseAction next(MonotonicTime now, bool mayAcquire = true);
  void onRead(const ObservedLease& observed, MonotonicTime now);
  void onReadFailed(MonotonicTime now);
  /// The write of `written` was applied and got `version`.
  void onWritten(const ObservedLease& written, object_api::ResourceVersion version,
                 MonotonicTime now);
  /// The write was rejected or its outcome is unknown: the lease is read before any other step.
  void onWriteFailed(MonotonicTime now);
  /// A receiver has seen a higher token: this process stops acting at once. If the store still
  /// names it as the holder, it continues with a token above `highest`.
  void onFenced(FencingToken highest);

  /// The fencing token while this process holds the lease. Must be called right before each use.
  std::optional<FencingToken> token(MonotonicTime now) const;
  /// Returns the write that releases the lease at a planned stop; nothing if the lease is not held.
  /// Afterwards this process never holds the lease again.
  std::optional<ObservedLease> release(MonotonicTime now);
  const std::optional<ObservedLease>& observed() const { return observed_; }

 private:
  bool ownsRecord() const;
  /// Whether a holder of an earlier era of the store has stopped.
  bool isEraSettled(MonotonicTime now) const;
  /// Whether the lease of the stored holder has expired by this node's clock.
  bool hasExpired(MonotonicTime now) const;
  /// The position of the lease that is replaced: the record may have lost the tokens issued before,
  /// its position is above all earlier ones.
  FencingToken leastTokenOfEra() const;
  LeaseAction write(FencingToken token, MonotonicTime now);
  LeaseAction renewOrWait(MonotonicTime now);

  LeaseSettings settings_;
  std::optional<ObservedLease> observed_;
  /// When this node first saw the observed version.
  MonotonicTime observedAt_{};
  bool needsRead_ = true;
  MonotonicTime nextAttempt_{};
  MonotonicTime nextRead_{};
  /// Sequence number of this process's last write, and the time just before each recent write was
  /// sent.
  std::uint64_t renewal_ = 0;
  std::map<std::uint64_t, MonotonicTime> sentAt_;
  /// Records of this process with lower sequence numbers count as another holder's.
  std::uint64_t firstRenewalOfEra_ = 0;
  std::optional<MonotonicTime> validUntil_;
  /// The next token that this process writes is above this one.
  FencingToken tokenFloor_;
  bool released_ = false;
};

}  // namespace calicodrift::lease
