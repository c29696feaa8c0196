#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "peer/transport.h"
#include "stream_versions/archive_segment.h"
#include "stream_versions/messages.h"
#include "stream_versions/metrics.h"
#include "stream_versions/record_table.h"
#include "stream_versions/version_history.h"

namespace calicodrift::stream_versions {

struct VersionCoreSettings {
  /// Endpoint at which other nodes reach this one; port 0: it has no others.
  Endpoint endpoint;
  /// Longest time from a stream's first event to a caller's last return.
  Milliseconds streamLife{30'000};
  /// Beside a list of servers that is proven no newer streams are recorded.
  Milliseconds maxListAge{5000};
  /// When a question is sent again to keepers that have not answered, and when these are given up.
  Milliseconds resendAfter{15};
  Milliseconds giveUpAfter{60};
  /// When a node asks for a proof of its own list, as no root has told of one.
  Milliseconds ownProofAfter{30};
  /// When a question is given up for which no proof has come.
  Milliseconds proofTimeout{300};
};

/// How the version of a stream is known.
enum class VersionSource {
  /// This node has kept it.
  kOwnRecord,
  /// Another node has kept it.
  kKeeper,
  /// The service has had no other version since the stream can have begun, by a list that was
  /// proven after the caller came back.
  kOnlyVersion,
  /// The caller names no attempt, so that no record can be found, and no node has seen another
  /// version.
  kOnlySeenVersion,
  kUnknown,
};
std::string_view toString(VersionSource source);

/// The answer to the question for a stream's version.
struct Resolution {
  VersionSource source = VersionSource::kUnknown;
  /// Empty if unknown, and of servers that tell no version.
  SoftwareVersion version;
  /// Age of the record, if this node has kept it.
  std::optional<Milliseconds> age;
  /// Whether all nodes that may have a record have answered and no proof is missing, so that the
  /// same question has the same answer.
  bool final = true;

  bool known() const { return source != VersionSource::kUnknown; }
};

/// Decides which software version a stream has to go on at. Does no I/O of its own: messages leave
/// through the transport, and the clock is the caller's.
///
/// A stream is recorded when its first event arrives, before the caller gets it, at this node and
/// at kCopies others that its key selects, so that any node finds the record after this node has
/// gone. One root of the relay tree also gets each record for the store's archive, as no node's
/// memory survives a loss of all nodes. Nothing is recorded while the service can only have had one
/// version; once a second one is listed, the streams that are under way or have broken off lately
/// are recorded.
///
/// Invariant: no version is reported that another version may be in place of: a record holds the
/// version of the server that sent the event, and without one the version must have been the only
/// one since the stream can have begun. A node knows that of the time in which it has followed the
/// list without a gap, and a root of the time before from the archive. As any node may be out of
/// step, the list must be proven newer than the return: the stream's server was listed before.
/// Roots prove their lists for the nodes that ask them, so that many returns cost few calls.
class VersionCore {
 public:
  using Listener = std::function<void(const Resolution&)>;
  using Archive = std::function<void(StreamKey, const SoftwareVersion&)>;
  using ProofRequest = std::function<void()>;

  /// The transport and the metrics outlive the core.
  VersionCore(VersionCoreSettings settings, peer::Transport& transport,
              StreamVersionMetrics& metrics, std::function<MonotonicTime()> clock);

