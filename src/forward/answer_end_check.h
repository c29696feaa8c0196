#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string_view>

#include "forward/crash_check.h"
#include "http/body_end.h"
#include "http/client.h"
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
///
/// A process that stands still for a while is alive: whoever does not answer is asked again until
/// the deadline, so that no answer is lost to the silence of a sound server.
class AnswerEndCheck {
 public:
  AnswerEndCheck(boost::asio::any_io_executor executor, CrashCheck& crashCheck, ServerCalls& calls,
                 ForwardMetrics& metrics)
      : executor_(std::move(executor)), crashCheck_(crashCheck), calls_(calls), metrics_(metrics) {}

  /// Succeeds if the body is whole, at once for BodyEnd::kFramed. Fails with kStreamBroken if it is
  /// not, or if that is still unknown when the exchange is cancelled, as it is at its deadline.
  /// @param tunnel the tunnel that the answer came through; empty: a direct connection.
  boost::asio::awaitable<Result<void>> confirm(const fleet::Server& server, http::BodyEnd end,
                                               std::optional<http::Tunnel> tunnel,
                                               http::ExchangeCanceller& canceller);
  /// The error for a stream that ended inside an event.
  Error partialEventError(const fleet::Server& server);

  /// Least time between two questions. A question that nobody answers takes as long as
  /// CrashCheck::kAnswerTimeout, and the next one follows at once.
  static constexpr Milliseconds kMinInterval{50};

 private:
  struct Inquiry;

  boost::asio::awaitable<void> askUntilDecided(std::shared_ptr<Inquiry> inquiry);
  /// Asks for what the inquiry does not know yet.
  boost::asio::awaitable<void> askOnce(Inquiry& inquiry);
  boost::asio::awaitable<RunState> runState(const Inquiry& inquiry);
  boost::asio::awaitable<std::optional<bool>> serverEndedTunnel(const Inquiry& inquiry);
  Error unproven(const fleet::Server& server, std::string_view cause);

  boost::asio::any_io_executor executor_;
  CrashCheck& crashCheck_;
  ServerCalls& calls_;
  ForwardMetrics& metrics_;
};

}  // namespace calicodrift::forward
