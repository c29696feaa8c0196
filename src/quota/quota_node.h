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

/// What this node knows of the tree. All of it outlives the quota node, on one thread.
struct QuotaNodeContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  std::function<NodePlace()> place;
  /// Whom a follower asks first.
  std::function<std::optional<Endpoint>()> parent;
  /// The roots of the tree but this node, as last heard.
  std::function<std::vector<Endpoint>()> roots;
  /// The roots of the other trees of the fleet; empty where there is one tree.
  std::function<boost::asio::awaitable<std::vector<Endpoint>>()> lenders = nullptr;
  /// How old the proof is that this node's view of the tree is the newest. Always needed where
  /// there are lenders.
  std::function<Milliseconds()> viewAge = nullptr;
  /// With an older view this node lends nothing: it may have been replaced as a root, and what it
  /// would lend is minted by its successor too.
  Milliseconds longestLendingAge{0};
};

/// What a request gets under its tenant's limit.
struct QuotaVerdict {
  bool granted = true;
  /// Where it is refused: when to come back, spread over callers.
  Milliseconds comeBack{0};
  /// For the log: the limit, what this node held, and how old the last answer of its source is.
  std::string facts;
};

/// Keeps each tenant's limit together with the other nodes: claims what this node lacks, and
/// answers the claims of others. While one batch of claims is under way the next ones are
/// collected, so that a node has one question at a time, however many requests it serves.
class QuotaNode {
 public:
  QuotaNode(QuotaNodeContext context, QuotaBounds bounds, QuotaMetrics& metrics,
            std::uint64_t seed);

  void start();
  void applyLimits(const std::map<TenantId, TenantLimit>& limits);
  /// Whether any tenant has a limit.
  bool limitsAny() const { return core_.limitsAny(); }
  /// Takes the units out of the tenant's limit. Waits for other nodes for kSourceTimeout a source
  /// at most.
  boost::asio::awaitable<QuotaVerdict> take(const TenantId& tenant, double units);
  /// The request has not run after all.
  void giveBack(const TenantId& tenant, double units);
  /// Answers another node's claims.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);

  /// For one source's answer: many times the way between two zones and back, over some nodes.
  static constexpr Milliseconds kSourceTimeout{120};
  /// For a lender's answer: some ways there and back between regions, where 160 ms is long.
  static constexpr Milliseconds kLenderTimeout{600};
  /// Between two questions to lenders: a few in each term of what they lend.
  static constexpr Milliseconds kBorrowInterval{100};

 private:
  /// A claim that waits for a source, or has its decision.
  struct Waiting {
    Waiting(const boost::asio::any_io_executor& executor, Claim given)
        : claim(given), decided(executor) {}

    Claim claim;
    std::uint32_t hops = 0;
    std::optional<Decision> decision;
    /// Cancelled when the decision is there.
    boost::asio::steady_timer decided;
  };
  using WaitingList = std::vector<std::shared_ptr<Waiting>>;

  boost::asio::awaitable<void> pulse();
  /// Borrows from the roots of other trees what this root's part lacks, while nobody waits for it.
  boost::asio::awaitable<void> borrow();
  /// Lenders that answered of late and are not being asked now.
  std::vector<Endpoint> idleLenders(const std::vector<Endpoint>& lenders) const;
  boost::asio::awaitable<void> borrowFrom(Endpoint lender, std::vector<Claim> claims);
  void refreshPlace(MonotonicTime now) { core_.setPlace(context_.place(), now); }
  /// Queues a claim for the next batch.
  std::shared_ptr<Waiting> enqueue(const Claim& claim, std::uint32_t hops);
  boost::asio::awaitable<Decision> decisionOf(std::shared_ptr<Waiting> waiting);
  boost::asio::awaitable<void> sendBatches();
  boost::asio::awaitable<void> settle(WaitingList batch);
  boost::asio::awaitable<Result<ClaimReply>> ask(ClaimBatch message);
  /// Whom to ask, the nearest first.
  std::vector<Endpoint> sources() const;
  boost::asio::awaitable<ClaimReply> answer(ClaimBatch batch);
  bool mayLend() const;
  QuotaVerdict refusal(TenantKey tenant, Milliseconds wait);

  QuotaNodeContext context_;
  QuotaCore core_;
  QuotaMetrics& metrics_;
  std::mt19937_64 random_;
  WaitingList pending_;
  bool sending_ = false;
  /// A source that was silent is passed over until then.
  std::map<Endpoint, MonotonicTime> silentUntil_;
  /// Lenders whose answer is awaited.
  std::set<Endpoint> asked_;
  MonotonicTime answeredAt_{};
};

}  // namespace calicodrift::quota
