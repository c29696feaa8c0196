#include "forward/crash_check.h"

#include <boost/asio.hpp>

#include "http/status.h"

namespace calicodrift::forward {

namespace asio = boost::asio;
using asio::awaitable;

CrashCheck::CrashCheck(asio::any_io_executor executor, ServerCalls& calls,
                       const ServerProtocol& protocol)
    : executor_(std::move(executor)), calls_(calls), protocol_(protocol) {}

awaitable<bool> CrashCheck::hasEnded(fleet::Server server) {
  const Run run{server.id, fleet::incarnationOf(server)};
  std::shared_ptr<Question>& known = questions_[run];
  if (!known) {
    known = std::make_shared<Question>(executor_);
    known->answered.expires_at(asio::steady_timer::time_point::max());
    asio::co_spawn(executor_, ask(std::move(server), known), asio::detached);
  }
  const std::shared_ptr<Question> question = known;
  if (!question->ended) {
    co_await question->answered.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return question->ended.value_or(false);
}

awaitable<void> CrashCheck::ask(fleet::Server server, std::shared_ptr<Question> question) {
  const Run run{server.id, fleet::incarnationOf(server)};
  question->ended = co_await probe(std::move(server));
  questions_.erase(run);
  question->answered.cancel();
}

awaitable<bool> CrashCheck::probe(fleet::Server server) {
  http::ExchangeOptions options;
  options.connection = http::ConnectionUse::kFresh;
  options.connectTimeout = kAnswerTimeout;
  options.headerTimeout = kAnswerTimeout;
  options.bodyTimeout = kAnswerTimeout;
  http::Request query = protocol_.reportQuery(server);
  const Result<http::Response> answer =
      co_await calls_.exchange(server, std::move(query), options, CallPurpose::kQuestion);
  if (!answer) {
    co_return answer.error().reason == http::kConnectionRefused;
  }
  if (protocol_.namesAnother(server, answer.value()) ||
      answer.value().status == http::kStatusMisdirected) {
    co_return true;
  }
  if (!server.started) {
    // Where the list tells no start, a report that does says nothing of another run.
    co_return false;
  }
  const Result<ServerReport> report = protocol_.readReport(answer.value());
  if (!report) {
    co_return false;
  }
  co_return fleet::orderOf(report.value().started, server.started) == fleet::RunOrder::kLater;
}

}  // namespace calicodrift::forward
