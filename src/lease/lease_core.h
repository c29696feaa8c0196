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
  /// Pause after a read or write that failed.
  Milliseconds retryInterval{500};
  /// Bound on how far the rate of any node's monotonic clock is off, as a fraction. The exclusion
  /// of two valid holders rests on it.
  double clockDrift = 0.01;
};

/// What the driver is to do next.
enum class LeaseStep { kWait, kRead, kWrite };

struct LeaseAction {
  LeaseStep step = LeaseStep::kWait;
  /// For kWrite: the write is conditional on `write.version`.
  ObservedLease write;
};

/// Decides when to read and write the lease, and whether this process holds it. No I/O: the driver
/// performs one action at a time and reports what came of it; `now` is this node's own monotonic
/// clock.
///
/// Invariant: at no moment do two processes hold the lease (token() is set in both), as long as
/// all clocks keep within `clockDrift`. It holds because
/// - a holder counts its lease from before the renewing write was sent, so from before the store
///   applied it;
/// - another candidate writes only after it has seen one stored version unchanged for the whole
///   duration plus the drift margin on its own clock, so from after the store applied it;
/// - that write is conditional on the version seen, so it fails if a renewal came in between.
/// A process that was paused fails the check of token() when it wakes. What it sent before is
/// refused by the receiver, which has seen a higher token.
class LeaseCore {
 public:
  explicit LeaseCore(LeaseSettings settings) : settings_(std::move(settings)) {}

  /// The next action. Asked again after each outcome, and after a short wait.
  /// @param mayAcquire false where this node is no candidate: it then keeps a lease that it holds
  /// and takes no new one.
  LeaseAction next(MonotonicTime now, bool mayAcquire = true);
  void onRead(const ObservedLease& observed, MonotonicTime now);
  void onReadFailed(MonotonicTime now);
  /// The write of `written` took effect and got `version`.
  void onWritten(const ObservedLease& written, object_api::ResourceVersion version,
                 MonotonicTime now);
  /// Refused, or its outcome is unknown: the lease is read before anything else is done.
  void onWriteFailed(MonotonicTime now);
  /// A receiver has seen a higher token: this process stops acting at once. If the store still
  /// names it as the holder, it goes on under a token above `highest`.
  void onFenced(FencingToken highest);

  /// The fencing token while this process holds the lease. Asked right before each order.
  std::optional<FencingToken> token(MonotonicTime now) const;
  /// The write that gives the lease back, at a planned stop; nothing where it isn't held. This
  /// process never holds the lease again.
  std::optional<ObservedLease> release(MonotonicTime now);
  const std::optional<ObservedLease>& observed() const { return observed_; }

 private:
  bool ownsRecord() const;
  /// Whether the stored holder has let the lease lapse, as seen by this node's clock alone.
  bool lapsed(MonotonicTime now) const;
  LeaseAction write(FencingToken token, MonotonicTime now);
  LeaseAction renewOrWait(MonotonicTime now);

  LeaseSettings settings_;
  std::optional<ObservedLease> observed_;
  /// When the observed version was first seen here.
  MonotonicTime observedAt_{};
  bool mustRead_ = true;
  MonotonicTime nextAttempt_{};
  MonotonicTime nextRead_{};
  /// Number of this process's last write, and when each recent one was about to be sent.
  std::uint64_t renewal_ = 0;
  std::map<std::uint64_t, MonotonicTime> sentAt_;
  std::optional<MonotonicTime> validUntil_;
  /// The next token this process writes is above it.
  FencingToken lowestToken_;
  bool released_ = false;
};

}  // namespace calicodrift::lease
