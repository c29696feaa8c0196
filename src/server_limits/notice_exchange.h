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
#include "relay/news_spreader.h"
#include "relay/tree_place.h"
#include "server_limits/limit_table.h"
#include "server_limits/messages.h"
#include "server_limits/metrics.h"

namespace calicodrift::server_limits {

/// What the exchange needs of the node. All of it outlives it, on one thread.
struct NoticeExchangeContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  relay::TreePlace tree;
  /// Knows which runs of servers leave.
  fleet::ServerPool& pool;
  /// Names of all trees of the fleet and this node's own, and the roots of another one. A single
  /// name where there is one tree.
  std::vector<std::string> trees;
  std::string ownTree;
  std::function<boost::asio::awaitable<std::vector<Endpoint>>(std::string tree)> rootsOfTree;
  /// A limit was told by another node.
  std::function<void(const LimitFact&)> onLimitLearnt;
};

/// Tells all nodes what servers say of themselves: their limits, and that they leave. News goes to
/// the neighbours in the relay tree at once; a new neighbour is told, and asked for, everything.
class NoticeExchange {
 public:
  NoticeExchange(NoticeExchangeContext context, LimitTable& limits, ServerLimitMetrics& metrics);

  /// Greets new neighbours, and tells those that have not been told. Called at short intervals.
  boost::asio::awaitable<void> update();
  void tellLimits() { limitNews_.tellSoon(); }
  void tellLeaving() { leavingNews_.tellSoon(); }
  /// Takes the limits into the table, and tells of those that are news here.
  void mergeLimits(const std::vector<LimitFact>& facts);
  /// Another node's report; gives the answer to it once this node's neighbours were told.
  boost::asio::awaitable<LimitReport> takeReport(LimitReport report);
  /// Whether the node knows what the others know.
  bool settled() const { return settled_; }

 private:
  relay::NewsContext newsContext(std::function<std::uint64_t()> version,
                                 std::function<LimitReport(std::uint64_t since)> news);
  std::vector<Endpoint> neighbours() const;
  boost::asio::awaitable<void> findOtherTrees();
  std::uint64_t changes() const { return limits_.changes() + context_.pool.leaving().changes(); }
  void greetNeighbours();
  boost::asio::awaitable<void> greet(Endpoint neighbour);
  boost::asio::awaitable<bool> push(Endpoint neighbour, LimitReport report, Milliseconds wait,
                                    Milliseconds timeout);
  boost::asio::awaitable<Result<LimitReport>> send(Endpoint neighbour, LimitReport report,
                                                   Milliseconds timeout);
  void merge(const LimitReport& report);
  void mergeLeaving(const std::vector<fleet::ServerKey>& runs);

  NoticeExchangeContext context_;
  LimitTable& limits_;
  ServerLimitMetrics& metrics_;
  relay::NewsSpreader limitNews_;
  relay::NewsSpreader leavingNews_;
  std::set<Endpoint> greeted_;
  std::set<Endpoint> greeting_;
  /// Roots of the other trees.
  std::vector<Endpoint> otherTrees_;
  std::uint64_t otherTreesChange_ = 0;
  bool settled_ = false;
};

}  // namespace calicodrift::server_limits
