#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "common/clock.h"
#include "fleet/server_load.h"
#include "server_limits/permit_messages.h"

namespace calicodrift::server_limits {

/// What is known of a server beside the permits for it.
struct ServerCapacity {
  fleet::ServerKey server;
  /// Refusals per second that the server bears; it fails if it has to refuse more.
  double refusalLimit = 0;
  /// Requests that the server works on at a time, as listed; 0: unknown.
  std::size_t slots = 0;
  /// Requests in flight at the server as the nodes' load reports tell it. Lags behind.
  std::size_t reportedLoad = 0;
};

/// Decision on a request for a permit.
struct PermitDecision {
  bool granted = false;
  /// If refused: when the same holder should ask again.
  Milliseconds wait{0};
};

/// Issues permits for requests to servers that fail if they have to refuse many: a semaphore for
/// each server, shared by all nodes. Does no I/O; callers pass the time.
///
/// A server gets as many requests at a time as it has shown to have room for: its listed slots at
/// first, as only the queue behind them shrinks, and fewer after it has refused a request. Room
/// that was lost is regained by tries, one at a time and with an exponential backoff.
/// Permits that are issued before a refusal can have been reported are bounded as well.
///
/// Invariant: while the server's room is known to be uncertain, which is for kRefusalWindow after
/// it has refused a request within its presumed room, and always for tries, a permit is issued only
/// if the refusals of the last kRefusalWindow and the permits whose outcome is unknown stay within
/// what the server bears. Refusals that come late therefore cannot add up to more.
class PermitIssuer {
 public:
  /// @param settledAt time until which the previous issuer may still issue permits; ignored once it
  ///   has passed for this server.
  PermitDecision acquire(const ServerCapacity& capacity, const Permit& permit,
                         MonotonicTime settledAt, MonotonicTime now);
  /// The request has ended at the server, which had accepted it.
  void release(fleet::ServerKey server, const Permit& permit, MonotonicTime now);
  /// No server got the request.
  void takeBack(fleet::ServerKey server, const Permit& permit);
  /// The server has refused the request for lack of capacity. A permit that is not known here was
  /// issued by another node, or never.
  void recordRefusal(const ServerCapacity& capacity, const Permit& permit, MonotonicTime now);
  /// Replaces the holder's permits by `held`, but for those that were issued just now.
  void renew(const ServerCapacity& capacity, std::uint64_t holder,
             const std::vector<std::uint64_t>& held, MonotonicTime now);
  /// Stops issuing the server's permits, as another node issues them, or none does.
  void forget(fleet::ServerKey server) { servers_.erase(server); }
  void forgetAll() { servers_.clear(); }
  /// Servers whose permits this node issues.
  std::vector<fleet::ServerKey> servers() const;
  /// Forgets servers that nobody has asked for since kRetention.
  void expire(MonotonicTime now);
  /// Requests that the server is presumed to have room for, and permits in use; 0 if unknown.
  std::size_t roomOf(fleet::ServerKey server) const;
  std::size_t issuedFor(fleet::ServerKey server) const;

  /// Slightly more than the second over which servers count their refusals.
  static constexpr Milliseconds kRefusalWindow{1050};
  /// A permit that was neither renewed nor released for so long is lost with its holder.
  static constexpr Milliseconds kPermitTerm{1500};
  /// Longest wait told to a holder.
  static constexpr Milliseconds kMaxWait{1000};

 private:
  struct Issued {
    MonotonicTime at{};
    MonotonicTime renewedAt{};
    /// Requests in flight with this one when it was issued.
    std::size_t level = 0;
    bool isTry = false;
    /// The server is known to have accepted the request.
    bool accepted = false;
  };
  struct State {
    std::map<Permit, Issued> issued;
    std::size_t slots = 0;
    std::size_t room = 0;
    MonotonicTime beganAt{};
    MonotonicTime usedAt{};
    bool awaitingPredecessor = true;
    /// Refusals and ends of requests within the last window.
    std::deque<MonotonicTime> refusals;
    std::deque<MonotonicTime> ends;
    MonotonicTime cautiousUntil{};
    MonotonicTime shrunkAt{};
    MonotonicTime closedUntil{};
    MonotonicTime nextTryAt{};
    Milliseconds tryBackoff{0};
    Milliseconds closedBackoff{0};
    /// Holders that were told to wait, with the time.
    std::unordered_map<std::uint64_t, MonotonicTime> waiting;
  };

  State& stateOf(const ServerCapacity& capacity, MonotonicTime now);
  static void prune(State& state, MonotonicTime now);
  static std::size_t inFlight(const State& state, const ServerCapacity& capacity,
                              MonotonicTime now);
  static bool mayIssue(const State& state, const ServerCapacity& capacity, std::size_t inFlight,
                       MonotonicTime now);
  static bool mayTry(const State& state, std::size_t allowance, MonotonicTime now);
  /// Permits whose requests the server may still refuse.
  static std::size_t countOpen(const State& state, MonotonicTime since);
  /// The server has accepted a try.
  static void growRoom(State& state, const Issued& issued);
  /// The server has refused a try, or a request within its presumed room that was issued its permit
  /// at `issuedAt`.
  static void recordFailedTry(State& state, std::size_t others, MonotonicTime now);
  static void shrinkRoom(State& state, std::size_t others, MonotonicTime issuedAt,
                         MonotonicTime now);
  static Milliseconds waitOf(State& state, std::uint64_t holder, MonotonicTime now);

  std::unordered_map<fleet::ServerKey, State> servers_;
};

}  // namespace calicodrift::server_limits