  /// Sets the nodes that keep records, as far as known.
  void setKeepers(std::vector<Endpoint> keepers);
  const std::vector<Endpoint>& keepers() const { return keepers_; }
  /// Sets the roots of the relay tree, including this node if it is one; one of them archives each
  /// record, and all know what was archived before they started.
  void setRoots(std::vector<Endpoint> roots) { roots_ = std::move(roots); }
  /// Sets what keeps records in the store; called for those that this node, as a root, archives.
  void setArchive(Archive archive) { archive_ = std::move(archive); }
  /// Takes in records that were archived before this node started. Until then this node, if it is a
  /// root, does not answer for streams that it does not know.
  void applyArchive(const Archived& archived, WallTime wallNow);
  /// Sets what asks for a newer proof of the listing; called while needsProof(). The proof comes by
  /// applyListing() or setListingProvenAt().
  void setProofRequest(ProofRequest request) { requestProof_ = std::move(request); }
  /// Whether a question waits for a newer proof of the listing.
  bool needsProof();
  /// @param provenAt until when the listing is known to have been the newest.
  void applyListing(const VersionListing& listing, MonotonicTime provenAt);
  /// The listing has not changed, and was proven to be the newest again.
  void setListingProvenAt(MonotonicTime provenAt);
  /// See VersionHistory::noteListed() and noteMissedChanges().
  void noteListed(const std::string& service, const SoftwareVersion& version) {
    history_.noteListed(service, version, clock_());
  }
  void noteMissedChanges() { history_.noteMissedChanges(clock_()); }

  /// A stream begins, or goes on here: its first event is about to go to the caller.
  void begin(StreamKey stream, const std::string& service, const SoftwareVersion& version);
  /// The stream has ended here. One that has broken off may be taken up again elsewhere.
  void end(StreamKey stream, bool whole);
  /// Calls the listener once, possibly at once, and after proofTimeout at the latest; a process
  /// that stands still meanwhile reads what has arrived first.
  /// @param attemptNamed whether the caller names the attempt that began the stream. Callers that
  /// do not are of deployments without several versions: what was seen is enough for them.
  void resolve(StreamKey stream, const std::string& service, Listener listener,
               bool attemptNamed = true);
  /// Sends the records of streams that are not whole again, as keepers may have started again and
  /// others may have taken their places, and those that have become necessary because the list of
  /// servers has grown old. Called a few times within kRenewInterval.
  void renewRecords();
  /// Sends questions again and gives them up; called at nextTick().
  void tick();
  /// Empty while no question is open.
  std::optional<MonotonicTime> nextTick() const;
  const VersionHistory& history() const { return history_; }
  std::size_t recordCount() const { return records_.size(); }

  /// Nodes that keep a record beside the one that served the stream.
  static constexpr std::size_t kCopies = 3;
  /// Nodes that are asked: one more, as the node that served the stream may rank among them.
  static constexpr std::size_t kAskedKeepers = kCopies + 1;
  /// Interval between two sendings of the record of a stream that lasts.
  static constexpr Milliseconds kRenewInterval{5000};
  /// Streams that have broken off and are remembered, for streamLife at most.
  static constexpr std::size_t kMaxBrokenStreams = 4096;
  /// Questions of other nodes that wait for a proof; further ones get none.
  static constexpr std::size_t kMaxProofQuestions = 4096;

 private:
  struct Question {
    StreamKey stream;
    std::string service;
    bool attemptNamed = true;
    Listener listener;
    /// When the caller came back.
    MonotonicTime askedAt;
    MonotonicTime resendAt;
    MonotonicTime proofDueAt;
    /// When keepers that have not answered are given up, and when the question is.
    MonotonicTime answersEnd;
    MonotonicTime end;
    /// When it is to be looked at next.
    MonotonicTime dueAt;
    bool proofRequested = false;
    /// Whether its times were put off, as the process stood still.
    bool postponed = false;
    std::vector<Endpoint> unanswered;
    /// Roots that take a version for the only one and have not proven it yet.
    std::vector<Endpoint> unproven;
    std::vector<VersionReply> replies;

    MonotonicTime nextDue(MonotonicTime now) const;
  };
  using Questions = std::map<std::uint64_t, Question>;
  /// Another node's question that waits for a proof of this node's list.
  struct ProofQuestion {
    Endpoint from;
    std::uint64_t id = 0;
    std::string service;
    MonotonicTime arrivedAt;
  };
  /// A stream that has begun at this node and is not whole.
  struct OpenStream {
    std::string service;
    SoftwareVersion version;
    /// When its record was last sent; empty if it was not necessary.
    std::optional<MonotonicTime> recordedAt;
    std::optional<MonotonicTime> brokeOffAt;
  };

