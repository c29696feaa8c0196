#include "gateway/server_prober.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace calicodrift::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Milliseconds kProbeInterval{400};
constexpr Milliseconds kProbeTimeout{350};
/// A probe takes two round trips to the server, one of them for the connection; twice that allows
/// for a slow server.
constexpr double kProbeRoundTrips = 4;

}  // namespace

ServerProber::ServerProber(asio::any_io_executor executor, forward::ServerCalls& calls,
                           const forward::ServerProtocol& protocol, fleet::ServerPool& pool,
                           TableSource table)
    : executor_(std::move(executor)),
      calls_(calls),
      protocol_(protocol),
      pool_(pool),
      table_(std::move(table)) {}

void ServerProber::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

awaitable<void> ServerProber::run() {
  asio::steady_timer timer(executor_);
  for (;;) {
    for (const fleet::Server& server : pool_.unreachable()) {
      if (probing_.insert(server.id).second) {
        asio::co_spawn(executor_, probe(server), asio::detached);
      }
    }
    timer.expires_after(kProbeInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> ServerProber::probe(fleet::Server server) {
  const bool allowed = !permit_ || co_await permit_(server);
  if (allowed) {
    const Result<http::Response> answer = co_await ask(server);
    if (done_) {
      done_(server, static_cast<bool>(answer));
    }
    const bool healthy = answer && protocol_.isHealthy(server, answer.value());
    if (healthy && pool_.isCurrent(server)) {
      pool_.probeSucceeded(server.id, monotonicNow());
    }
  }
  probing_.erase(server.id);
}

awaitable<Result<http::Response>> ServerProber::ask(fleet::Server server) {
  const std::shared_ptr<const routes::RouteTable> table = table_();
  const routes::Service* service = table ? table->findService(server.service) : nullptr;
  if (service == nullptr) {
    co_return fail(ErrorKind::kNoConfiguration, "no service '" + server.service + "'");
  }
  http::Request query = protocol_.healthQuery(*service);
  http::ExchangeOptions options;
  const double rttMs = pool_.rttMsTo(server, monotonicNow());
  const Milliseconds timeout =
      std::max(kProbeTimeout, Milliseconds(static_cast<std::int64_t>(kProbeRoundTrips * rttMs)));
  options.connectTimeout = timeout;
  options.headerTimeout = timeout;
  options.bodyTimeout = timeout;
  // Only the head is used.
  options.unframedBody = http::UnframedBody::kAccept;
  Result<http::Response> answer =
      co_await calls_.exchange(server, std::move(query), options, forward::CallPurpose::kQuery);
  if (answer && protocol_.namesOtherServer(server, answer.value())) {
    co_return fail(ErrorKind::kFenced, "another server answers at the address");
  }
  co_return answer;
}

}  // namespace calicodrift::gateway
