#include "gateway/cache_stores.h"

#include <algorithm>
#include <boost/asio.hpp>

#include "common/hashing.h"
#include "forward/cache_moves.h"
#include "log/log.h"

namespace calicodrift::gateway {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr Milliseconds kWait{1000};
constexpr Milliseconds kCallTimeout{300};
/// Between two calls to one store, as many nodes ask it.
constexpr Milliseconds kPause{700};
constexpr Milliseconds kTableInterval{250};

}  // namespace

CacheStores::CacheStores(asio::any_io_executor executor, server_paths::ServerPaths& paths,
                         const forward::ServerProtocol& protocol, TableSource table,
                         AskingSource asks, LossListener onLost)
    : executor_(std::move(executor)),
      paths_(paths),
      protocol_(protocol),
      table_(std::move(table)),
      asks_(std::move(asks)),
      onLost_(std::move(onLost)) {}

void CacheStores::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

std::optional<Endpoint> CacheStores::storeFor(std::uint64_t key) const {
  std::optional<Endpoint> best;
  std::uint64_t bestRank = 0;
  for (const auto& [endpoint, store] : stores_) {
    const std::uint64_t rank = hashPair(key, store.key);
    if (store.alive && (!best || rank > bestRank)) {
      best = endpoint;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<fleet::CacheStoreReport> CacheStores::reports() const {
  std::vector<fleet::CacheStoreReport> reports;
  reports.reserve(stores_.size());
  for (const auto& [endpoint, store] : stores_) {
    const forward::CacheStoreState state = store.state.value_or(forward::CacheStoreState{});
    reports.push_back(
        {store.key, state.epoch, store.alive, state.started.value_or(Incarnation()).value()});
  }
  return reports;
}

void CacheStores::learn(const std::vector<fleet::CacheStoreReport>& reports) {
  if (asks_()) {
    return;
  }
  for (auto& [endpoint, store] : stores_) {
    const std::uint64_t key = store.key;
    const auto told =
        std::find_if(reports.begin(), reports.end(),
                     [key](const fleet::CacheStoreReport& report) { return report.store == key; });
    if (told == reports.end()) {
      continue;
    }
    if (told->answers) {
      forward::CacheStoreState state{told->epoch, 0};
      if (told->started > 0) {
        state.started = Incarnation(told->started);
      }
      noteAnswer(endpoint, store, state);
    } else {
      noteSilence(endpoint, store);
    }
  }
}

awaitable<void> CacheStores::run() {
  asio::steady_timer timer(executor_);
  for (;;) {
    if (const std::shared_ptr<const routes::RouteTable> table = table_()) {
      for (const routes::CacheStore* store : table->cacheStores()) {
        if (!stores_.contains(store->endpoint)) {
          stores_[store->endpoint].key = forward::storeKeyOf(store->endpoint);
          asio::co_spawn(executor_, watch(store->endpoint), asio::detached);
        }
      }
    }
    timer.expires_after(kTableInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> CacheStores::watch(Endpoint endpoint) {
  asio::steady_timer timer(executor_);
  while (configured(endpoint)) {
    if (asks_() && monotonicNow() >= stores_.at(endpoint).restUntil) {
      co_await ask(endpoint);
    }
    timer.expires_after(kPause);
    co_await timer.async_wait(asio::use_awaitable);
  }
  stores_.erase(endpoint);
}

bool CacheStores::configured(const Endpoint& endpoint) const {
  const std::shared_ptr<const routes::RouteTable> table = table_();
  if (!table) {
    return false;
  }
  const std::vector<const routes::CacheStore*> stores = table->cacheStores();
  return std::any_of(stores.begin(), stores.end(), [&endpoint](const routes::CacheStore* store) {
    return store->endpoint == endpoint;
  });
}

awaitable<void> CacheStores::ask(Endpoint endpoint) {
  Store& store = stores_.at(endpoint);
  http::Request query =
      protocol_.cacheStoreQuery(store.state.value_or(forward::CacheStoreState{}), kWait);
  http::ExchangeOptions options;
  options.headerTimeout = kWait + kCallTimeout;
  options.bodyTimeout = kCallTimeout;
  http::boundToShortAnswer(options);
  server_paths::PathOptions path;
  path.connectTimeout = kCallTimeout;
  path.unacknowledgedTimeout = kCallTimeout;
  auto opened = co_await paths_.open(endpoint, std::move(query), path, options);
  if (!opened) {
    noteSilence(endpoint, store);
    co_return;
  }
  const forward::ServerNotices notices = protocol_.noticesOf(opened.value()->head());
  if (notices.rest) {
    store.restUntil = std::max(store.restUntil, monotonicNow() + *notices.rest);
    log::write(log::Level::kInfo, "cache_store_asks_for_rest",
               {{"address", endpoint.toString()}, {"ms", std::to_string(notices.rest->count())}});
  }
  // A list that ends early cannot be read.
  const Result<http::Response> answer =
      co_await http::readWhole(*opened.value(), http::UnframedBody::kAccept);
  // One that leaves is given nothing more to keep.
  if (!answer || notices.leaving) {
    noteSilence(endpoint, store);
    co_return;
  }
  noteAnswer(endpoint, store, protocol_.readCacheStore(answer.value()));
}

void CacheStores::noteAnswer(const Endpoint& endpoint, Store& store,
                             const std::optional<forward::CacheStoreState>& state) {
  if (state) {
    noteState(endpoint, store, *state);
  }
  if (!store.alive) {
    store.alive = true;
    log::write(log::Level::kInfo, "cache_store_regained", {{"address", endpoint.toString()}});
  }
}

void CacheStores::noteState(const Endpoint& endpoint, Store& store,
                            const forward::CacheStoreState& state) {
  if (store.state) {
    const fleet::RunOrder order = fleet::orderOf(state.started, store.state->started);
    if (order == fleet::RunOrder::kEarlier || order == fleet::RunOrder::kUnknown) {
      return;
    }
    if (order == fleet::RunOrder::kLater || store.state->epoch != state.epoch) {
      onLost_(endpoint);
    }
  }
  store.state = state;
}

void CacheStores::noteSilence(const Endpoint& endpoint, Store& store) {
  if (store.alive) {
    store.alive = false;
    onLost_(endpoint);
    log::write(log::Level::kWarning, "cache_store_lost", {{"address", endpoint.toString()}});
  }
}

}  // namespace calicodrift::gateway
