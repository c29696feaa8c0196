#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "quota/messages.h"
#include "quota/tenant_account.h"

namespace calicodrift::quota {

TenantKey keyOf(const TenantId& tenant);

/// Where a node stands, and what part of each limit it mints there.
struct NodePlace {
  Place place = Place::kIsland;
  double part = 0;
};

/// The limits of all tenants at one node. No I/O; calls are told the time.
///
/// The nodes form the tree in which they read the store. Its roots mint each limit, every one its
/// part of it: rate and burst divided by their number. A node passes a request where it holds
/// enough, else it claims the units from its source, which is its parent, and for a root another
/// root. So the roots together let through what the limit allows, wherever in the tree the
/// tenant's requests come in, and no node needs to know how many there are.
class QuotaCore {
 public:
  explicit QuotaCore(QuotaBounds bounds) : bounds_(bounds) {}

  /// The limits in force; a tenant that is not named has none.
  void applyLimits(const std::map<TenantId, TenantLimit>& limits, MonotonicTime now);
  /// To be called often, at least every kPulse, also where nothing has changed: a longer silence
  /// shows that the process stood still.
  void setPlace(const NodePlace& place, MonotonicTime now);

  /// Whether any tenant has a limit.
  bool limitsAny() const { return !accounts_.empty(); }
  bool limits(TenantKey tenant) const { return accounts_.contains(tenant); }
  /// Decides on a claim; tenants without a limit pass.
  Decision claim(TenantKey tenant, double units, MonotonicTime now);
  /// What is sent for a claim that this node can't decide.
  Claim toMessage(TenantKey tenant, double units, MonotonicTime now);
  /// The source's answer to a claim that was sent at `sent`.
  Decision onAnswer(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent,
                    MonotonicTime now);
  /// No source could be reached.
  Decision onSilence(TenantKey tenant, double units, MonotonicTime now);
  /// What another node gets for its claim, once this node has decided on it.
  ClaimAnswer toAnswer(const Claim& claim, const Decision& decision, MonotonicTime now);
  /// As a root: claims for what its own part of the limits lacks, where each of so many roots of
  /// other groups is asked for an even part of it. They ask for units ahead only: what comes is
  /// void after the term that these have.
  std::vector<Claim> toBorrow(std::size_t lenders, MonotonicTime now);
  /// @return the units that were borrowed.
  double onBorrowed(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent);
  void giveBack(TenantKey tenant, double units, MonotonicTime now);

  const NodePlace& place() const { return place_; }
  /// Null where the tenant has no limit.
  TenantAccount* accountOf(TenantKey tenant);

  static constexpr Milliseconds kPulse{250};

 private:
  QuotaBounds bounds_;
  NodePlace place_;
  std::unordered_map<TenantKey, TenantAccount> accounts_;
  MonotonicTime pulsedAt_{};
  /// When a source answered last.
  MonotonicTime lastContact_{};
};

}  // namespace calicodrift::quota
