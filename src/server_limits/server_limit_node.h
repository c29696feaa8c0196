#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json/array.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/endpoint.h"
#include "fleet/server_pool.h"
#include "http/client.h"
#include "http/server.h"
#include "relay/tree_position.h"
#include "server_limits/held_permits.h"
#include "server_limits/limit_table.h"
#include "server_limits/messages.h"
#include "server_limits/metrics.h"
#include "server_limits/notice_exchange.h"
#include "server_limits/permit_issuer.h"
#include "server_limits/refusal_limits.h"
#include "server_limits/root_silence.h"
#include "server_limits/unit_issuer.h"

namespace calicodrift::server_limits {

/// Limit named in the head of a server's answer: none, or a rate; an error if it cannot be parsed.
using NamedLimit = Result<std::optional<double>>;

/// Dependencies of the module. All of them outlive it, and everything runs on one thread.
struct ServerLimitContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  relay::TreePosition tree;
  /// Roots that issue units, including this node if it is one.
  std::function<std::vector<Endpoint>()> grantingRoots;
  /// Whether this node may issue units, which only one root at a time may do.
  std::function<bool()> mayGrant;
  /// Time from which former roots have stopped issuing the units that this node may issue now.
  std::function<MonotonicTime()> settledAt;
  fleet::ServerPool& pool;
  /// Latest time at which the list of servers is known to have been current.
  std::function<MonotonicTime()> listFreshAt;
  /// Probes the server's health; the head of its answer is passed to recordAnswerHead().
  std::function<boost::asio::awaitable<void>(fleet::Server)> probe;
  /// Names of all relay trees of the fleet, the name of this node's own tree, and a function that
  /// returns the roots of another tree. A single name if there is one tree.
  std::vector<std::string> trees;
  std::string ownTree;
  std::function<boost::asio::awaitable<std::vector<Endpoint>>(std::string tree)> rootsOfTree =
      nullptr;
};

/// Permission to send one request to a server.
struct UnitResult {
  bool granted = true;
  /// Whether a unit was taken, which means that the server has a limit.
  bool usedLimitUnit = false;
  /// If refused: time until a unit may be available.
  Milliseconds wait{0};
};

/// Permission to have one request in flight at a server.
struct PermitResult {
  bool granted = true;
  /// Number of the permit; empty if the request got none, because it needs none or its issuer does
  /// not know permits.
  std::optional<std::uint64_t> number;
  /// If refused: when to ask again, and whether an issuer was asked for it now.
  Milliseconds wait{0};
  bool asked = false;
};

/// How a request that held a permit ended.
enum class PermitEnd {
  /// The server accepted it.
  kEnded,
  /// The server refused it for lack of capacity.
  kRefused,
  /// No server got it, or it says nothing about the server's capacity.
  kReturned,
};

/// Enforces, together with the other nodes, the limits that servers name.
///
/// The limit in the head of an answer is sent to all nodes at once, along the relay tree. Each
/// request to a limited server takes a unit right before it is sent. One root issues all units of a
/// server: the first of the roots as ranked by the server's key, which spreads the load over the
/// roots and needs no list of nodes. If the fleet has several trees, the key selects the tree
/// first.
///
/// The list of roots determines that root. While it is being replaced, nobody issues units. If it
/// is silent but stays listed, as the store is unavailable too, the next root takes over after
/// RootSilence::kTakeoverDelay.
///
/// The same root issues permits for servers that fail if they have to refuse many requests: each
/// request that such a server might refuse holds one while it is in flight. Without an issuer, such
/// a server gets none of these requests.
class ServerLimitNode {
 public:
  ServerLimitNode(ServerLimitContext context, ServerLimitMetrics& metrics);

