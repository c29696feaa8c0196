#include "gateway/cache_store_monitor.h"

#include <boost/asio.hpp>

#include "log/log.h"

namespace calicodrift::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Milliseconds kWait{1000};
constexpr Milliseconds kCallTimeout{300};
constexpr Milliseconds kPause{250};

}  // namespace

CacheStoreMonitor::CacheStoreMonitor(asio::any_io_executor executor, http::Client& client,
                                     const forward::ServerProtocol& protocol, TableSource table)
    : executor_(std::move(executor)),
      client_(client),
      protocol_(protocol),
      table_(std::move(table)) {}

void CacheStoreMonitor::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

std::optional<Endpoint> CacheStoreMonitor::endpoint() const {
  const std::shared_ptr<const routes::RouteTable> table = table_();
  const routes::CacheStore* store = table ? table->cacheStore() : nullptr;
  return store != nullptr && alive_ == store->endpoint ? alive_ : std::nullopt;
}

awaitable<void> CacheStoreMonitor::run() {
  asio::steady_timer timer(executor_);
  for (;;) {
    const std::shared_ptr<const routes::RouteTable> table = table_();
    const routes::CacheStore* store = table ? table->cacheStore() : nullptr;
    if (store != nullptr) {
      co_await ask(store->endpoint);
    }
    timer.expires_after(kPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> CacheStoreMonitor::ask(Endpoint endpoint) {
  http::Request query = protocol_.cacheStoreQuery(state_, kWait);
  http::ExchangeOptions options;
  options.connectTimeout = kCallTimeout;
  options.headerTimeout = kWait + kCallTimeout;
  options.bodyTimeout = kCallTimeout;
  options.unacknowledgedTimeout = kCallTimeout;
  Result<http::Response> answer = co_await client_.exchange(endpoint, std::move(query), options);
  setAlive(endpoint, static_cast<bool>(answer));
  if (answer) {
    if (const auto state = protocol_.readCacheStore(answer.value())) {
      state_ = *state;
    }
  }
}

void CacheStoreMonitor::setAlive(const Endpoint& endpoint, bool alive) {
  const bool was = alive_ == endpoint;
  if (was != alive) {
    log::write(alive ? log::Level::kInfo : log::Level::kWarning,
               alive ? "cache_store_regained" : "cache_store_lost",
               {{"address", endpoint.toString()}});
  }
  alive_ = alive ? std::optional<Endpoint>(endpoint) : std::nullopt;
}

}  // namespace calicodrift::gateway
