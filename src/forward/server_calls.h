#pragma once

#include <boost/asio/awaitable.hpp>
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

namespace calicodrift::forward {

/// What a call to a server is for.
enum class CallPurpose {
  /// A request of a caller, without a unit of the server's limit and with one.
  kRequest,
  kRequestWithUnit,
  /// An order to load weights.
  kOrder,
  /// A question for health or a report: also a server that leaves may be asked.
  kQuestion,
};

/// What ServerCalls needs of the node. All of it outlives it, on one thread.
struct ServerCallContext {
  http::Client& client;
  const ServerProtocol& protocol;
  fleet::ServerPool& pool;
  server_limits::ServerLimitNode& limits;
  ForwardMetrics& metrics;
};

/// The way of every call to a server. Right before the first byte it asks whether the server may
/// still get the call. The head of each answer is read for what the server says of itself before
/// the answer is passed on or read further, whatever its status and however the call ends.
///
/// Invariant: nothing begins at a server after this node has read, or was told, that the server
/// leaves, and nothing within a rest that it asked this node for.
class ServerCalls {
 public:
  ServerCalls(ServerCallContext context, std::uint64_t seed) : context_(context), random_(seed) {}

  /// As http::Client::open(); fails with kServerWithdrawn where the server may get no such call any
  /// more and so got none. The server must outlive the call.
  boost::asio::awaitable<Result<std::unique_ptr<http::ResponseStream>>> open(
      const fleet::Server& server, http::Request request, http::ExchangeOptions options,
      CallPurpose purpose);
  /// The same with the whole answer.
  boost::asio::awaitable<Result<http::Response>> exchange(const fleet::Server& server,
                                                          http::Request request,
                                                          http::ExchangeOptions options,
                                                          CallPurpose purpose);
  /// Whether a call may begin at the server now. Fails with kServerWithdrawn.
  Result<void> mayBegin(const fleet::Server& server, CallPurpose purpose) const;

 private:
  /// What was known when a call was sent.
  struct Sent {
    server_limits::LimitVersion limit;
    MonotonicTime at{};
  };

  void noteHead(const fleet::Server& server, const Sent& sent, const http::Response& head);
  void noteLeaving(const fleet::Server& server, const http::Response& head);
  void noteRest(const fleet::Server& server, Milliseconds rest, const http::Response& head);
  void noteUnreadable(const fleet::Server& server, const std::vector<Error>& errors);

  ServerCallContext context_;
  std::mt19937_64 random_;
  /// Runs of which it was logged that a notice can't be read.
  std::unordered_set<fleet::ServerKey> unreadable_;
};

}  // namespace calicodrift::forward
