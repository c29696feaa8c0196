#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

#include "common/endpoint.h"
#include "http/client.h"
#include "http/server.h"
#include "quota/metrics.h"
#include "quota/quota_core.h"

namespace calicodrift::quota {

inline constexpr std::string_view kClaimPath = "/claims";

/// Information about the tree. All referenced objects must outlive the quota node; callbacks run on
/// its thread.
struct QuotaNodeContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  std::function<QuotaRoleShare()> role;
  /// Source that a follower tries first.
  std::function<std::optional<Endpoint>()> parent;
  /// Last known roots of the tree, excluding this node.
  std::function<std::vector<Endpoint>()> roots;
  /// Roots of the other trees of the fleet; empty if there is only one tree.
  std::function<boost::asio::awaitable<std::vector<Endpoint>>()> lenders = nullptr;
  /// Age of the proof that this node's view of the tree is current. Required if there are lenders.
  std::function<Milliseconds()> viewAge = nullptr;
  /// A node with an older view lends nothing: it may have been replaced as a root, and its
  /// successor issues the same units.
  Milliseconds maxLendingViewAge{0};
};

/// Decision on a request under its tenant's limit.
struct QuotaVerdict {
  bool granted = true;
  /// If refused: time after which to retry, randomized to spread retries over callers.
  Milliseconds comeBack{0};
  /// For the log and the error message: the limit, the units available at this node, and the age of
  /// the last answer from its source.
  std::string facts;
};

/// Enforces each tenant's limit together with the other nodes: claims the units that this node
/// lacks, and answers the claims of other nodes. While one batch of claims is in flight, further
/// claims are collected, so that a node has one batch in flight at a time, however many requests it
/// serves.
class QuotaNode {
 public:
  QuotaNode(QuotaNodeContext context, QuotaBounds bounds, QuotaMetrics& metrics,
            std::uint64_t seed);

  void start();
  void applyLimits(const std::map<TenantId, TenantLimit>& limits);
  /// True if any tenant has a limit.
  bool hasLimits() const { return core_.hasLimits(); }
  /// Takes `units` from the tenant's limit. Waits for other nodes for at most kSourceTimeout per
  /// source.
  boost::asio::awaitable<QuotaVerdict> take(const TenantId& tenant, double units);
  /// Returns the units of a request that did not run.
  void giveBack(const TenantId& tenant, double units);
  /// HTTP handler for the claims of other nodes.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);

  /// Timeout for the answer of one source: many times the round trip between two zones, over
  /// several nodes.
  static constexpr Milliseconds kSourceTimeout{120};
  /// Timeout for the answer of a lender: several round trips between regions, where 160 ms is long.
  static constexpr Milliseconds kLenderTimeout{600};
  /// Interval between two claims to lenders: a few within each term of the borrowed units.
  static constexpr Milliseconds kBorrowInterval{100};

 private:
  /// A claim that is queued for a source or already decided.
  struct PendingClaim {
    PendingClaim(const boost::asio::any_io_executor& executor, Claim given)
        : claim(given), decided(executor) {}

    Claim claim;
    std::uint32_t hops = 0;
    std::optional<Decision> decision;
    /// Cancelled once `decision` is set.
    boost::asio::steady_timer decided;
  };
  using PendingClaims = std::vector<std::shared_ptr<PendingClaim>>;

  boost::asio::awaitable<void> refreshRolePeriodically();
  /// Borrows from the roots of other trees what this root's share lacks. Runs in the background so
  /// that no request waits for it.
  boost::asio::awaitable<void> borrow();
  /// Lenders that responded recently and have no claim in flight.
  std::vector<Endpoint> idleLenders(const std::vector<Endpoint>& lenders) const;
  boost::asio::awaitable<void> borrowFrom(Endpoint lender, std::vector<Claim> claims);
  void refreshRole(MonotonicTime now) { core_.setRole(context_.role(), now); }
  /// Queues a claim for the next batch.
  std::shared_ptr<PendingClaim> enqueue(const Claim& claim, std::uint32_t hops);
  boost::asio::awaitable<Decision> awaitDecision(std::shared_ptr<PendingClaim> waiting);
  boost::asio::awaitable<void> sendBatches();
  boost::asio::awaitable<void> resolveBatch(PendingClaims batch);
  boost::asio::awaitable<Result<ClaimReply>> sendToSource(ClaimBatch message);
  /// Usable sources, nearest first.
  std::vector<Endpoint> sources() const;
  boost::asio::awaitable<ClaimReply> answer(ClaimBatch batch);
  bool mayLend() const;
  QuotaVerdict refusal(TenantKey tenant, Milliseconds wait);

  QuotaNodeContext context_;
  QuotaCore core_;
  QuotaMetrics& metrics_;
  std::mt19937_64 random_;
  PendingClaims pending_;
  bool sending_ = false;
  /// Time until which an unresponsive source or lender is skipped.
  std::map<Endpoint, MonotonicTime> unresponsiveUntil_;
  /// Lenders with a claim in flight.
  std::set<Endpoint> pendingLenders_;
  MonotonicTime lastAnswerAt_{};
};

}  // namespace calicodrift::quota
