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

/// A node's place where limits are concerned.
enum class Place {
  /// Mints a part of each limit.
  kRoot,
  /// Asks its source.
  kFollower,
  /// Knows nobody to ask.
  kIsland,
};

enum class Verdict { kGranted, kRefused, kAsk };

/// What a node may say of a claim by itself.
struct Decision {
  Verdict verdict = Verdict::kAsk;
  /// kRefused: until there is room.
  Milliseconds wait{0};
};

/// One node's part in one tenant's limit. No I/O; calls are told the time.
///
/// Invariant: what all nodes grant in a window comes from what roots minted in it, and the parts of
/// Allowance. It holds because a follower grants nothing but what its source has taken out of its
/// own content before it answered; an answer that is lost is lost to the tenant, not granted twice.
class TenantAccount {
 public:
  /// @param limitedSince when the limit came into force here.
  TenantAccount(const QuotaBounds& bounds, const TenantLimit& limit,
                MonotonicTime limitedSince = MonotonicTime{});

  void setLimit(const QuotaBounds& bounds, const TenantLimit& limit, MonotonicTime now);
  /// @param part of the limit that this node mints as a root.
  void setPlace(Place place, double part, MonotonicTime now);
  /// The process stood still for a while: what it held before is not trusted.
  void forgetHeld(MonotonicTime now);

  /// Decides on a claim, and takes what it grants. kAsk: nothing is there; as a root, `wait` says
  /// until when.
  Decision claim(double units, MonotonicTime now);
  /// The source could not be reached: whether the claim passes by what this node was granted until
  /// a moment ago.
  bool claimAsIsland(double units, MonotonicTime lastContact, MonotonicTime now);
  /// The source has answered a claim of `units`.
  void onGranted(double units, MonotonicTime now);
  void onRefused(Milliseconds wait, MonotonicTime now);
  void addAhead(double units, MonotonicTime until);
  /// Adds what another node granted ahead for a claim that was sent at `sent`: no more than was
  /// claimed, for no longer than the own term. Nothing where the limit has changed since then, as
  /// what comes is of the old one. @return the units that were added.
  double takeGrantedAhead(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent);
  /// The request has not run after all.
  void giveBack(double units, MonotonicTime now);

  /// What to ask for beyond a claim.
  double wantedAhead(MonotonicTime now);
  /// As a root: what another node gets beyond its claim, and for how long.
  double grantAhead(double wanted, MonotonicTime now);
  Milliseconds aheadTerm() const { return allowance_.aheadTerm; }
  /// As a root: what to borrow from the roots of other groups, as its own part doesn't cover the
  /// demand.
  double wantedToBorrow(MonotonicTime now);

  /// As a root: until its own content covers the units.
  Milliseconds waitFor(double units, MonotonicTime now) const {
    return minted_.waitFor(units, now);
  }

  const TenantLimit& limit() const { return limit_; }
  Place place() const { return place_; }
  /// What could be granted here at once.
  double heldAt(MonotonicTime now);
  /// Units a second that were asked for, and granted, here of late.
  double demandAt(MonotonicTime now) const { return demand_.perSecond(now); }
  double grantedAt(MonotonicTime now) const { return granted_.perSecond(now); }

 private:
  struct Ahead {
    double units = 0;
    MonotonicTime until{};
  };

  /// Takes from what was granted ahead; all or nothing.
  bool takeAhead(double units, MonotonicTime now);
  void dropExpired(MonotonicTime now);
  void applyPart(MonotonicTime now);

  TenantLimit limit_;
  Allowance allowance_;
  MonotonicTime limitedSince_;
  Place place_ = Place::kIsland;
  double part_ = 0;
  limits::TokenBucket minted_;
  std::deque<Ahead> ahead_;
  /// The source has refused until then.
  MonotonicTime refusedUntil_{};
  MonotonicTime nextAhead_{};
  limits::RateEstimate demand_;
  limits::RateEstimate claims_;
  limits::RateEstimate granted_;
  /// Filled when the source is lost.
  limits::TokenBucket island_;
  /// The last contact for which `island_` was filled.
  std::optional<MonotonicTime> islandSince_;
};

}  // namespace calicodrift::quota
