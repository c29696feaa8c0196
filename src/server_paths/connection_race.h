#pragma once

#include <boost/asio.hpp>
#include <optional>

#include "server_paths/server_paths.h"

// Internal to src/server_paths.
namespace calicodrift::server_paths {

/// Two attempts to reach one server, of which the first connection is used.
struct ServerPaths::Race {
  explicit Race(const boost::asio::any_io_executor& executor) : changed(executor) {}

  /// Records the end of an attempt. Returns false if the race is over.
  bool finish(std::optional<Result<http::ClientConnection>>& attempt,
              Result<http::ClientConnection> result) {
    if (over) {
      return false;
    }
    attempt.emplace(std::move(result));
    changed.cancel();
    return true;
  }
  static bool connected(const std::optional<Result<http::ClientConnection>>& attempt) {
    return attempt && attempt->has_value();
  }
  bool decided() const {
    return connected(direct) || connected(relayed) || (direct && relayed) || cancelled;
  }
  bool directEnded() const { return direct.has_value() || cancelled; }
  /// Waits for the condition, until `until` at most.
  boost::asio::awaitable<void> wait(bool (Race::*condition)() const, MonotonicTime until) {
    while (!(this->*condition)() && monotonicNow() < until) {
      changed.expires_at(until);
      co_await changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
  }
  void cancel() {
    cancelled = true;
    directCanceller.cancel();
    relayedCanceller.cancel();
    changed.cancel();
  }

  boost::asio::steady_timer changed;
  std::optional<Result<http::ClientConnection>> direct;
  std::optional<Result<http::ClientConnection>> relayed;
  http::ExchangeCanceller directCanceller;
  http::ExchangeCanceller relayedCanceller;
  bool over = false;
  bool cancelled = false;
};

}  // namespace calicodrift::server_paths
