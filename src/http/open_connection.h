#pragma once

#include <boost/beast/core.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "http/connection_path.h"

// Internal to src/http: only its .cc files include this file.
namespace calicodrift::http {

/// An open connection of a client.
struct OpenConnection {
  OpenConnection(const boost::asio::any_io_executor& executor, ConnectionPath path)
      : stream(executor), path(std::move(path)) {}

  boost::beast::tcp_stream stream;
  ConnectionPath path;
  /// Generation of its address when it was made or taken; see ClientState::generationOf().
  std::uint64_t generation = 0;
  /// Of a connection through a proxy.
  TunnelId tunnelId;
  /// How long it took to open; empty if it was used before.
  std::optional<Microseconds> connectTime;
  /// Exchanges that have ended on it.
  std::uint64_t exchanges = 0;
  /// Requests that were refused on it.
  std::vector<RequestKey> refused;
  /// The newest requests whose answers have been read on it, the oldest first.
  std::deque<RequestKey> answered;
};

}  // namespace calicodrift::http