  void start();
  /// Whether any server has a limit; if not, requests need no look-up.
  bool any() const { return table_.countLimited() > 0; }
  /// Known version of the server's limit, to be passed to recordAnswerHead() with the answer. Free
  /// while no server has a limit, as any named limit is new then.
  LimitVersion versionOf(const fleet::Server& server) const {
    return any() ? table_.versionOf(fleet::keyOf(server)) : LimitVersion();
  }
  bool isLimited(const fleet::Server& server) const {
    return table_.limitOf(fleet::keyOf(server)).has_value();
  }
  /// Takes a unit for a request that is sent immediately afterwards. Always grants if the server
  /// has no limit.
  boost::asio::awaitable<UnitResult> take(fleet::Server server);
  /// For how long after it was asked for a unit may be used. Units that are used later than others
  /// add to theirs at the server.
  Milliseconds unitTerm() const;
  /// Returns the unit of a request that did not reach the server.
  void giveBack(const fleet::Server& server);
  /// Records the head of an answer.
  /// @param seen versionOf() when the request was sent.
  void recordAnswerHead(const fleet::Server& server, LimitVersion seen, const NamedLimit& named);
  /// Informs all other nodes of a server that announced to this node that it is leaving; the pool
  /// already knows.
  void announceLeaving() { notices_.announceLeaving(); }
  /// Whether requests may need units or permits; if not, they need no look-up.
  bool restrictsAny() const { return any() || refusalLimits_.any(monotonicNow()); }
  /// Whether the server fails if it has to refuse many requests.
  bool isSpared(const fleet::Server& server) const {
    const MonotonicTime now = monotonicNow();
    return refusalLimits_.any(now) && refusalLimits_.limitOf(server, now).has_value();
  }
  /// Whether a request to the server needs a permit now.
  /// @param counted whether this node's load on the server contains the request already.
  bool needsPermit(const fleet::Server& server, bool counted = false);
  /// Acquires a permit, to be returned with endPermit(). Always grants if the server needs none.
  boost::asio::awaitable<PermitResult> acquirePermit(fleet::Server server);
  /// Ends the permit of a request.
  void endPermit(const fleet::Server& server, std::uint64_t number, PermitEnd end);
  /// Tells the issuer of a refusal of a request that had no permit.
  void reportRefusal(const fleet::Server& server);
  /// Like versionOf() and recordAnswerHead(), for the refusals per second that a server bears.
  LimitVersion refusalVersionOf(const fleet::Server& server) const {
    return refusalLimits_.versionOf(fleet::keyOf(server));
  }
  void recordRefusalLimit(const fleet::Server& server, LimitVersion seen, const NamedLimit& named);
  /// Records that a server has refused a request for lack of capacity, and informs all other nodes.
  /// @param pause time for which nodes without permits send the server nothing.
  /// @return whether that is new.
  bool recordFull(const fleet::Server& server, Milliseconds pause);
  /// Serves other nodes at kReportPath and kUnitPath.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  /// Serves operators the limits in force, and the servers that are leaving or in backoff.
  boost::asio::awaitable<void> answerOperator(http::ResponseWriter& writer) const;
  /// Whether this node has the state of the other nodes, or has stopped waiting for it.
  bool synchronized() const;
  void showMetrics() {
    metrics_.setLimited(table_.countLimited());
    metrics_.setSpared(refusalLimits_.table().countLimited());
  }

  /// Timeout for a root's answer to a unit request: many times the RTT between two zones.
  static constexpr Milliseconds kUnitTimeout{120};
  /// The same if the unit may come from another tree: several RTTs between regions.
  static constexpr Milliseconds kCrossTreeUnitTimeout{600};
  /// Terms of units that come from the own tree, and that may come from another one.
  static constexpr Milliseconds kUnitTerm{150};
  static constexpr Milliseconds kCrossTreeUnitTerm{300};
  /// A server that got no request for this long is probed, as it announces changes only in its
  /// answers.
  static constexpr Milliseconds kProbeAfter{1000};
  /// The same if the limit has no unit left for the probe.
  static constexpr Milliseconds kMaxProbeDelay{4000};
  /// A starting node serves without the limits of the others after this time.
  static constexpr Milliseconds kMaxStartupTime{2000};
  static constexpr Milliseconds kInterval{250};
  /// Upper bound of how long this node remembers a refusal, so that a lifted limit is noticed soon.
  static constexpr Milliseconds kMaxRefusalTime{1000};

