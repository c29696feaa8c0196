#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "http/client.h"

namespace calicodrift::server_paths {

/// Whether a call may be ended now because its request will be sent again elsewhere. Empty for a
/// call that stays with its server.
using MovePermission = std::function<bool()>;

/// One call to a server, from the time at which it was sent until its answer has ended.
struct CallInFlight {
  CallInFlight(http::ConnectionPath path, MovePermission mayMove,
               http::ExchangeCanceller* canceller, MonotonicTime now)
      : path(std::move(path)),
        mayMove(std::move(mayMove)),
        canceller(canceller),
        lastBytesAt(now) {}

  const http::ConnectionPath path;
  const MovePermission mayMove;
  /// Null: the call cannot be ended from outside. Outlives the call.
  http::ExchangeCanceller* const canceller;
  /// When bytes of the answer last arrived; until then, when the call was sent.
  MonotonicTime lastBytesAt;
  /// Why the call was ended from here; empty if it was not.
  std::string_view endedFor;
};

/// The calls of this node to servers that are under way, and which of them are silent.
class CallsInFlight {
 public:
  /// The call is under way for as long as the returned pointer is held.
  std::shared_ptr<CallInFlight> begin(http::ConnectionPath path, MovePermission mayMove,
                                      http::ExchangeCanceller* canceller, MonotonicTime now);
  /// Records that bytes of the call's answer have arrived.
  void recordBytes(CallInFlight& call, MonotonicTime now);

  /// Servers with a direct call that has been silent for `silence`, and of which nothing else was
  /// heard on the direct path since then.
  std::vector<Endpoint> silentServers(Milliseconds silence, MonotonicTime now) const;
  /// Ends the calls that satisfy `onPath`, have been silent for `silence` and may move. Returns
  /// their number.
  /// @param reason CallInFlight::endedFor of these calls.
  std::size_t endSilent(const std::function<bool(const http::ConnectionPath&)>& onPath,
                        Milliseconds silence, std::string_view reason, MonotonicTime now);
  /// Whether a call is under way through the proxy.
  bool anyThrough(const Endpoint& proxy) const;
  /// Forgets calls that have ended. The cost of the other functions grows with what is kept.
  void removeEnded();
  bool empty() const { return servers_.empty(); }

 private:
  struct Server {
    std::vector<std::weak_ptr<CallInFlight>> calls;
    /// When bytes last arrived on the direct path.
    MonotonicTime heardAt{};
  };

  std::map<Endpoint, Server> servers_;
};

}  // namespace calicodrift::server_paths
