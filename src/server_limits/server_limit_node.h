#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/array.hpp>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/endpoint.h"
#include "fleet/server_pool.h"
#include "http/client.h"
#include "http/server.h"
#include "relay/tree_place.h"
#include "server_limits/limit_table.h"
#include "server_limits/messages.h"
#include "server_limits/metrics.h"
#include "server_limits/notice_exchange.h"
#include "server_limits/root_silence.h"
#include "server_limits/unit_minter.h"

namespace calicodrift::server_limits {

/// What the head of a server's answer named: nothing, or a rate; an error where it can't be read.
using NamedLimit = Result<std::optional<double>>;

/// What the module needs of the node. All of it outlives it, on one thread.
struct ServerLimitContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  relay::TreePlace tree;
  /// The roots that give out units, this node too where it is one.
  std::function<std::vector<Endpoint>()> granters;
  /// Whether this node may do what only one root may do; when former roots have stopped doing so.
  std::function<bool()> mayGrant;
  std::function<MonotonicTime()> settledAt;
  fleet::ServerPool& pool;
  /// Until when the list of servers is known to have been the newest.
  std::function<MonotonicTime()> listProvenAt;
  /// Asks the server for its health; the head of its answer comes by noteHead().
  std::function<boost::asio::awaitable<void>(fleet::Server)> probe;
  /// Names of all trees of the fleet, this node's own, and the roots of another one. A single name
  /// where there is one tree.
  std::vector<std::string> trees;
  std::string ownTree;
  std::function<boost::asio::awaitable<std::vector<Endpoint>>(std::string tree)> rootsOfTree =
      nullptr;
};

/// Leave to send one request to a server.
struct UnitVerdict {
  bool granted = true;
  /// Whether a unit was taken for it: the server has a limit.
  bool tookUnit = false;
  /// Where it is refused: until a unit may come.
  Milliseconds wait{0};
};

/// Keeps the limits that servers name together with the other nodes.
///
/// What the head of an answer says goes to all nodes at once, along the relay tree. Each request to
/// a server with a limit takes a unit right before it is sent; one root gives them all out, the
/// first of the roots in an order that the server's key gives, so that the load is spread over them
/// and no list of nodes is needed. Where the fleet has several trees, the key chooses one first.
///
/// Who is that root is told by the list of roots. While it is being replaced nobody gives units
/// out; where it is silent and stays listed, as the store is away too, the next one does after
/// RootSilence::kTakeover.
class ServerLimitNode {
 public:
  ServerLimitNode(ServerLimitContext context, ServerLimitMetrics& metrics);

  void start();
  /// Whether any server has a limit: else no request needs a look.
  bool any() const { return table_.countLimited() > 0; }
  /// What is known of the server, to be told with what its answer says.
  /// Costs nothing while no server has a limit, as every naming is news then.
  LimitVersion versionOf(const fleet::Server& server) const {
    return any() ? table_.versionOf(fleet::keyOf(server)) : LimitVersion();
  }
  bool isLimited(const fleet::Server& server) const {
    return table_.limitOf(fleet::keyOf(server)).has_value();
  }
  /// Takes a unit for a request that is sent at once. Grants where the server has no limit.
  boost::asio::awaitable<UnitVerdict> take(fleet::Server server);
  /// The request has not reached the server after all.
  void giveBack(const fleet::Server& server);
  /// What the head of an answer said.
  /// @param seen versionOf() when the request was sent.
  void noteHead(const fleet::Server& server, LimitVersion seen, const NamedLimit& named);
  /// A server has told this node that it leaves, and the pool knows: tells all other nodes.
  void tellLeaving() { notices_.tellLeaving(); }
  /// Answers other nodes at kReportPath and kUnitPath.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  /// Answers operators with the limits in force, and the servers that leave or rest.
  boost::asio::awaitable<void> answerOperator(http::ResponseWriter& writer) const;
  /// Whether the node knows what the others know, or they can't be asked now.
  bool synchronized() const;
  void showMetrics() { metrics_.setLimited(table_.countLimited()); }

  /// For a root's answer about a unit: many times the way between two zones and back.
  static constexpr Milliseconds kUnitTimeout{120};
  /// The same where the unit may come from another tree: some ways there and back between regions.
  static constexpr Milliseconds kFarUnitTimeout{600};
  /// A server that got no request for so long is asked for its health, as it says nothing else.
  static constexpr Milliseconds kQuiet{1000};
  /// The same where its limit has no unit for that.
  static constexpr Milliseconds kLongestQuiet{4000};
  /// A node that starts serves without the others' limits after so long.
  static constexpr Milliseconds kLongestStart{2000};
  static constexpr Milliseconds kInterval{250};
  /// A refusal holds for no longer at this node, so that a limit that is lifted is found soon.
  static constexpr Milliseconds kLongestRefusal{1000};

 private:
  boost::asio::awaitable<void> run();
  NoticeExchangeContext exchangeContext();
  std::optional<fleet::Server> serverOf(fleet::ServerKey run) const;
  void onLimitLearnt(const LimitFact& fact);
  /// Forgets what is known of runs that have gone.
  void forgetGone(MonotonicTime now);
  /// Roots of this tree in the order in which they give out the server's units.
  std::vector<Endpoint> order(fleet::ServerKey server) const;
  const std::string& treeOf(fleet::ServerKey server) const;
  boost::asio::awaitable<UnitReply> ask(UnitRequest request);
  boost::asio::awaitable<UnitReply> call(Endpoint root, UnitRequest request, Milliseconds timeout);
  boost::asio::awaitable<UnitReply> callTree(std::string tree, UnitRequest request);
  /// As a root that was asked.
  boost::asio::awaitable<UnitReply> decide(UnitRequest request);
  /// As the root that gives out the server's units.
  UnitReply mint(const UnitRequest& request);
  UnitReply emptyReply(const UnitRequest& request) const;
  /// Roots that give out the server's units before this one does.
  std::vector<Endpoint> rootsBefore(fleet::ServerKey server) const;
  /// Whether this node gives out the server's units.
  bool owns(fleet::ServerKey server) const;
  void disown(fleet::ServerKey server);
  /// Ends what this node gives out no more, and asks servers that got no request for a while.
  void lookAfterOwned();
  /// Whether the server got no request for a while and may get one now; takes its unit if so.
  bool isQuiet(const LimitFact& limit, MonotonicTime now);
  boost::asio::awaitable<void> probe(fleet::Server server);
  /// Listed servers that leave, and those at rest for this node, for operators.
  boost::json::array leavingList() const;
  boost::json::array restingList() const;
  Milliseconds unitTimeout() const;

  ServerLimitContext context_;
  ServerLimitMetrics& metrics_;
  LimitTable table_;
  UnitMinter minter_;
  NoticeExchange notices_;
  /// When this node asked a server itself, or began to give out its units.
  std::unordered_map<fleet::ServerKey, MonotonicTime> probedAt_;
  /// No unit comes before that, as the root said.
  std::unordered_map<fleet::ServerKey, MonotonicTime> refusedUntil_;
  RootSilence silence_;
  std::unordered_set<fleet::ServerKey> probing_;
  /// Whose unreadable limit was logged.
  std::unordered_set<fleet::ServerKey> unreadable_;
  MonotonicTime startedAt_ = monotonicNow();
  MonotonicTime forgotAt_ = monotonicNow();
  bool listIsNew_ = false;
};

}  // namespace calicodrift::server_limits
