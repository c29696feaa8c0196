#include "forward/crash_check.h"

#include <boost/asio.hpp>

#include "http/status.h"

namespace calicodrift::forward {

namespace asio = boost::asio;
using asio::awaitable;

CrashCheck::CrashCheck(asio::any_io_executor executor, ServerCalls& calls,
                       const ServerProtocol& protocol, LaterRunListener onLaterRun)
    : executor_(std::move(executor)),
      calls_(calls),
      protocol_(protocol),
      onLaterRun_(std::move(onLaterRun)) {}

awaitable<RunState> CrashCheck::stateOf(fleet::Server server) {
  const RunKey run{server.id, fleet::incarnationOf(server)};
  const auto [place, isFirst] = next_.try_emplace(run);
  if (!place->second) {
    place->second = std::make_shared<Probe>(executor_);
  }
  const std::shared_ptr<Probe> probe = place->second;
  if (isFirst) {
    asio::co_spawn(executor_, runProbes(std::move(server)), asio::detached);
  }
  if (!probe->state) {
    co_await probe->answered.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return probe->state.value_or(RunState::kSilent);
}

awaitable<void> CrashCheck::runProbes(fleet::Server server) {
  const RunKey run{server.id, fleet::incarnationOf(server)};
  std::shared_ptr<Probe> probe = std::exchange(next_[run], nullptr);
  asio::steady_timer timer(executor_);
  while (probe) {
    timer.expires_after(kMinInterval);
    probe->state = co_await checkReport(server);
    probe->answered.cancel();
    if (probe->state == RunState::kSilent) {
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    probe = std::exchange(next_[run], nullptr);
  }
  next_.erase(run);
}

awaitable<RunState> CrashCheck::checkReport(fleet::Server server) {
  http::ExchangeOptions options;
  options.connection = http::ConnectionUse::kFresh;
  options.connectTimeout = kAnswerTimeout;
  options.headerTimeout = kAnswerTimeout;
  options.bodyTimeout = kAnswerTimeout;
  // A report that ends early cannot be read.
  options.unframedBody = http::UnframedBody::kAccept;
  http::Request query = protocol_.reportQuery(server);
  const Result<http::Response> answer =
      co_await calls_.exchange(server, std::move(query), options, CallPurpose::kQuery);
  if (!answer) {
    const bool refused = answer.error().reason == http::kConnectionRefused;
    co_return refused ? RunState::kEnded : RunState::kSilent;
  }
  co_return stateFrom(server, answer.value());
}

RunState CrashCheck::stateFrom(const fleet::Server& server, const http::Response& answer) const {
  if (protocol_.namesOtherServer(server, answer) || answer.status == http::kStatusMisdirected) {
    return RunState::kEnded;
  }
  const Result<ServerReport> report = protocol_.readReport(answer);
  if (!report) {
    // Servers without reports answer so, too; the address and the id are this server's.
    return RunState::kRunning;
  }
  if (!server.started) {
    // If the list contains no start, a report that does is no proof of another run.
    return report.value().started ? RunState::kUnidentified : RunState::kRunning;
  }
  switch (fleet::orderOf(report.value().started, server.started)) {
    case fleet::RunOrder::kSame:
      return RunState::kRunning;
    case fleet::RunOrder::kLater:
      onLaterRun_(server.id, report.value());
      return RunState::kEnded;
    default:
      return RunState::kUnidentified;
  }
}

}  // namespace calicodrift::forward
