#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "bundle/bundle.h"
#include "limits/metrics.h"
#include "limits/owner_view.h"
#include "limits/rate_estimate.h"
#include "limits/tenant_shares.h"
#include "limits/token_bucket.h"
#include "peer/directory.h"
#include "peer/transport.h"

namespace calicodrift::limits {

using Clock = std::function<MonotonicTime()>;

/// Tenant rates shared over all nodes. Each node leases a share of a tenant's rate from the
/// tenant's owner, as long as requests of the tenant arrive here, and needs no store for it.
///
/// Bound, with n nodes in the fleet that agree on the owner within LeaseSettings::viewSkew(): the
/// rates in use add up to at most limit x (1 + k/n), where k is the number of nodes that get
/// requests of the tenant and hold no lease (just started, or the owner can't be reached); such a
/// node uses the even part limit/n. A cut-off minority of the fleet uses its part of the limit
/// beside the majority's whole. A node can't know n before it has met its peers, unless it was
/// given.
class RateShares {
 public:
  RateShares(peer::Transport& transport, const peer::PeerDirectory& directory, Clock clock,
             LeaseSettings settings, LimitsMetrics& metrics);

  /// Takes over the limits of a newly adopted bundle.
  void applyBundle(const bundle::Bundle& bundle);
  /// Notes that a request of the tenant came. None where the rate allows it; else the time after
  /// which to come back.
  std::optional<Milliseconds> refusal(const bundle::Tenant& tenant, MonotonicTime now);
  /// Takes an admitted request out of the rate; to be called right after refusal() allowed it.
  void take(const bundle::Tenant& tenant, MonotonicTime now);
  /// Renews leases; to be called every kTickInterval or so.
  void tick(MonotonicTime now);
  /// Requests a second that this node allows the tenant now.
  double rateOf(const TenantId& tenant, MonotonicTime now);
  /// Whether it holds a lease (as against the even part).
  bool holdsLease(const TenantId& tenant, MonotonicTime now) const;

  static constexpr Milliseconds kTickInterval{100};
  /// Lease requests that one node sends in a second at most, over all tenants.
  static constexpr double kRequestsPerSecond = 10;
  /// Renewals that one node answers in a second; with more holders of the tenants that it owns,
  /// their leases grow longer.
  static constexpr double kRenewalsPerSecond = 10;

 private:
  /// This node's part in one tenant's rate.
  struct Lease {
    explicit Lease(std::uint64_t hash) : tenant(hash) {}

    std::uint64_t tenant;
    std::uint32_t number = 0;
    MonotonicTime sent{};
    /// Whether `rate` was granted; it counts until `expiry`.
    bool granted = false;
    double rate = 0;
    MonotonicTime expiry{};
    MonotonicTime renewAt{};
    bool heldAt(MonotonicTime now) const { return granted && now < expiry; }

    RateEstimate demand{Milliseconds(2000)};
    TokenBucket bucket;
  };

  Lease& leaseOf(const TenantId& tenant);
  void updateBucket(Lease& lease, MonotonicTime now);
  double limitOf(std::uint64_t tenant) const;
  void refreshView(MonotonicTime now);
  bool wantsRenewal(const Lease& lease, MonotonicTime now) const;
  void sendRequest(Lease& lease, MonotonicTime now);
  void receive(const Endpoint& from, std::string_view payload);
  /// Answers as owner; none where this node is not the owner in its own view.
  std::optional<ShareGrant> onRequest(const ShareRequest& request, MonotonicTime now);
  /// Until the next renewal by a holder of a tenant that this node owns.
  Milliseconds renewal() const;
  /// Part of the limit that this node may hand out as owner: all of it with a majority in sight.
  double visiblePart() const;
  void onGrant(const ShareGrant& grant, MonotonicTime now);

  peer::Transport& transport_;
  const peer::PeerDirectory& directory_;
  Clock clock_;
  LeaseSettings settings_;
  LimitsMetrics& metrics_;
  OwnerView view_;
  MonotonicTime viewRead_{};
  bool viewKnown_ = false;
  /// Requests a second of every limited tenant of the bundle.
  std::unordered_map<std::uint64_t, double> limits_;
  std::map<TenantId, Lease> leases_;
  std::unordered_map<std::uint64_t, Lease*> leaseByHash_;
  /// Where this node is the owner.
  std::unordered_map<std::uint64_t, TenantShares> owned_;
  TokenBucket requestBudget_;
};

}  // namespace calicodrift::limits