  bool isRoot() const;
  /// Records the stream, unless its service can only have had this version.
  void record(StreamKey stream, OpenStream& open);
  void forgetBrokenStreams();
  void receive(const Endpoint& from, std::string_view payload);
  void handle(const Endpoint& from, const VersionRecord& record);
  void handle(const Endpoint& from, const VersionQuery& query);
  void handle(const Endpoint& from, const VersionReply& reply);
  void send(const Endpoint& to, const Message& message);
  void ask(std::uint64_t id, const Question& question);
  /// The version of a stream that this node has served or keeps the record of.
  std::optional<RecordTable::Found> findOwn(StreamKey stream, MonotonicTime now);
  Question makeQuestion(StreamKey stream, const std::string& service, Listener listener,
                        bool attemptNamed) const;
  /// Starts the question's times anew if it is looked at late.
  void postponeIfLate(std::uint64_t id, Question& question, MonotonicTime now);
  /// Sends again, asks for a proof or finishes the question, as is due.
  void advance(Questions::iterator place);
  /// Whether a newer proof of this node's list would tell the version.
  bool couldProve(const Question& question) const;
  /// Tells another node what this node's list tells once it is proven.
  void promiseProof(const Endpoint& from, const VersionQuery& query);
  /// Those whose node has given them up.
  void forgetProofQuestions();
  /// Answers the questions that are older than the proof of the list, other nodes' and own ones.
  void answerProven();
  VersionReply provenReply(const ProofQuestion& question) const;
  /// The other keepers that rank first for the stream.
  std::vector<Endpoint> othersFor(StreamKey stream, std::size_t count) const;
  /// The root that archives the stream's record; empty if none is known.
  std::optional<Endpoint> archivistOf(StreamKey stream) const;
  /// The other nodes that may know a record of the stream.
  std::vector<Endpoint> askedFor(StreamKey stream) const;
  void archive(StreamKey stream, const SoftwareVersion& version);
  void finish(Questions::iterator question, const Resolution& resolution);
  /// What is known without a record, and whether more could still be learnt.
  Resolution withoutRecord(const Question& question) const;
  Resolution withoutRecordNow(const Question& question) const;
  /// The versions that this node and others take for the only one, by proofs that are newer than
  /// the return.
  std::set<SoftwareVersion> provenVersions(const Question& question) const;
  /// For callers that name no attempt: what lists tell, however old.
  Resolution unprovenResolution(const Question& question) const;
  bool anySawSeveral(const Question& question) const;
  /// Whether a proof may still come that lets the stream go on.
  bool awaitsProof(const Question& question) const;
  /// Whether this node, as a root, has not read the archive yet.
  bool awaitsArchive() const { return archive_ && !hasArchive_ && isRoot(); }
  /// See VersionHistory::onlyVersion() and provenOnlyVersion(); empty if the listing is too old to
  /// tell.
  std::optional<SoftwareVersion> onlyVersion(const std::string& service) const;
  std::optional<SoftwareVersion> provenOnlyVersion(const std::string& service) const;
  bool isListCurrent() const;

  VersionCoreSettings settings_;
  peer::Transport& transport_;
  StreamVersionMetrics& metrics_;
  std::function<MonotonicTime()> clock_;
  MonotonicTime listingProvenAt_;
  RecordTable records_;
  VersionHistory history_;
  std::unordered_map<StreamKey, OpenStream> open_;
  /// Streams that have broken off, in this order.
  std::deque<StreamKey> brokenOff_;
  std::vector<Endpoint> keepers_;
  std::vector<Endpoint> roots_;
  Archive archive_;
  bool hasArchive_ = false;
  ProofRequest requestProof_;
  std::uint64_t nextQuestion_ = 0;
  Questions questions_;
  std::vector<ProofQuestion> proofQuestions_;
};

}  // namespace calicodrift::stream_versions