 private:
  boost::asio::awaitable<void> run();
  NoticeExchangeContext exchangeContext();
  std::optional<fleet::Server> serverOf(fleet::ServerKey run) const;
  void onLimitLearnt(const LimitRecord& record);
  /// Removes the state of runs that are gone.
  void removeUnlisted(MonotonicTime now);
  /// Roots of this tree in order of precedence for issuing the server's units.
  std::vector<Endpoint> rankedRoots(fleet::ServerKey server) const;
  const std::string& treeFor(fleet::ServerKey server) const;
  boost::asio::awaitable<UnitReply> ask(UnitRequest request);
  boost::asio::awaitable<UnitReply> call(Endpoint root, UnitRequest request, Milliseconds timeout);
  boost::asio::awaitable<UnitReply> forwardToTree(std::string tree, UnitRequest request);
  /// Handles a unit request as a root.
  boost::asio::awaitable<UnitReply> decide(UnitRequest request);
  /// Handles a request as the root that issues the server's units and permits.
  UnitReply issue(const UnitRequest& request);
  UnitReply issueUnit(const UnitRequest& request);
  UnitReply issuePermit(const UnitRequest& request);
  UnitReply undecidedReply(const UnitRequest& request) const;
  /// Roots that take precedence over this node in issuing the server's units.
  std::vector<Endpoint> precedingRoots(fleet::ServerKey server) const;
  /// Whether this node issues the server's units.
  bool issuesUnitsFor(fleet::ServerKey server) const;
  void stopIssuing(fleet::ServerKey server);
  ServerCapacity capacityOf(const UnitRequest& request) const;
  UnitRequest permitRequest(const fleet::Server& server, PermitOperation operation,
                            std::uint64_t number) const;
  void sendPermitRequest(UnitRequest request);
  bool onFullLearnt(fleet::ServerKey server, Milliseconds pause);
  void updateServiceLoads(MonotonicTime now);
  /// Renews this node's permits, and drops those that it no longer issues.
  void maintainPermits();
  /// Drops servers whose units this node no longer issues, and probes those that got no request for
  /// a while.
  void maintainIssuedServers();
  /// Whether the server got no request for a while and may get a probe now; takes the unit for it
  /// if so.
  bool needsProbe(const LimitRecord& limit, MonotonicTime now);
  boost::asio::awaitable<void> probe(fleet::Server server);
  /// Listed servers that are leaving, and servers in backoff at this node, for operators.
  boost::json::array leavingList() const;
  boost::json::array backoffList() const;
  boost::json::array sparedList() const;
  Milliseconds unitTimeout() const;

  ServerLimitContext context_;
  ServerLimitMetrics& metrics_;
  LimitTable table_;
  RefusalLimits refusalLimits_;
  UnitIssuer issuer_;
  PermitIssuer permits_;
  HeldPermits heldPermits_;
  NoticeExchange notices_;
  std::mt19937_64 random_;
  /// Identifies this process among the holders of permits.
  std::uint64_t holder_;
  std::uint64_t lastPermit_ = 0;
  /// Time before which no permit is available, as told by the issuing root.
  std::unordered_map<fleet::ServerKey, MonotonicTime> noPermitUntil_;
  /// Whether the last answer about a permit came from a build without permits.
  bool issuerIsOlder_ = false;
  /// When this node last probed the server, or started to issue its units.
  std::unordered_map<fleet::ServerKey, MonotonicTime> probedAt_;
  /// Time before which no unit is available, as told by the issuing root.
  std::unordered_map<fleet::ServerKey, MonotonicTime> refusedUntil_;
  RootSilence rootSilence_;
  std::unordered_set<fleet::ServerKey> probing_;
  /// Servers whose unreadable limit has been logged.
  std::unordered_set<fleet::ServerKey> unreadable_;
  MonotonicTime startedAt_ = monotonicNow();
  MonotonicTime lastExpiryAt_ = monotonicNow();
  bool listIsFresh_ = false;
};

}  // namespace calicodrift::server_limits
