#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/strong_type.h"
#include "fleet/server.h"
#include "quarantine/change_counter.h"
#include "quarantine/fingerprint.h"
#include "quarantine/standing.h"

namespace calicodrift::quarantine {

/// Compact identifier of one run of one server: the hash of its id and start.
using ServerRun = StrongType<struct ServerRunTag, std::uint64_t>;
ServerRun runOf(const BackendId& server, Incarnation incarnation);
ServerRun runOf(const fleet::Server& server);

/// The latest known start of a server, whose report told it before the list did.
struct ServerStart {
  std::string server;
  std::uint64_t started = 0;
  bool operator==(const ServerStart&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server, started);
  }
};

/// A request and the server runs that crashed while it was in flight there. Two grow-only sets and
/// a maximum, so that reports may arrive in any order, repeatedly and by any path, and all nodes
/// converge to the same state.
struct Suspect {
  RequestFingerprint request;
  /// Sorted.
  std::vector<ServerRun> ended;
  /// Those of them that are no longer evidence, because the request has completed since, or an
  /// operator has lifted the bar. Sorted.
  std::vector<ServerRun> cleared;
  /// Longest time that the request had been in flight at a server when that server crashed.
  std::uint32_t longestMs = 0;
  bool operator==(const Suspect&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, ended, cleared, longestMs);
  }
};

/// Crashes this close together may have one cause: the longest time that nodes need to notice and
/// report a crash.
inline constexpr Milliseconds kConcurrencyWindow{100};
/// Time of a crash of which only the record is known.
inline constexpr MonotonicTime kUnknownCrashTime = MonotonicTime::min();
/// Whether two crashes may have had one cause. Not known for old ones.
inline bool areConcurrent(MonotonicTime first, MonotonicTime second) {
  return first != kUnknownCrashTime && second != kUnknownCrashTime &&
         std::chrono::abs(first - second) <= kConcurrencyWindow;
}

/// Tracks under which requests servers have crashed, and which of these requests are the likely
/// cause. Does no I/O; callers pass the time.
///
/// Initially all requests in flight on a server when it crashed are equally suspect. A run counts
/// against a request only if
/// - no other request in flight there has more runs against it or was barred earlier: a request
///   that crashes its servers is in every one of these sets, a bystander in one or two. If two
///   requests have the same crashed servers, the one that crashes them sooner is the cause;
/// - no other server crashed at about the same time without a request that explains it: a fault
///   that hits several servers at once is not caused by a request.
/// Both are re-evaluated with each report, so that a bystander is cleared once the cause is known.
///
/// Invariant: a request is barred after kCrashesToBar runs that count against it (one more if it
/// had been in flight for long), or after kCrashesToBarRegardless incriminating runs of any kind,
/// and stays barred until it is cleared: a bar never expires.
class CrashLedger {
 public:
  /// Servers that one request may crash. After that it is known that the next one would crash as
  /// well, and a bystander would have had to meet three crashes that nothing else explains.
  static constexpr std::size_t kCrashesToBar = 3;
  /// Number of other servers crashing at the same time that makes a common cause likely.
  static constexpr int kMinConcurrentCrashes = 1;
  /// A request that had been in flight for this long when a server crashed may meet one crash more:
  /// the longer it runs, the likelier a server crashes under it for another reason. Of 10,000
  /// randomized schedules none bars a bystander with this rule; without it one did.
  static constexpr Milliseconds kLongRequest{1500};
  /// The same limit for crashes that may each have another cause: a bystander is sent to fewer
  /// servers.
  static constexpr std::size_t kCrashesToBarRegardless = 6;
  /// Requests that are tracked: 0.5 MB at most.
  static constexpr std::size_t kMaxRequests = 2048;
  /// Runs that are tracked per request.
  static constexpr std::size_t kMaxRunsPerRequest = 16;

  /// Tracked servers that were found gone with no request in flight.
  static constexpr std::size_t kMaxIdleCrashes = 256;
  /// Tracked starts. The list shows a start within seconds, so that old ones are not needed.
  static constexpr std::size_t kMaxStarts = 256;

