#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "common/endpoint.h"
#include "fleet/server_pool.h"
#include "http/client.h"
#include "relay/tree_broadcaster.h"
#include "relay/tree_position.h"
#include "server_limits/limit_table.h"
#include "server_limits/messages.h"
#include "server_limits/metrics.h"
#include "server_limits/refusal_limits.h"

namespace calicodrift::server_limits {

/// Dependencies of the exchange. All of them outlive it, and everything runs on one thread.
struct NoticeExchangeContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  relay::TreePosition tree;
  /// Holds the runs of servers that are leaving.
  fleet::ServerPool& pool;
  /// Names of all relay trees of the fleet, the name of this node's own tree, and a function that
  /// returns the roots of another tree. A single name if there is one tree.
  std::vector<std::string> trees;
  std::string ownTree;
  std::function<boost::asio::awaitable<std::vector<Endpoint>>(std::string tree)> rootsOfTree;
  /// Called when another node has reported a changed limit.
  std::function<void(const LimitRecord&)> onLimitLearnt;
  /// Called when another node has reported that a server refused a request for lack of capacity.
  /// @param pause time for which nodes without permits send the server nothing.
  /// @return whether that is new.
  std::function<bool(fleet::ServerKey server, Milliseconds pause)> onFullLearnt;
};

/// Distributes to all nodes what servers announce about themselves: their limits, and that they are
/// leaving. News is sent to the neighbours in the relay tree at once; with a new neighbour the full
/// state is exchanged.
class NoticeExchange {
 public:
  NoticeExchange(NoticeExchangeContext context, LimitTable& limits, RefusalLimits& refusalLimits,
                 ServerLimitMetrics& metrics);

  /// Synchronizes new neighbours and sends pending news to the others. Called at short intervals.
  boost::asio::awaitable<void> update();
  void announceLimits() { limitBroadcaster_.broadcastAsync(); }
  void announceLeaving() { leavingBroadcaster_.broadcastAsync(); }
  void announceFull() { fullBroadcaster_.broadcastAsync(); }
  void announceRefusalLimits() { refusalLimitBroadcaster_.broadcastAsync(); }
  /// Merges limits into the table, and reports those that changed to onLimitLearnt.
  void mergeLimits(const std::vector<LimitRecord>& records);
  /// Handles another node's report; returns the answer once this node's neighbours have been
  /// informed.
  boost::asio::awaitable<LimitReport> handleReport(LimitReport report);
  /// Whether this node has the state known to the other nodes.
  bool settled() const { return settled_; }

 private:
  relay::TreeBroadcastContext treeBroadcastContext(
      std::function<std::uint64_t()> version,
      std::function<LimitReport(std::uint64_t since)> changesSince);
  std::vector<Endpoint> neighbours() const;
  boost::asio::awaitable<void> findOtherTrees();
  std::uint64_t changes() const {
    return limits_.changes() + refusalLimits_.table().changes() + context_.pool.leaving().changes();
  }
  void synchronizeNewNeighbours();
  boost::asio::awaitable<void> synchronizeWith(Endpoint neighbour);
  boost::asio::awaitable<bool> push(Endpoint neighbour, LimitReport report, Milliseconds wait,
                                    Milliseconds timeout);
  boost::asio::awaitable<Result<LimitReport>> send(Endpoint neighbour, LimitReport report,
                                                   Milliseconds timeout);
  void merge(const LimitReport& report);
  void mergeLeaving(const std::vector<fleet::ServerKey>& runs);
  void mergeFull(const std::vector<FullServerRecord>& records);
  void mergeRefusalLimits(const std::vector<LimitRecord>& records);
  std::vector<FullServerRecord> fullSince(std::uint64_t change) const;

  NoticeExchangeContext context_;
  LimitTable& limits_;
  RefusalLimits& refusalLimits_;
  ServerLimitMetrics& metrics_;
  relay::TreeBroadcaster limitBroadcaster_;
  relay::TreeBroadcaster leavingBroadcaster_;
  relay::TreeBroadcaster fullBroadcaster_;
  relay::TreeBroadcaster refusalLimitBroadcaster_;
  std::set<Endpoint> synchronized_;
  std::set<Endpoint> synchronizing_;
  /// Roots of the other trees.
  std::vector<Endpoint> otherTreeRoots_;
  std::uint64_t otherTreeRootsChange_ = 0;
  bool settled_ = false;
};

}  // namespace calicodrift::server_limits
