#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/clock.h"
#include "limits/lease_messages.h"

namespace calicodrift::limits {

/// Times of the leases; the same on all nodes.
struct LeaseSettings {
  /// A lease runs this long at least. Shares outlive their owner where its death is noticed sooner.
  Milliseconds term{10'000};
  /// Nodes of the whole fleet, which is n even where fewer are seen; 1 takes those seen alive.
  std::size_t fleetNodes = 1;

  static constexpr std::int64_t kRenewalsPerTerm = 10;
  Milliseconds renewal() const { return term / kRenewalsPerTerm; }
  /// Nodes learn of a change of the fleet within this time of each other, and clocks of two nodes
  /// drift apart by less than this in one term.
  Milliseconds viewSkew() const { return term * 3 / kRenewalsPerTerm; }
};

/// The owner's ledger of one tenant's rate: who holds which share until when.
///
/// Invariant: the counted shares never add up to more than the limit. After its request k a node
/// takes no grant but that for k, so until its next request it uses either the share that it named
/// in k or the one granted for k; the larger counts. The holder counts the term from when it sent
/// the request and the owner from when it answers, so the holder stops first.
///
/// A new owner does not know what its predecessor granted. Until `grantFrom` it grants nothing new,
/// only confirms the shares that their holders still have, which add up to no more than the limit.
class TenantShares {
 public:
  explicit TenantShares(MonotonicTime grantFrom) : grantFrom_(grantFrom) {}

  /// The grant for a request; none for one that is older than another of the same node.
  /// @param renewal after which the holder is to ask again; the lease is kRenewalsPerTerm of it.
  std::optional<ShareGrant> grant(const ShareRequest& request, double limit, Milliseconds renewal,
                                  MonotonicTime now);
  /// Sum of the shares that may be in use at `now`.
  double countedAt(MonotonicTime now) const;
  std::size_t holders() const { return holders_.size(); }
  bool frozenAt(MonotonicTime now) const { return now < grantFrom_; }

 private:
  struct Holder {
    std::uint64_t incarnation = 0;
    std::uint32_t number = 0;
    double demand = 0;
    /// The largest share that the node may be using.
    double counted = 0;
    MonotonicTime expiry{};
  };

  void dropExpired(MonotonicTime now);
  /// False for a request that is late or doubled, or of a process that has ended since.
  static bool isNewer(const ShareRequest& request, const Holder& holder);
  /// What `holder` should get: its fair part by demand, and a part of what nobody asks for.
  double fairShare(const Holder& holder, double limit) const;

  MonotonicTime grantFrom_;
  std::unordered_map<std::uint64_t, Holder> holders_;
};

}  // namespace calicodrift::limits
