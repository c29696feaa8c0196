#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/strong_type.h"
#include "quarantine/crash_ledger.h"

namespace calicodrift::quarantine {

/// Identifies one attempt of a suspect.
using TrialToken = StrongType<struct TrialTokenTag, std::uint64_t>;

/// Attempts of suspects that are in flight in the fleet, held by the node that admits them. Does no
/// I/O; callers pass the time.
///
/// Each attempt gets a server of its own if there are enough: two suspects that crash one server
/// together cannot be told apart by that crash.
///
/// Invariant: one attempt of a request at a time. An attempt whose node has died expires with its
/// term.
class TrialTable {
 public:
  /// Upper bound of the term of an attempt whose end is not reported: as long as a stream may stall
  /// before its caller leaves.
  static constexpr Milliseconds kMaxTerm{5000};

  /// @param choices servers that the attempt may go to, the best first.
  /// @return the first of them with the fewest attempts in flight, ServerRun() if there are no
  ///   choices; empty if another attempt of the request is in flight.
  std::optional<ServerRun> begin(const RequestFingerprint& request, TrialToken token,
                                 const std::vector<ServerRun>& choices, Milliseconds term,
                                 MonotonicTime now);
  /// Does nothing if another attempt has begun since.
  void end(const RequestFingerprint& request, TrialToken token);
  /// Time until the request's current attempt has ended at the latest; 0 if there is none.
  Milliseconds remaining(const RequestFingerprint& request, MonotonicTime now) const;

 private:
  struct Trial {
    TrialToken token;
    ServerRun server;
    MonotonicTime until{};
  };

  std::size_t attemptsAt(ServerRun server) const;

  std::map<RequestFingerprint, Trial> trials_;
};

}  // namespace calicodrift::quarantine
