#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "common/ids.h"
#include "quota/messages.h"
#include "quota/tenant_account.h"

namespace calicodrift::quota {

TenantKey keyOf(const TenantId& tenant);

/// Role of a node and the share of each limit that it issues in that role.
struct QuotaRoleShare {
  QuotaRole role = QuotaRole::kDisconnected;
  double share = 0;
};

/// Enforces the limits of all tenants at one node. Performs no I/O; the current time is passed to
/// every call.
///
/// The nodes form the tree through which they read the store. Its roots issue the units of each
/// limit, each an equal share of rate and burst. A node grants a request if it holds enough units
/// and otherwise claims them from its source, which is its parent, or for a root another root. The
/// roots together therefore grant what the limit allows, regardless of where in the tree the
/// requests of a tenant arrive, and no node needs to know the number of nodes.
class QuotaCore {
 public:
  explicit QuotaCore(QuotaBounds bounds) : bounds_(bounds) {}

  /// Replaces the limits; a tenant that is not listed is unlimited.
  void applyLimits(const std::map<TenantId, TenantLimit>& limits, MonotonicTime now);
  /// Sets the role of this node. Must be called at least every kRoleRefreshInterval, also if
  /// nothing has changed: a longer interval between calls means that the process was stalled.
  void setRole(const QuotaRoleShare& role, MonotonicTime now);

  /// True if any tenant has a limit.
  bool hasLimits() const { return !accounts_.empty(); }
  bool limits(TenantKey tenant) const { return accounts_.contains(tenant); }
  /// Decides on a claim; tenants without a limit are always granted.
  Decision claim(TenantKey tenant, double units, MonotonicTime now);
  /// Message for a claim that this node cannot decide by itself.
  Claim toMessage(TenantKey tenant, double units, MonotonicTime now);
  /// Handles the source's answer to a claim that was sent at `sent`.
  Decision onAnswer(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent,
                    MonotonicTime now);
  /// Decides on a claim if no source could be reached.
  Decision onNoReply(TenantKey tenant, double units, MonotonicTime now);
  /// Answer to the claim of another node, once this node has decided on it.
  ClaimAnswer toAnswer(const Claim& claim, const Decision& decision, MonotonicTime now);
  /// On a root: claims for the units that its own share of the limits lacks, divided evenly among
  /// the given number of roots of other groups. They request units in advance only, so that what is
  /// received expires after the prefetch term.
  std::vector<Claim> borrowClaims(std::size_t lenders, MonotonicTime now);
  /// @return the number of borrowed units.
  double onBorrowed(const Claim& claim, const ClaimAnswer& answer, MonotonicTime sent);
  void giveBack(TenantKey tenant, double units, MonotonicTime now);

  const QuotaRoleShare& role() const { return role_; }
  /// Returns null if the tenant has no limit.
  TenantAccount* findAccount(TenantKey tenant);

  static constexpr Milliseconds kRoleRefreshInterval{250};

 private:
  QuotaBounds bounds_;
  QuotaRoleShare role_;
  std::unordered_map<TenantKey, TenantAccount> accounts_;
  MonotonicTime refreshedAt_{};
  /// Time of the last answer from a source.
  MonotonicTime lastContact_{};
};

}  // namespace calicodrift::quota
