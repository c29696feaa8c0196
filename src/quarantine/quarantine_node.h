#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/endpoint.h"
#include "http/client.h"
#include "http/server.h"
#include "quarantine/messages.h"
#include "quarantine/metrics.h"
#include "quarantine/records.h"
#include "quarantine/trial_table.h"
#include "relay/tree_broadcaster.h"
#include "relay/tree_position.h"

namespace calicodrift::quarantine {

/// Dependencies of the quarantine. All of them outlive it, and everything runs on one thread.
struct QuarantineContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  relay::TreePosition tree;
  /// Whether this node reads the store itself.
  std::function<bool()> readsStore;
  /// Returns the roots of the fleet's other relay trees; empty function if there is one tree.
  std::function<boost::asio::awaitable<std::vector<Endpoint>>()> otherTrees = nullptr;
  /// Called when another node tells that a server has started again.
  std::function<void(const BackendId&, Incarnation)> onServerStart = nullptr;
};

/// Permission to send a request to one server; its destruction tells the fleet that the attempt has
/// ended.
class Trial {
 public:
  Trial() = default;
  explicit Trial(ServerRun server, std::function<void()> onEnd)
      : server_(server), end_(std::make_shared<EndNotifier>(std::move(onEnd))) {}

  /// Whether servers have crashed under the request before.
  bool isOfSuspect() const { return end_ != nullptr; }
  /// Server to send the request to, chosen so that no other suspect is tried there.
  ServerRun server() const { return server_; }

 private:
  struct EndNotifier {
    explicit EndNotifier(std::function<void()> given) : onEnd(std::move(given)) {}
    ~EndNotifier() { onEnd(); }
    EndNotifier(const EndNotifier&) = delete;
    EndNotifier& operator=(const EndNotifier&) = delete;
    std::function<void()> onEnd;
  };

  ServerRun server_;
  std::shared_ptr<EndNotifier> end_;
};

/// Keeps requests that crash their servers away from the servers of the whole fleet.
///
/// Each node holds the full state in its own ledger, so that a request that is not a suspect costs
/// at most a digest and a look-up, and nothing while no server has crashed under any request. News
/// is sent to the neighbours in the relay tree at once, and they answer after informing theirs. The
/// node where the news originates waits for that, for kBroadcastTimeout at most, before it answers
/// its caller or retries, so that the next attempt, at whichever node, meets a fleet that knows.
///
/// Attempts of suspects are admitted one at a time by the root with the lowest address. If no root
/// answers, only requests with one run against them may proceed.
class QuarantineNode {
 public:
  QuarantineNode(QuarantineContext context, store::ObjectStore& store, std::string recordKind,
                 QuarantineMetrics& metrics, Records::UnreadableListener onUnreadable,
                 std::uint64_t seed);

  void start();
  /// Whether any request is tracked; if not, requests need no digest.
  bool tracksAny() const { return !ledger_.empty(); }
  bool remembers(const RequestFingerprint& request) const { return ledger_.contains(request); }
  /// Records that a server was found gone; no request of this node needs to have been in flight
  /// there.
  void recordServerGone(const fleet::Server& server) {
    ledger_.recordIdleCrash(runOf(server), monotonicNow());
  }
  /// Records a later run of a server than the list shows. Nodes are told with the next crash.
  void recordServerStart(const BackendId& server, Incarnation started) {
    static_cast<void>(ledger_.recordStart({server.value(), started.value()}));
  }
  /// Decides whether the request may be sent to a server now. Fails with kRequestBarred, or with
  /// kTrialUnderWay if another attempt is in flight in the fleet or no root can admit this one.
  /// @param choices servers that the attempt may go to, the best first.
  /// @param term time until the attempt has ended at the latest.
  boost::asio::awaitable<Result<Trial>> admit(RequestFingerprint request,
                                              std::vector<ServerRun> choices, Milliseconds term);
  /// Records that a server process crashed while the request was in flight there. Returns when all
  /// reachable nodes have been informed, after kBroadcastTimeout at most.
  /// @param underWay how long the request had been in flight.
  boost::asio::awaitable<void> recordCrash(RequestFingerprint request, ServerRun run,
                                           Milliseconds underWay);
  /// Records that the request completed.
  void recordServed(const RequestFingerprint& request) { clearRequest(request, "served"); }
  /// Serves other nodes at kReportPath and kTrialPath.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  /// Serves operators: GET lists barred and suspected requests, POST with `?request=` lifts a bar.
  boost::asio::awaitable<void> answerOperator(http::Request& request, http::ResponseWriter& writer);
  /// Whether this node has the state of the store and the other nodes, or has stopped waiting for
  /// it.
  bool synchronized() const;
  void showMetrics();

  /// Time limit for informing all nodes.
  static constexpr Milliseconds kBroadcastTimeout = relay::TreeBroadcaster::kBroadcastTimeout;
  /// Timeout for an answer of the admitting root.
  static constexpr Milliseconds kAdmitTimeout{120};
  /// A starting node serves without the records after this time.
  static constexpr Milliseconds kMaxStartupTime{2000};
  /// Interval between checks for neighbours that have not been informed.
  static constexpr Milliseconds kInterval{250};

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> findOtherTrees();
  /// Creates a trial that reports its end to the admitting root.
  Trial makeTrial(ServerRun server, const TrialRequest& request);
  /// Requests the full state from the parent, if it is a new one.
  boost::asio::awaitable<void> synchronizeWithParent();
  std::vector<Endpoint> neighbours() const;
  relay::TreeBroadcastContext treeBroadcastContext();
  boost::asio::awaitable<bool> push(Endpoint neighbour, std::uint64_t since, Milliseconds wait,
                                    Milliseconds timeout);
  boost::asio::awaitable<Result<SuspectReport>> send(Endpoint neighbour, SuspectReport report,
                                                     Milliseconds time);
  boost::asio::awaitable<SuspectReport> handleReport(SuspectReport report);
  void merge(const std::vector<Suspect>& suspects);
  void mergeReport(const SuspectReport& report);
  void merge(const Suspect& suspect) { merge(std::vector<Suspect>{suspect}); }
  void logStandingChange(const RequestFingerprint& request, bool wasBarred) const;
  void clearRequest(const RequestFingerprint& request, const std::string& reason);

  boost::asio::awaitable<std::optional<TrialReply>> requestTrial(TrialRequest request);
  TrialReply decideTrial(const TrialRequest& request);
  boost::asio::awaitable<void> endTrial(TrialRequest request);
  /// Roots of the tree in the order in which they are asked, including this node if it is one.
  std::vector<Endpoint> admittingRoots() const;

  std::string listText() const;

  QuarantineContext context_;
  QuarantineMetrics& metrics_;
  CrashLedger ledger_;
  TrialTable trials_;
  Records records_;
  std::mt19937_64 random_;
  relay::TreeBroadcaster broadcaster_;
  std::vector<Endpoint> otherTreeRoots_;
  std::optional<Endpoint> synchronizedParent_;
  /// The parent is of an older build without this module.
  bool parentIsOlderBuild_ = false;
  bool settled_ = false;
  MonotonicTime startedAt_ = monotonicNow();
  /// Version of the ledger when the roots of other trees were last read.
  std::uint64_t otherTreeRootsVersion_ = 0;
  /// Lets trials that outlive the node detect that: a request that a planned stop cuts is destroyed
  /// after the node.
  std::shared_ptr<QuarantineNode*> self_ = std::make_shared<QuarantineNode*>(this);
};

}  // namespace calicodrift::quarantine
