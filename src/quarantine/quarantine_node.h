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
#include "relay/news_spreader.h"
#include "relay/tree_place.h"

namespace calicodrift::quarantine {

/// What the quarantine needs of the node. All of it outlives it, on one thread.
struct QuarantineContext {
  boost::asio::any_io_executor executor;
  http::Client& client;
  relay::TreePlace tree;
  /// Whether this node reads the store itself.
  std::function<bool()> readsStore;
  /// The roots of the fleet's other trees; empty where there is one tree.
  std::function<boost::asio::awaitable<std::vector<Endpoint>>()> otherTrees = nullptr;
};

/// Leave to send a request to one server; tells the fleet that it has ended when it is destroyed.
class Trial {
 public:
  Trial() = default;
  explicit Trial(ServerRun server, std::function<void()> onEnd)
      : server_(server), end_(std::make_shared<Ending>(std::move(onEnd))) {}

  /// Whether servers have ended under the request before.
  bool ofSuspect() const { return end_ != nullptr; }
  /// Where the request is to go, so that no other suspect is tried there.
  ServerRun server() const { return server_; }

 private:
  struct Ending {
    explicit Ending(std::function<void()> given) : onEnd(std::move(given)) {}
    ~Ending() { onEnd(); }
    Ending(const Ending&) = delete;
    Ending& operator=(const Ending&) = delete;
    std::function<void()> onEnd;
  };

  ServerRun server_;
  std::shared_ptr<Ending> end_;
};

/// Keeps requests that end their servers from the servers of the whole fleet.
///
/// Each node has all that is known in its own ledger, so that a request that is no suspect costs a
/// digest and a look-up at most, and nothing while no server has ended under any. What is new goes
/// to the neighbours in the relay tree at once, who answer when they have told theirs: a node that
/// has told it waits for that, kTellTime at most, before it answers its caller or tries again. So
/// the next attempt, at whichever node, meets a fleet that knows.
///
/// Attempts of suspects are admitted one at a time by the root with the lowest address. Where no
/// root answers, only requests with one run against them go on.
class QuarantineNode {
 public:
  QuarantineNode(QuarantineContext context, store::ObjectStore& store, std::string recordKind,
                 QuarantineMetrics& metrics, Records::UnreadableListener onUnreadable,
                 std::uint64_t seed);

  void start();
  /// Whether any request is remembered. Else no request needs a digest.
  bool remembersAny() const { return !ledger_.empty(); }
  bool remembers(const RequestFingerprint& request) const { return ledger_.contains(request); }
  /// A server was found gone; nothing of this node's needs to have been under way there.
  void noteServerGone(const fleet::Server& server) {
    ledger_.noteIdleEnd(runOf(server), monotonicNow());
  }
  /// Whether the request may be sent to a server now. Fails with kRequestBarred, or with
  /// kTrialUnderWay where another attempt is under way in the fleet or no root can admit this one.
  /// @param choices servers that the attempt may go to, the best first.
  /// @param term until the attempt has ended at the latest.
  boost::asio::awaitable<Result<Trial>> admit(RequestFingerprint request,
                                              std::vector<ServerRun> choices, Milliseconds term);
  /// A server's process has ended while the request was under way there. Returns when all nodes
  /// that can be reached know, after kTellTime at most.
  /// @param underWay for how long it had been there.
  boost::asio::awaitable<void> noteEnded(RequestFingerprint request, ServerRun run,
                                         Milliseconds underWay);
  /// The request ran to its end.
  void noteServed(const RequestFingerprint& request) { lift(request, "served"); }
  /// Answers other nodes at kReportPath and kTrialPath.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  /// Answers operators: GET lists what is barred and suspected, POST with `?request=` lifts a bar.
  boost::asio::awaitable<void> answerOperator(http::Request& request, http::ResponseWriter& writer);
  /// Whether what the store and other nodes keep was read, or can't be had now.
  bool synchronized() const;
  void showMetrics();

  /// For all nodes to be told.
  static constexpr Milliseconds kTellTime = relay::NewsSpreader::kTellTime;
  /// For an answer of the root that admits.
  static constexpr Milliseconds kAdmitTime{120};
  /// A node that starts serves without the records after so long.
  static constexpr Milliseconds kLongestStart{2000};
  /// Between two looks at who has not been told.
  static constexpr Milliseconds kInterval{250};

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> findOtherTrees();
  /// Ends with the attempt.
  Trial makeTrial(ServerRun server, const TrialRequest& request);
  /// Asks the parent for all that it knows, where it is a new one.
  boost::asio::awaitable<void> greetParent();
  std::vector<Endpoint> neighbours() const;
  relay::NewsContext newsContext();
  boost::asio::awaitable<bool> push(Endpoint neighbour, std::uint64_t since, Milliseconds wait,
                                    Milliseconds timeout);
  boost::asio::awaitable<Result<SuspectReport>> send(Endpoint neighbour, SuspectReport report,
                                                     Milliseconds time);
  boost::asio::awaitable<SuspectReport> take(SuspectReport report);
  void merge(const std::vector<Suspect>& suspects);
  void merge(const Suspect& suspect) { merge(std::vector<Suspect>{suspect}); }
  void logBar(const RequestFingerprint& request, bool wasBarred) const;
  void lift(const RequestFingerprint& request, const std::string& reason);

  boost::asio::awaitable<std::optional<TrialReply>> askForTrial(TrialRequest request);
  TrialReply decideTrial(const TrialRequest& request);
  boost::asio::awaitable<void> endTrial(TrialRequest request);
  /// Roots of the tree in the order in which they are asked; this node too, where it is one.
  std::vector<Endpoint> admitters() const;

  std::string listText() const;

  QuarantineContext context_;
  QuarantineMetrics& metrics_;
  CrashLedger ledger_;
  TrialTable trials_;
  Records records_;
  std::mt19937_64 random_;
  relay::NewsSpreader news_;
  std::vector<Endpoint> otherTrees_;
  std::optional<Endpoint> greeted_;
  /// The parent takes no part: its build is older.
  bool parentIsOlder_ = false;
  bool settled_ = false;
  MonotonicTime startedAt_ = monotonicNow();
  /// Version of the ledger when the roots of other trees were read last.
  std::uint64_t otherTreesVersion_ = 0;
  /// Tells trials that outlive the node: a request that a planned stop cuts is destroyed after it.
  std::shared_ptr<QuarantineNode*> self_ = std::make_shared<QuarantineNode*>(this);
};

}  // namespace calicodrift::quarantine
