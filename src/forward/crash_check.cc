#include "forward/crash_check.h"

#include <boost/asio.hpp>

#include "http/status.h"

namespace calicodrift::forward {

namespace asio = boost::asio;
using asio::awaitable;

CrashCheck::CrashCheck(asio::any_io_executor executor, ServerCalls& calls,
                       const ServerProtocol& protocol)
    : executor_(std::move(executor)), calls_(calls), protocol_(protocol) {}

awaitable<bool> CrashCheck::processHasEnded(fleet::Server server) {
  const RunKey run{server.id, fleet::incarnationOf(server)};
  std::shared_ptr<Probe>& known = probes_[run];
  if (!known) {
    known = std::make_shared<Probe>(executor_);
    known->answered.expires_at(asio::steady_timer::time_point::max());
    asio::co_spawn(executor_, runProbe(std::move(server), known), asio::detached);
  }
  const std::shared_ptr<Probe> probe = known;
  if (!probe->ended) {
    co_await probe->answered.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return probe->ended.value_or(false);
}

awaitable<void> CrashCheck::runProbe(fleet::Server server, std::shared_ptr<Probe> probe) {
  const RunKey run{server.id, fleet::incarnationOf(server)};
  probe->ended = co_await checkReport(std::move(server));
  probes_.erase(run);
  probe->answered.cancel();
}

awaitable<bool> CrashCheck::checkReport(fleet::Server server) {
  http::ExchangeOptions options;
  options.connection = http::ConnectionUse::kFresh;
  options.connectTimeout = kAnswerTimeout;
  options.headerTimeout = kAnswerTimeout;
  options.bodyTimeout = kAnswerTimeout;
  http::Request query = protocol_.reportQuery(server);
  const Result<http::Response> answer =
      co_await calls_.exchange(server, std::move(query), options, CallPurpose::kQuery);
  if (!answer) {
    co_return answer.error().reason == http::kConnectionRefused;
  }
  if (protocol_.namesOtherServer(server, answer.value()) ||
      answer.value().status == http::kStatusMisdirected) {
    co_return true;
  }
  if (!server.started) {
    // If the list contains no start, a report that does is no proof of another run.
    co_return false;
  }
  const Result<ServerReport> report = protocol_.readReport(answer.value());
  if (!report) {
    co_return false;
  }
  co_return fleet::orderOf(report.value().started, server.started) == fleet::RunOrder::kLater;
}

}  // namespace calicodrift::forward
