#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"

namespace calicodrift::testing {

/// A run of a request, as its server saw it.
struct SilencesRun {
  std::string server;
  /// The request came at this time at the latest; sooner where the server stood still.
  MonotonicTime sentAt;
  /// Empty too if the node had left before the head was written.
  std::optional<MonotonicTime> headAt;
  MonotonicTime lastWriteAt;
  /// Between two writes; the first counts from the beginning.
  Milliseconds longestSilence{0};
  std::optional<MonotonicTime> endedAt;
  /// The server broke the answer off, or its process ended.
  bool broken = false;

  void wrote(MonotonicTime at) {
    longestSilence = std::max(longestSilence, std::chrono::floor<Milliseconds>(at - lastWriteAt));
    lastWriteAt = at;
  }
};

/// A request, as its caller saw it.
struct SilencesCall {
  std::string id;
  std::string kind;
  std::string node;
  MonotonicTime sentAt;
  MonotonicTime endedAt;
  Milliseconds deadline{0};
  /// The answer as it would be if whole.
  std::string expected;
  /// No connection to the node: nothing was sent.
  bool unsent = false;
  /// The caller left before the end.
  bool left = false;
  /// Its route may not be in force.
  bool routeMayBeGone = false;
  /// 0: no head came.
  unsigned status = 0;
  /// The body came with its end.
  bool complete = false;
  bool sealed = false;
  std::string body;
  std::string detail;
};

/// Judges each request that was read: it is answered whole, refused, or ended because its server
/// broke off, its node was killed, its caller left, or its deadline or its route's timeout was
/// reached. And each further run: not because a server that had begun to answer stood still.
class SilencesCheck {
 public:
  /// For a silence below it a begun answer may not be run again.
  static constexpr Milliseconds kLongestSilence{1550};

  /// The run stays valid for as long as the check.
  SilencesRun& begin(const std::string& request, const std::string& server, MonotonicTime sentAt);
  /// The server's process has ended before it read the requests `unread`.
  void serverEnded(const std::string& server, MonotonicTime at,
                   const std::vector<std::string>& unread);
  /// A request came from another node than the one that it was sent to, though no path is cut.
  void cameThroughAnother(const std::string& request) { indirect_.insert(request); }
  void nodeKilled(const std::string& node, MonotonicTime at) { kills_.emplace(node, at); }
  /// Routes have this timeout from now on.
  void timeoutSet(Milliseconds timeout, MonotonicTime at) { timeouts_.emplace(at, timeout); }

  /// What is wrong with the end of the call; nothing where all is well.
  std::optional<std::string> judge(const SilencesCall& call);
  /// Requests that were run again for no reason.
  std::vector<std::string> needlessRuns() const;
  std::size_t runsOf(const std::string& request) const;
  std::string summary() const;

 private:
  using Runs = std::vector<std::unique_ptr<SilencesRun>>;

  const Runs& runs(const std::string& request) const;
  /// Why the answer may be neither whole nor a refusal; nothing where there is no reason.
  std::optional<std::string> excuse(const SilencesCall& call) const;
  bool killedMeanwhile(const SilencesCall& call) const;
  bool unread(const SilencesCall& call) const;
  bool timeReached(const SilencesCall& call) const;
  MonotonicTime latestEnd(const SilencesCall& call) const;
  bool needless(const SilencesRun& first, const SilencesRun& next) const;
  std::string describe(const SilencesCall& call) const;

  std::map<std::string, Runs> runs_;
  bool newlyStarted(const SilencesRun& run) const;

  std::multimap<std::string, MonotonicTime> serverEnds_;
  /// Sent to servers that ended before they read them.
  std::set<std::string> unreadAtEnds_;
  std::set<std::string> indirect_;
  std::multimap<std::string, MonotonicTime> kills_;
  std::multimap<MonotonicTime, Milliseconds> timeouts_;
  /// Calls by how they ended.
  std::map<std::string, std::size_t> ends_;
};

}  // namespace calicodrift::testing
