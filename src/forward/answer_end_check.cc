#include "forward/answer_end_check.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

#include "log/log.h"

namespace calicodrift::forward {

using boost::asio::awaitable;
using namespace boost::asio::experimental::awaitable_operators;

awaitable<Result<void>> AnswerEndCheck::confirm(const fleet::Server& server, http::BodyEnd end,
                                                std::optional<http::Tunnel> tunnel) {
  if (end == http::BodyEnd::kFramed) {
    metrics_.countAnswerEnd("framed");
    co_return boost::outcome_v2::success();
  }
  const auto [state, endedByServer] =
      co_await (crashCheck_.stateOf(server) && serverEndedTunnel(std::move(tunnel)));
  if (!endedByServer) {
    co_return unproven(server, "tunnel_ended");
  }
  switch (state) {
    case RunState::kRunning:
      metrics_.countAnswerEnd("confirmed");
      co_return boost::outcome_v2::success();
    case RunState::kEnded:
      co_return unproven(server, "server_ended");
    case RunState::kUnknown:
      break;
  }
  co_return unproven(server, "server_silent");
}

awaitable<bool> AnswerEndCheck::serverEndedTunnel(std::optional<http::Tunnel> tunnel) {
  if (!tunnel) {
    co_return true;
  }
  co_return co_await calls_.serverEndedTunnel(std::move(*tunnel));
}

Error AnswerEndCheck::partialEventError(const fleet::Server& server) {
  return unproven(server, "inside_event");
}

Error AnswerEndCheck::unproven(const fleet::Server& server, std::string_view cause) {
  metrics_.countAnswerEnd(cause);
  log::write(log::Level::kInfo, "answer_end_unproven",
             {{"server", server.id.value()}, {"cause", std::string(cause)}});
  Error error = fail(ErrorKind::kStreamBroken,
                     "the answer of server '" + server.id.value() +
                         "' ended without proof that it is whole: " + std::string(cause));
  error.reason = kUnprovenEnd;
  return error;
}

}  // namespace calicodrift::forward
