#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "common/clock.h"
#include "quarantine/change_counter.h"
#include "quarantine/crash_ledger.h"
#include "quarantine/fingerprint.h"
#include "quarantine/standing.h"

namespace calicodrift::quarantine {

/// A server run that crashed while requests with a part were in flight there.
struct PartCrash {
  ServerRun run;
  /// Digests of these requests: the smallest kMaxRequestsPerCrash of them, sorted.
  std::vector<std::uint64_t> requests;
  /// One of them had been admitted as a trial of the part, and held no other part that is a
  /// likelier cause as it had never been served.
  bool trial = false;
  /// Servers of the same software version had given sound answers since the part's first crash, so
  /// that they do not crash under all requests.
  bool versionIsSound = false;
  /// The reporting node had got sound answers to requests with the part shortly before.
  bool servedBefore = false;
  bool operator==(const PartCrash&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(run, requests, trial, versionIsSound, servedBefore);
  }
};

/// A part of prompts and the crashes since the last sound answer to a request with it. States merge
/// in any order: the later generation wins, and crashes of the same generation are joined.
struct PartSuspect {
  PartFingerprint part;
  /// How often the evidence was discarded.
  std::uint32_t generation = 0;
  /// Sorted by run.
  std::vector<PartCrash> crashes;
  bool operator==(const PartSuspect&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(part, generation, crashes);
  }
};

/// What the parts of one request allow.
struct PartVerdict {
  /// The request is not sent to any server because of this part.
  std::optional<PartFingerprint> barred;
  /// The request may be sent if it is the only attempt in the fleet with these parts.
  std::vector<PartFingerprint> suspects;
};

/// Tracks which parts of prompts crash the servers that begin to answer requests with them. The
/// requests may have nothing else in common. Does no I/O; callers pass the time.
///
/// Each crash makes all parts suspect of all requests in flight whose answers had not gone on for a
/// while. A sound answer to a request discards the evidence against all of its parts: a part that
/// half of the traffic shares is in every crash, and is cleared before the next one. A crash counts
/// against a part only if
/// - no other part in flight there is a likelier cause: one that is in more crashes; for a part
///   that was served shortly before also one that was not and is in several crashes;
/// - no other server crashed at the same time without a part that explains it. That alone spares no
///   part that goes on crashing servers in trials.
///
/// Invariants: a part that crashes servers is barred after kCrashesToBar crashes that count, with
/// at most one attempt in flight in the fleet from kCrashesToSuspect crashes on. No part is barred
/// by crashes of servers whose version answers no request soundly, by crashes at the same time
/// alone (one must be that of a trial), or by crashes that fewer than kRequestsToBar requests
/// explain, as these may be crashing as a whole. A bar never expires.
class PartLedger {
 public:
  static constexpr std::size_t kCrashesToSuspect = 3;
  static constexpr std::size_t kCrashesToBar = 5;
  /// A part that was served soundly a short time ago may have become one that crashes servers, but
  /// is more likely a bystander of several such parts.
  static constexpr std::size_t kCrashesToBarServed = 8;
  /// The same limits for crashes that may each have another cause, as other servers crashed at the
  /// same time.
  static constexpr std::size_t kCrashesToSuspectRegardless = 5;
  static constexpr std::size_t kCrashesToBarRegardless = 7;
  static constexpr std::size_t kCrashesToBarServedRegardless = 16;
  /// Different requests that it takes to explain the crashes. A request that crashes servers as a
  /// whole is barred after three, so that up to three such requests do not bar a part they share.
  static constexpr std::size_t kRequestsToSuspect = 2;
  static constexpr std::size_t kRequestsToBar = 4;
  static constexpr std::size_t kTrialsToBar = 1;
  static constexpr std::size_t kTrialsToBarRegardless = 2;
  static constexpr std::size_t kTrialsToBarServed = 3;
  static constexpr std::size_t kSoundVersionsToBar = 2;
  static constexpr std::size_t kMaxParts = 2048;
  static constexpr std::size_t kMaxCrashesPerPart = kCrashesToBarServedRegardless;
  static constexpr std::size_t kMaxRequestsPerCrash = 4;
  /// Tracked times of crashes.
  static constexpr std::size_t kMaxCrashTimes = 1024;

  explicit PartLedger(std::shared_ptr<ChangeCounter> changes, std::size_t maxParts = kMaxParts)
      : changes_(std::move(changes)), maxParts_(maxParts) {}

