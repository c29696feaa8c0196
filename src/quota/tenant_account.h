#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "common/clock.h"
#include "limits/rate_estimate.h"
#include "limits/token_bucket.h"
#include "quota/allowance.h"
#include "quota/messages.h"

namespace calicodrift::quota {

/// Role of a node in the enforcement of limits.
enum class QuotaRole {
  /// Issues a share of each limit.
  kRoot,
  /// Claims units from its source.
  kFollower,
  /// Has no source.
  kDisconnected,
};

enum class Verdict { kGranted, kRefused, kAskSource };

/// Decision that a node can make on a claim by itself.
struct Decision {
  Verdict verdict = Verdict::kAskSource;
  /// For kRefused: time until capacity is available.
  Milliseconds wait{0};
};

/// One node's state of one tenant's limit. Performs no I/O; the current time is passed to every
/// call.
///
/// Invariant: what all nodes grant in a window is at most what the roots issued in it plus the
/// excess described by Allowance. It holds because a follower grants only units that its source
/// removed from its own content before it answered. The units of a lost answer are lost to the
/// tenant, not granted twice.
class TenantAccount {
 public:
  /// @param limitedSince when the limit took effect at this node.
  TenantAccount(const QuotaBounds& bounds, const TenantLimit& limit,
                MonotonicTime limitedSince = MonotonicTime{});

  void setLimit(const QuotaBounds& bounds, const TenantLimit& limit, MonotonicTime now);
  /// @param share fraction of the limit that this node issues as a root.
  void setRole(QuotaRole role, double share, MonotonicTime now);
  /// Discards the units held before the process was stalled, which can no longer be relied on.
  void discardHeld(MonotonicTime now);

  /// Decides on a claim and takes the units that it grants. kAskSource means that too few units are
  /// available; on a root, `wait` is the time until they are.
  Decision claim(double units, MonotonicTime now);
  /// Decides on a claim while no source can be reached, based on the rate granted until the source
  /// was lost. Returns whether the claim is granted.
  bool claimWhileDisconnected(double units, MonotonicTime lastContact, MonotonicTime now);
  /// Records that the source granted a claim of `units`.
  void onGranted(double units, MonotonicTime now);
  void onRefused(Milliseconds wait, MonotonicTime now);
  void addPrefetched(double units, MonotonicTime until);
  /// Adds the units that another node granted in advance for a claim sent at `sent`: at most what
  /// was claimed, for at most the own prefetch term. Adds nothing if the limit has changed since
  /// then, because the units belong to the old limit. @return the number of units added.
  double acceptPrefetch(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent);
  /// Returns the units of a request that did not run.
  void giveBack(double units, MonotonicTime now);

  /// Units to request in advance in addition to a claim.
  double prefetchDemand(MonotonicTime now);
  /// On a root: units granted in advance to another node beyond its claim, valid for
  /// prefetchTerm().
  double grantPrefetch(double requested, MonotonicTime now);
  Milliseconds prefetchTerm() const { return allowance_.prefetchTerm; }
  /// On a root: units to borrow from the roots of other groups, because its own share does not
  /// cover the demand.
  double borrowDemand(MonotonicTime now);

  /// On a root: time until its own content covers `units`.
  Milliseconds waitFor(double units, MonotonicTime now) const {
    return issued_.waitFor(units, now);
  }

  const TenantLimit& limit() const { return limit_; }
  QuotaRole role() const { return role_; }
  /// Units that could be granted immediately at this node.
  double heldAt(MonotonicTime now);
  /// Recent rates, in units per second, of the units requested and granted at this node.
  double demandAt(MonotonicTime now) const { return demand_.perSecond(now); }
  double grantedAt(MonotonicTime now) const { return granted_.perSecond(now); }

 private:
  struct PrefetchedUnits {
    double units = 0;
    MonotonicTime until{};
  };

  /// Takes `units` from the units granted in advance; all or nothing.
  bool takePrefetched(double units, MonotonicTime now);
  void dropExpired(MonotonicTime now);
  void applyShare(MonotonicTime now);

  TenantLimit limit_;
  Allowance allowance_;
  MonotonicTime limitedSince_;
  QuotaRole role_ = QuotaRole::kDisconnected;
  double share_ = 0;
  limits::TokenBucket issued_;
  std::deque<PrefetchedUnits> prefetched_;
  /// Time until which the last refusal by the source holds.
  MonotonicTime refusedUntil_{};
  MonotonicTime nextPrefetch_{};
  limits::RateEstimate demand_;
  limits::RateEstimate claims_;
  limits::RateEstimate granted_;
  /// Filled when the source is lost.
  limits::TokenBucket disconnectedBucket_;
  /// Last contact with a source for which `disconnectedBucket_` was filled.
  std::optional<MonotonicTime> disconnectedSince_;
};

}  // namespace calicodrift::quota
