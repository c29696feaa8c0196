#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::fleet {

/// Servers that asked this node to send nothing for a time. No I/O; calls are told the time.
///
/// A rest belongs to the server's id: neither a new entry in the list nor a later start of the
/// server ends it. After its end the server is on trial: it gets one call, and others once that has
/// been answered without a new rest, or after kTrialTime. So a server that asks again and again
/// gets no more than what is sent until its next refusal is here.
class ServerRests {
 public:
  /// The server asked for rest until then. Returns whether that is later than what was known.
  bool note(const BackendId& server, MonotonicTime until, MonotonicTime now);
  /// Until when the server gets nothing; nothing where it may get a call now.
  std::optional<MonotonicTime> excludedUntil(const BackendId& server, MonotonicTime now) const;
  /// A call to the server begins.
  /// @return until when it gets nothing else, where it is on trial.
  std::optional<MonotonicTime> noteSent(const BackendId& server, MonotonicTime now);
  /// An answer without a rest came to a call that was sent at `sentAt`. One that was sent before
  /// the end of the rest says nothing. Returns whether the trial has ended so.
  bool noteAnswered(const BackendId& server, MonotonicTime sentAt);
  bool empty() const { return entries_.empty(); }
  /// Servers that get nothing now, each with the end of that.
  std::vector<std::pair<BackendId, MonotonicTime>> excluded(MonotonicTime now) const;
  /// Forgets rests that have been over for kForgetAfter.
  void forgetOver(MonotonicTime now);

  static constexpr Milliseconds kTrialTime{250};
  /// A server that nobody has called for so long after its rest is as good as any.
  static constexpr Milliseconds kForgetAfter{10'000};
  /// Many times the servers of a fleet that rest at a time.
  static constexpr std::size_t kMost = 16'384;

 private:
  struct Entry {
    MonotonicTime restUntil{};
    MonotonicTime trialUntil{};

    MonotonicTime end() const { return std::max(restUntil, trialUntil); }
  };

  std::map<BackendId, Entry> entries_;
};

}  // namespace calicodrift::fleet
