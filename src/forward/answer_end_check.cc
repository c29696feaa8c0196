#include "forward/answer_end_check.h"

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <tuple>
#include <utility>

#include "log/log.h"

namespace calicodrift::forward {

namespace asio = boost::asio;
using asio::awaitable;
using namespace asio::experimental::awaitable_operators;

/// What is known of one answer's end. Shared by the coroutine that asks and the one that waits.
struct AnswerEndCheck::Inquiry {
  Inquiry(const asio::any_io_executor& executor, fleet::Server askedServer,
          std::optional<http::Tunnel> usedTunnel)
      : server(std::move(askedServer)), tunnel(std::move(usedTunnel)), finished(executor) {
    if (!tunnel) {
      endedByServer = true;
    }
  }

  bool decided() const {
    const bool whole = state == RunState::kRunning && endedByServer == true;
    const bool undecidable = state == RunState::kUnidentified;
    return whole || undecidable || state == RunState::kEnded || endedByServer == false;
  }
  void finish() {
    over = true;
    finished.cancel();
  }

  const fleet::Server server;
  const std::optional<http::Tunnel> tunnel;
  RunState state = RunState::kSilent;
  /// Whether the server has ended the tunnel; empty while the carrying node has not said so.
  std::optional<bool> endedByServer;
  std::size_t questions = 0;
  /// Decided, or given up by the coroutine that waits.
  bool over = false;
  asio::steady_timer finished;
};

awaitable<Result<void>> AnswerEndCheck::confirm(const fleet::Server& server, http::BodyEnd end,
                                                std::optional<http::Tunnel> tunnel,
                                                http::ExchangeCanceller& canceller) {
  if (end == http::BodyEnd::kFramed) {
    metrics_.countAnswerEnd("framed");
    co_return boost::outcome_v2::success();
  }
  auto inquiry = std::make_shared<Inquiry>(executor_, server, std::move(tunnel));
  canceller.attach([weak = std::weak_ptr(inquiry)] {
    if (const auto held = weak.lock()) {
      held->finish();
    }
  });
  if (!inquiry->over) {
    inquiry->finished.expires_at(MonotonicTime::max());
    asio::co_spawn(executor_, askUntilDecided(inquiry), asio::detached);
    co_await inquiry->finished.async_wait(asio::as_tuple(asio::use_awaitable));
    inquiry->over = true;
  }
  if (inquiry->endedByServer == false) {
    co_return unproven(server, "tunnel_ended");
  }
  switch (inquiry->state) {
    case RunState::kRunning:
      break;
    case RunState::kEnded:
      co_return unproven(server, "server_ended");
    case RunState::kUnidentified:
      co_return unproven(server, "run_unidentified");
    case RunState::kSilent:
      co_return unproven(server, "server_silent");
  }
  if (!inquiry->endedByServer) {
    co_return unproven(server, "tunnel_silent");
  }
  metrics_.countAnswerEnd(inquiry->questions == 1 ? "confirmed" : "confirmed_late");
  co_return boost::outcome_v2::success();
}

awaitable<void> AnswerEndCheck::askUntilDecided(std::shared_ptr<Inquiry> inquiry) {
  asio::steady_timer timer(executor_);
  while (!inquiry->over) {
    timer.expires_after(kMinInterval);
    ++inquiry->questions;
    co_await askOnce(*inquiry);
    if (inquiry->decided()) {
      inquiry->finish();
      co_return;
    }
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

awaitable<void> AnswerEndCheck::askOnce(Inquiry& inquiry) {
  std::tie(inquiry.state, inquiry.endedByServer) =
      co_await (runState(inquiry) && serverEndedTunnel(inquiry));
}

awaitable<RunState> AnswerEndCheck::runState(const Inquiry& inquiry) {
  if (inquiry.state != RunState::kSilent) {
    co_return inquiry.state;
  }
  co_return co_await crashCheck_.stateOf(inquiry.server);
}

awaitable<std::optional<bool>> AnswerEndCheck::serverEndedTunnel(const Inquiry& inquiry) {
  if (inquiry.endedByServer) {
    co_return inquiry.endedByServer;
  }
  co_return co_await calls_.serverEndedTunnel(*inquiry.tunnel);
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
