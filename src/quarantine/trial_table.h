#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/strong_type.h"
#include "quarantine/crash_ledger.h"

namespace calicodrift::quarantine {

/// Identifies one attempt of a suspect.
using TrialToken = StrongType<struct TrialTokenTag, std::uint64_t>;

/// What an attempt tries: a request, or a part of its prompt.
using Trait = std::variant<RequestFingerprint, PartFingerprint>;

/// All that one attempt tries.
struct Traits {
  Traits(const RequestFingerprint& request, const std::vector<PartFingerprint>& parts = {})
      : all{request} {
    all.insert(all.end(), parts.begin(), parts.end());
  }

  std::vector<Trait> all;
};

/// Attempts of suspects that are in flight in the fleet, held by the node that admits them. Does no
/// I/O; callers pass the time.
///
/// Each attempt gets a server of its own if there are enough: two suspects that crash one server
/// together cannot be told apart by that crash.
///
/// Invariant: one attempt of a request, and of a part, at a time. An attempt whose node has died
/// expires with its term.
class TrialTable {
 public:
  /// Upper bound of the term of an attempt whose end is not reported: as long as a stream may stall
  /// before its caller leaves.
  static constexpr Milliseconds kMaxTerm{5000};

  /// @param traits all that the attempt tries.
  /// @param choices servers that the attempt may go to, the best first.
  /// @return the first of them with the fewest attempts in flight, ServerRun() if there are no
  ///   choices; empty if another attempt of one of the traits is in flight.
  std::optional<ServerRun> begin(const Traits& traits, TrialToken token,
                                 const std::vector<ServerRun>& choices, Milliseconds term,
                                 MonotonicTime now);
  /// Has no effect on traits of which another attempt has begun since.
  void end(const Traits& traits, TrialToken token);
  /// Time until the current attempts of the traits have ended at the latest; 0 if there are none.
  Milliseconds remaining(const Traits& traits, MonotonicTime now) const;

 private:
  struct Trial {
    TrialToken token;
    ServerRun server;
    MonotonicTime until{};
  };

  std::size_t attemptsAt(ServerRun server) const;

  std::map<Trait, Trial> trials_;
};

}  // namespace calicodrift::quarantine
