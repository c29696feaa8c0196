#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/endpoint.h"
#include "http/client.h"
#include "http/server.h"
#include "quarantine/ledger_records.h"
#include "quarantine/messages.h"
#include "quarantine/metrics.h"
#include "quarantine/records.h"
#include "quarantine/served_parts.h"
#include "quarantine/sound_answers.h"
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

/// A request as the quarantine knows it.
struct RequestTraits {
  RequestFingerprint request;
  /// Parts of its prompt.
  std::vector<PartFingerprint> parts;
};

/// A request that was in flight at a server run that crashed.
struct CrashedRequest {
  RequestFingerprint request;
  /// Parts of its prompt that may have crashed the server.
  std::vector<PartFingerprint> parts;
  /// Those of them of which the attempt was a trial.
  std::vector<PartFingerprint> triedParts;
  /// How long the request had been in flight.
  Milliseconds underWay{0};
};

/// Permission to send a request to one server; its destruction tells the fleet that the attempt has
/// ended.
class Trial {
 public:
  Trial() = default;
  Trial(ServerRun server, std::vector<PartFingerprint> parts, std::function<void()> onEnd)
      : server_(server),
        parts_(std::move(parts)),
        end_(std::make_shared<EndNotifier>(std::move(onEnd))) {}

  /// Whether servers have crashed under the request before.
  bool isOfSuspect() const { return end_ != nullptr; }
  /// Server to send the request to, chosen so that no other suspect is tried there.
  ServerRun server() const { return server_; }
  /// Suspect parts of the prompt that are being tried.
  const std::vector<PartFingerprint>& parts() const { return parts_; }

 private:
  struct EndNotifier {
    explicit EndNotifier(std::function<void()> given) : onEnd(std::move(given)) {}
    ~EndNotifier() { onEnd(); }
    EndNotifier(const EndNotifier&) = delete;
    EndNotifier& operator=(const EndNotifier&) = delete;
    std::function<void()> onEnd;
  };

  ServerRun server_;
  std::vector<PartFingerprint> parts_;
  std::shared_ptr<EndNotifier> end_;
};

/// Keeps requests that crash their servers, and requests with a part of a prompt that does, away
/// from the servers of the whole fleet.
///
/// Each node holds the full state in its own ledger, so that a request that is not a suspect costs
/// at most a digest and a look-up, and nothing while no server has crashed under any request. News
/// is sent to the neighbours in the relay tree at once, and they answer after informing theirs. The
/// node where the news originates waits for that, for kBroadcastTimeout at most, before it answers
/// its caller or retries, so that the next attempt, at whichever node, meets a fleet that knows.
///
/// Attempts of suspects are admitted one at a time by the root with the lowest address. If no root
/// answers, only requests with one run against them and without suspect parts may proceed.
class QuarantineNode {
 public:
  QuarantineNode(QuarantineContext context, store::ObjectStore& store,
                 const std::string& recordKind, QuarantineMetrics& metrics,
                 const Records::UnreadableListener& onUnreadable, std::uint64_t seed);

  void start();
  /// Whether any request or part is tracked; if not, requests need no digests.
  bool tracksAny() const { return !ledger_.empty() || !parts_.empty(); }
  /// Records that a server was found gone; no request of this node needs to have been in flight
  /// there.
  void recordServerGone(const fleet::Server& server) {
    ledger_.recordIdleCrash(runOf(server), monotonicNow());
    parts_.recordCrashTime(runOf(server), monotonicNow());
  }
  /// Records a later run of a server than the list shows. Nodes are told with the next crash.
  void recordServerStart(const BackendId& server, Incarnation started) {
    static_cast<void>(ledger_.recordStart({server.value(), started.value()}));
  }
  /// Whether the request or a part of its prompt is under suspicion, so that it needs admission.
  bool needsAdmission(const RequestTraits& traits) const;
  /// Decides whether the request may be sent to a server now. Fails with kRequestBarred, or with
  /// kTrialUnderWay if another attempt is in flight in the fleet or no root can admit this one.
  /// @param choices servers that the attempt may go to, the best first.
  /// @param term time until the attempt has ended at the latest.
  boost::asio::awaitable<Result<Trial>> admit(RequestTraits traits, std::vector<ServerRun> choices,
                                              Milliseconds term);
  /// Records that a server process crashed while the request was in flight there. Returns when all
  /// reachable nodes have been informed, after kBroadcastTimeout at most.
  boost::asio::awaitable<void> recordCrash(CrashedRequest crashed, fleet::Server server);
  /// Records that the request completed.
  void recordServed(const RequestFingerprint& request) { clearRequest(request, "served"); }
  /// Records that a server gave a sound answer.
  void recordSoundAnswer(const fleet::Server& server) {
    soundAnswers_.record(serviceVersionOf(server), monotonicNow());
  }
  /// Records that these parts were in a request that a server gave a sound answer to. The last part
  /// is the request's own.
  void recordSoundParts(const std::vector<PartFingerprint>& parts);
  /// Serves other nodes at kReportPath and kTrialPath.
  boost::asio::awaitable<void> handle(http::Request& request, http::ResponseWriter& writer);
  /// Serves operators: GET lists barred and suspected requests and parts, POST with `?request=` or
  /// `?part=` lifts a bar.
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
  Error barredError(const RequestFingerprint& request);
  Error barredError(const PartFingerprint& part);
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
  void merge(const Suspect& suspect);
  void merge(const PartSuspect& suspect);
  void mergeReport(const SuspectReport& report);
  /// Adds the evidence that changed after `since` to the report.
  void addChanges(SuspectReport& report, std::uint64_t since) const;
  void logStandingChange(const RequestFingerprint& request, bool wasBarred) const;
  void logStandingChange(const PartFingerprint& part, Standing before) const;
  void clearRequest(const RequestFingerprint& request, const std::string& reason);
  void clearPart(const PartFingerprint& part, const std::string& reason);
  void recordPartCrashes(const CrashedRequest& crashed, const fleet::Server& server);
  /// Whether servers of this version have given sound answers since the part's first crash.
  bool versionIsSound(const PartFingerprint& part, const fleet::Server& server) const;

  boost::asio::awaitable<std::optional<TrialReply>> requestTrial(TrialRequest request);
  TrialReply decideTrial(const TrialRequest& request);
  boost::asio::awaitable<void> endTrial(TrialRequest request);
  /// Roots of the tree in the order in which they are asked, including this node if it is one.
  std::vector<Endpoint> admittingRoots() const;

  std::string listText() const;
  /// Clears the request or part that an operator names. @return whether it is tracked.
  bool liftBar(std::string_view target);

  QuarantineContext context_;
  QuarantineMetrics& metrics_;
  std::shared_ptr<ChangeCounter> changes_ = std::make_shared<ChangeCounter>();
  CrashLedger ledger_{CrashLedger::kMaxRequests, changes_};
  PartLedger parts_{changes_};
  SoundAnswers soundAnswers_;
  ServedParts servedParts_;
  TrialTable trials_;
  RequestRecordSource requestSource_{ledger_};
  PartRecordSource partSource_{parts_};
  Records records_;
  Records partRecords_;
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
