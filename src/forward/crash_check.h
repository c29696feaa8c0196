#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "forward/protocol.h"
#include "forward/server_calls.h"

namespace calicodrift::forward {

/// Determines whether a server's process has ended after one of its answers broke off. A lost
/// answer, a reset connection or a malformed stream alone does not count as an ended process.
///
/// The server is asked for its report over a new connection: a refused connection, another server
/// at the address or a later run proves that the process has ended. A timeout proves nothing,
/// because the network path may be interrupted. Concurrent checks of one run share one probe, so
/// that the end of a process costs a node one call.
class CrashCheck {
 public:
  CrashCheck(boost::asio::any_io_executor executor, ServerCalls& calls,
             const ServerProtocol& protocol);

  /// Takes one round trip if the network path works, and at most kAnswerTimeout.
  boost::asio::awaitable<bool> processHasEnded(fleet::Server server);

  /// Several round trips, also between regions, where 100 ms is a long one.
  static constexpr Milliseconds kAnswerTimeout{200};

 private:
  using RunKey = std::pair<BackendId, Incarnation>;
  struct Probe {
    explicit Probe(const boost::asio::any_io_executor& executor) : answered(executor) {}

    std::optional<bool> ended;
    /// Cancelled when the result is available.
    boost::asio::steady_timer answered;
  };

  boost::asio::awaitable<void> runProbe(fleet::Server server, std::shared_ptr<Probe> probe);
  boost::asio::awaitable<bool> checkReport(fleet::Server server);

  boost::asio::any_io_executor executor_;
  ServerCalls& calls_;
  const ServerProtocol& protocol_;
  std::map<RunKey, std::shared_ptr<Probe>> probes_;
};

}  // namespace calicodrift::forward
