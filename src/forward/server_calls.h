#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "fleet/server.h"
#include "forward/metrics.h"
#include "forward/protocol.h"
#include "http/client.h"
#include "server_limits/server_limit_node.h"

namespace calicodrift::forward {

/// The way of every call to a server: requests of callers, questions for health and reports, and
/// orders. The head of each answer is read here for what the server says of itself, before the
/// answer is passed on or read further, whatever its status and however the call ends.
class ServerCalls {
 public:
  ServerCalls(http::Client& client, const ServerProtocol& protocol,
              server_limits::ServerLimitNode& limits, ForwardMetrics& metrics)
      : client_(client), protocol_(protocol), limits_(limits), metrics_(metrics) {}

  /// As http::Client::open(). The server must outlive the call.
  boost::asio::awaitable<Result<std::unique_ptr<http::ResponseStream>>> open(
      const fleet::Server& server, http::Request request, http::ExchangeOptions options);
  /// As http::Client::exchange(). The server must outlive the call.
  boost::asio::awaitable<Result<http::Response>> exchange(const fleet::Server& server,
                                                          http::Request request,
                                                          http::ExchangeOptions options);

 private:
  void noteHead(const fleet::Server& server, server_limits::LimitVersion seen,
                const http::Response& head);
  void noteUnreadable(const fleet::Server& server, const Error& error);

  http::Client& client_;
  const ServerProtocol& protocol_;
  server_limits::ServerLimitNode& limits_;
  ForwardMetrics& metrics_;
};

}  // namespace calicodrift::forward