  /// Records that a server run crashed while the request was in flight there. @return whether that
  /// is new.
  bool recordCrash(const PartFingerprint& part, PartCrash crash, MonotonicTime now);
  /// Records when a server run crashed, whether or not a part is suspected of it. Later calls for
  /// the same run have no effect. kUnknownCrashTime: long ago.
  void recordCrashTime(ServerRun run, MonotonicTime at);
  /// Discards the evidence against the part. @return whether there was any.
  bool clear(const PartFingerprint& part);
  /// Merges another node's state. @return whether any of it is new.
  bool merge(const PartSuspect& suspect, MonotonicTime now);

  bool empty() const { return entries_.empty(); }
  std::size_t size() const { return entries_.size(); }
  bool contains(const PartFingerprint& part) const { return entries_.contains(part); }
  Standing standingOf(const PartFingerprint& part) const;
  /// Number of crashes that count against the part.
  std::size_t crashCount(const PartFingerprint& part) const;
  /// Standing of a request with these parts. Two parts that were in the same crashes, or in all but
  /// a few, can't be told apart by them: a request with only one of them may be tried.
  PartVerdict judge(const std::vector<PartFingerprint>& parts) const;
  std::size_t countBarred() const;
  /// Known state of the part; no crashes if there is none.
  PartSuspect suspect(const PartFingerprint& part) const;
  /// Parts that are suspect or barred.
  std::vector<PartSuspect> suspects() const;
  std::vector<PartSuspect> changedSince(std::uint64_t version) const;
  /// Number of parts that were evicted to bound memory.
  std::size_t evicted() const { return evicted_; }
  /// When this node learnt of the crash; empty if it does not know of it.
  std::optional<MonotonicTime> crashTime(ServerRun run) const;
  /// When this node learnt of the first crash that is evidence against the part; empty if there is
  /// none.
  std::optional<MonotonicTime> firstCrash(const PartFingerprint& part) const;

 private:
  struct Entry {
    PartSuspect suspect;
    std::uint64_t changedAt = 0;
  };
  struct Judgement {
    Standing standing = Standing::kClear;
    std::size_t crashes = 0;
  };
  /// Evidence of one crash against one part.
  struct InFlight {
    const PartSuspect* suspect = nullptr;
    const PartCrash* crash = nullptr;
  };
  using Index = std::map<ServerRun, std::vector<InFlight>>;

  /// Judges all parts again if anything has changed.
  void judgeAll() const;
  /// Empty for a part in too few crashes to be suspect, which needs no judgement of the others.
  std::optional<Judgement> judgementOf(const PartFingerprint& part) const;
  Judgement judgeOne(const PartSuspect& suspect, const Index& index) const;
  static Standing standingAfter(const std::vector<const PartCrash*>& unexplained,
                                const std::vector<const PartCrash*>& counting);
  bool hasLikelierCause(const InFlight& one, const Index& index) const;
  /// Whether the first is a likelier cause of the crash than the second.
  bool isLikelier(const InFlight& first, const InFlight& second) const;
  bool hasConcurrentCrashes(ServerRun run, const PartSuspect& suspect, const Index& index) const;
  /// When this node learnt of the latest crash.
  MonotonicTime latestCrash(const PartSuspect& suspect) const;
  /// Whether a part that the request does not hold explains the crashes as well.
  bool hasAlternativeOutside(const PartSuspect& suspect,
                             const std::vector<PartFingerprint>& held) const;
  /// Number of the part's crashes in which no part was that the request does not hold and that is
  /// in at least `minCrashes` crashes.
  std::size_t crashesWithoutAlternative(const PartSuspect& suspect,
                                        const std::vector<PartFingerprint>& held,
                                        std::size_t minCrashes) const;
  void onChange(Entry& entry);
  /// Evicts the part with the fewest crashes, the least recently changed of these; never `kept`.
  void evictOne(const PartFingerprint& kept);

  std::shared_ptr<ChangeCounter> changes_;
  std::size_t maxParts_;
  std::map<PartFingerprint, Entry> entries_;
  std::map<ServerRun, MonotonicTime> crashTimes_;
  std::deque<ServerRun> crashTimeOrder_;
  /// Highest generation of an evicted part: new entries begin there, so that other nodes, which may
  /// remember the part, accept their evidence.
  std::uint32_t evictedGeneration_ = 0;
  std::size_t evicted_ = 0;
  /// Set by each change of evidence or times.
  mutable bool judgementsAreStale_ = false;
  mutable std::map<PartFingerprint, Judgement> judgements_;
};

}  // namespace calicodrift::quarantine
