#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::fleet {

/// Servers that have asked this node to send nothing for a time. Does no I/O; callers pass the
/// time.
///
/// A backoff belongs to the server's id: neither a new entry in the list nor a restart of the
/// server ends it. After its end the server is on trial: it gets one call, and further ones once
/// that call has been answered without a new backoff, or after kTrialTimeout. A server that keeps
/// asking for backoff thus gets no more calls than those sent before its next refusal arrives.
class ServerBackoffs {
 public:
  /// Records that the server asked for backoff until `until`. Returns whether that extends the
  /// known one.
  bool add(const BackendId& server, MonotonicTime until, MonotonicTime now);
  /// End of the server's exclusion; empty if it may get a call now.
  std::optional<MonotonicTime> excludedUntil(const BackendId& server, MonotonicTime now) const;
  /// Records the start of a call to the server.
  /// @return when its exclusion ends, if the server is on trial.
  std::optional<MonotonicTime> recordSent(const BackendId& server, MonotonicTime now);
  /// Records an answer without a backoff to a call sent at `sentAt`. Calls sent before the end of
  /// the backoff are ignored. Returns whether the trial has ended.
  bool recordAnswered(const BackendId& server, MonotonicTime sentAt);
  bool empty() const { return entries_.empty(); }
  /// Servers that are excluded now, each with the end of its exclusion.
  std::vector<std::pair<BackendId, MonotonicTime>> excluded(MonotonicTime now) const;
  /// Removes backoffs that ended at least kRetention ago.
  void removeExpired(MonotonicTime now);

  static constexpr Milliseconds kTrialTimeout{250};
  /// A server that nobody has called for this long after its backoff needs no trial.
  static constexpr Milliseconds kRetention{10'000};
  /// Many times the number of servers of a fleet that are in backoff at a time.
  static constexpr std::size_t kMaxEntries = 16'384;

 private:
  struct Entry {
    MonotonicTime backoffUntil{};
    MonotonicTime trialUntil{};

    MonotonicTime end() const { return std::max(backoffUntil, trialUntil); }
  };

  std::map<BackendId, Entry> entries_;
};

}  // namespace calicodrift::fleet
