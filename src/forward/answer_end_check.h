#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string_view>

#include "forward/crash_check.h"
#include "http/body_end.h"
#include "http/connection_path.h"

namespace calicodrift::forward {

/// Reason of the error for an answer that ended without proof that it is whole.
inline constexpr std::string_view kUnprovenEnd = "unproven_end";

/// Decides whether a server's answer that ended with its connection is whole.
///
/// The end of a connection is the same for a server that has written all of its answer and for one
/// whose process has ended. So the server is asked after the end: if the run that began the answer
/// is alive, it has ended the answer itself. The end of a tunnel may also be the end of the node
/// that carries it, so that node is asked as well, at the same time.
class AnswerEndCheck {
 public:
  AnswerEndCheck(CrashCheck& crashCheck, ServerCalls& calls, ForwardMetrics& metrics)
      : crashCheck_(crashCheck), calls_(calls), metrics_(metrics) {}

  /// Succeeds if the body is whole, at once for BodyEnd::kFramed. Fails with kStreamBroken.
  /// @param tunnel the tunnel that the answer came through; empty: a direct connection.
  boost::asio::awaitable<Result<void>> confirm(const fleet::Server& server, http::BodyEnd end,
                                               std::optional<http::Tunnel> tunnel);
  /// The error for a stream that ended inside an event.
  Error partialEventError(const fleet::Server& server);

 private:
  boost::asio::awaitable<bool> serverEndedTunnel(std::optional<http::Tunnel> tunnel);
  Error unproven(const fleet::Server& server, std::string_view cause);

  CrashCheck& crashCheck_;
  ServerCalls& calls_;
  ForwardMetrics& metrics_;
};

}  // namespace calicodrift::forward