  explicit CrashLedger(std::size_t maxRequests = kMaxRequests,
                       std::shared_ptr<ChangeCounter> changes = std::make_shared<ChangeCounter>())
      : changes_(std::move(changes)), maxRequests_(maxRequests) {}

  /// Records that a server run crashed while the request was in flight there.
  /// @param underWay how long the request had been in flight.
  /// @return whether that is new.
  bool recordCrash(const RequestFingerprint& request, ServerRun run, Milliseconds underWay,
                   MonotonicTime now);
  /// Records that a server without requests of this node in flight was found gone: it may have
  /// crashed together with others.
  void recordIdleCrash(ServerRun run, MonotonicTime now) { recordCrashTime(run, now); }
  /// Records when a server run crashed, before the evidence that another node has of it is merged.
  /// Later calls for the same run have no effect.
  void recordCrashTime(ServerRun run, MonotonicTime at);
  /// Records that a server has started again, so that a crash of the new run is not taken for that
  /// of the earlier one by nodes whose list shows only the earlier one. @return whether that is
  /// new.
  bool recordStart(const ServerStart& start);
  /// Discards all evidence against the request known so far. @return whether there was any.
  bool clear(const RequestFingerprint& request);
  /// Merges another node's state. @return whether any of it is new.
  bool merge(const Suspect& suspect, MonotonicTime now);

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  bool contains(const RequestFingerprint& request) const { return entries_.contains(request); }
  /// Number of runs that count against the request.
  std::size_t crashCount(const RequestFingerprint& request) const;
  Standing standingOf(const RequestFingerprint& request) const;
  /// Cheaper than standingOf() for the many requests that have few runs against them.
  bool isBarred(const RequestFingerprint& request) const;
  std::size_t countBarred() const;
  /// Known state of the request; no runs if there is none.
  Suspect suspect(const RequestFingerprint& request) const;
  /// Requests with at least `count` runs that count against them.
  std::vector<Suspect> atLeast(std::size_t count) const;
  /// Increases with each change.
  std::uint64_t version() const { return changes_->value(); }
  /// Requests that changed after that version.
  std::vector<Suspect> changedSince(std::uint64_t version) const;
  /// Starts that were recorded after that version.
  std::vector<ServerStart> startsSince(std::uint64_t version) const;
  /// Number of requests that were evicted to bound memory.
  std::size_t evicted() const { return evicted_; }

 private:
  struct Entry {
    Suspect suspect;
    std::uint64_t changedAt = 0;
  };
  struct Start {
    std::uint64_t started = 0;
    std::uint64_t changedAt = 0;
  };
  struct Run {
    /// When this node learnt of the crash.
    MonotonicTime at{};
    std::vector<RequestFingerprint> requests;
  };

  /// Number of counting crashes that bars the request.
  static std::size_t crashesToBar(const Suspect& suspect);
  /// Runs against the request, whether or not another cause explains them.
  static std::size_t incriminatingRuns(const Suspect& suspect);
  static bool incriminates(const Suspect& suspect, ServerRun run);
  /// When this node learnt of the latest run that incriminates the request.
  MonotonicTime latestCrash(const Suspect& suspect) const;
  /// Whether another request is a likelier cause of the run's crash than this one.
  bool hasLikelierCause(ServerRun key, const Suspect& suspect) const;
  /// Whether a request that at least two runs incriminate explains the run's crash.
  bool isExplained(ServerRun key, const Run& run) const;
  bool hasConcurrentCrashes(const RequestFingerprint& request, const Run& run) const;
  void indexRuns(const Suspect& suspect, MonotonicTime now);
  /// Removes the oldest idle crashes beyond kMaxIdleCrashes.
  void trimIdleCrashes();
  /// Evicts the request with the fewest incriminating runs, the least recently changed of these;
  /// never `kept`.
  void evictOne(const RequestFingerprint& kept);

  std::shared_ptr<ChangeCounter> changes_;
  std::size_t maxRequests_;
  std::map<RequestFingerprint, Entry> entries_;
  std::map<ServerRun, Run> runs_;
  std::deque<ServerRun> idleCrashes_;
  std::map<std::string, Start> starts_;
  std::size_t evicted_ = 0;
};

}  // namespace calicodrift::quarantine
