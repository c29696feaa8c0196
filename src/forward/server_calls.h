#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "fleet/server_pool.h"
#include "forward/metrics.h"
#include "forward/protocol.h"
#include "http/client.h"
#include "server_limits/server_limit_node.h"
#include "server_paths/server_paths.h"

namespace calicodrift::forward {

/// Purpose of a call to a server.
enum class CallPurpose {
  /// A caller's request, without a unit of the server's limit and with one.
  kRequest,
  kRequestWithUnit,
  /// An order to load weights.
  kOrder,
  /// A health check or report query, which is also sent to a server that is leaving.
  kQuery,
};

/// Asked when a call has its connection, right before its first byte is written: whether what the
/// caller of open() found out before it waited for the connection still holds. An error is passed
/// on to that caller, and nothing is sent. May fill in what depends on the time of the send.
using SendCheck = std::function<Result<void>(http::Request& request)>;

/// Dependencies of ServerCalls. All of them outlive it and run on its thread.
struct ServerCallContext {
  http::Client& client;
  const ServerProtocol& protocol;
  fleet::ServerPool& pool;
  server_limits::ServerLimitNode& limits;
  ForwardMetrics& metrics;
  /// Finds the connection for each call.
  server_paths::ServerPaths& paths;
};

/// Carries every call to a server. Immediately before the first byte is sent, it checks whether the
/// server may still get the call. The notices in the head of each answer are processed before the
/// answer is passed on or read further, regardless of its status and of how the call ends.
///
/// Invariant: no new work begins on a server after this node has read or been told that the server
/// is leaving, and nothing within a rest that the server asked this node for.
class ServerCalls {
 public:
  ServerCalls(ServerCallContext context, std::uint64_t seed) : context_(context), random_(seed) {}

  /// Like http::Client::open(), on a path that works; fails with kServerWithdrawn if the server may
  /// no longer get such a call, in which case it was not sent. A call that was ended because its
  /// path was lost fails with the reason server_paths::kPathLost. The server must outlive the call.
  boost::asio::awaitable<Result<std::unique_ptr<http::ResponseStream>>> open(
      const fleet::Server& server, http::Request request, http::ExchangeOptions options,
      CallPurpose purpose, server_paths::MovePermission mayMove = {}, SendCheck mayBeSent = {});
  /// Like open(), but returns the whole answer.
  boost::asio::awaitable<Result<http::Response>> exchange(const fleet::Server& server,
                                                          http::Request request,
                                                          http::ExchangeOptions options,
                                                          CallPurpose purpose,
                                                          SendCheck mayBeSent = {});
  /// Whether the server, and not the node that carries the tunnel, has ended it. Empty without an
  /// answer of that node in time.
  boost::asio::awaitable<std::optional<bool>> serverEndedTunnel(http::Tunnel tunnel) {
    return context_.paths.serverEndedTunnel(std::move(tunnel));
  }
  /// Whether a call may begin on the server now. Fails with kServerWithdrawn.
  Result<void> mayBegin(const fleet::Server& server, CallPurpose purpose) const;

 private:
  server_paths::PathOptions pathOptions(const fleet::Server& server,
                                        const http::ExchangeOptions& options,
                                        CallPurpose purpose) const;

  /// State at the time a call was sent.
  struct SendState {
    server_limits::LimitVersion limit;
    server_limits::LimitVersion refusalLimit;
    MonotonicTime at{};
    /// The first call to the server after a pause.
    bool isTrial = false;
    fleet::KnownLoad load{};
  };

  /// Skips copies of answers to other requests that the connection served before, as servers may
  /// repeat their answers late.
  boost::asio::awaitable<Result<void>> skipSurplusAnswers(const fleet::Server& server,
                                                          http::ResponseStream& stream,
                                                          http::RequestKey own);
  void processHead(const fleet::Server& server, const SendState& sent, const http::Response& head);
  void handleLeaving(const fleet::Server& server, const http::Response& head);
  void handleRest(const fleet::Server& server, Milliseconds rest, const http::Response& head);
  void handleFull(const fleet::Server& server, double refusalLimit, const SendState& sent,
                  const http::Response& head);
  /// Counts and logs what this node knew of the server when it sent the refused call.
  void reportFull(const fleet::Server& server, const SendState& sent, const http::Response& head);
  void handleUnreadable(const fleet::Server& server, const std::vector<Error>& errors);

  ServerCallContext context_;
  std::mt19937_64 random_;
  /// Runs for which an unreadable notice was already logged.
  std::unordered_set<fleet::ServerKey> loggedUnreadable_;
};

}  // namespace calicodrift::forward
