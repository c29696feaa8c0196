#include "gateway/loss_log.h"

#include <boost/asio.hpp>
#include <utility>

#include "log/log.h"

namespace calicodrift::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Milliseconds kCountInterval{1000};

}  // namespace

void LossLog::note(const fleet::Server& server, fleet::ServerLoss loss) {
  if (loss == fleet::ServerLoss::kReloaded) {
    if (reloads_++ == 0) {
      asio::co_spawn(executor_, writeReloads(), asio::detached);
    }
    return;
  }
  log::write(log::Level::kInfo, "server_lost",
             {{"server", server.id.value()},
              {"service", server.service},
              {"started", std::to_string(fleet::incarnationOf(server).value())},
              {"cause", std::string(toString(loss))}});
}

awaitable<void> LossLog::writeReloads() {
  asio::steady_timer timer(executor_, kCountInterval);
  co_await timer.async_wait(asio::use_awaitable);
  log::write(log::Level::kInfo, "servers_reloaded",
             {{"count", std::to_string(std::exchange(reloads_, 0))}});
}

}  // namespace calicodrift::gateway
