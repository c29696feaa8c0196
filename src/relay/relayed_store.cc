#include "relay/relayed_store.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Longer than a node usually looks for a parent, and well below the age at which a view counts as
/// too old.
constexpr Milliseconds kWaitForSource{300};

Error noSource() {
  return fail(ErrorKind::kStoreUnavailable, "no relay is followed now");
}

}  // namespace

RelayedStore::RelayedStore(asio::any_io_executor executor, store::ObjectStore& direct,
                           RelayClient& client)
    : executor_(std::move(executor)), direct_(direct), client_(client) {}

WatchCache* RelayedStore::cache(const std::string& kind) {
  const auto found = caches_.find(kind);
  return found == caches_.end() ? nullptr : found->second.get();
}

MonotonicTime RelayedStore::provenAt() const {
  if (caches_.empty()) {
    return {};
  }
  MonotonicTime oldest = MonotonicTime::max();
  for (const auto& [kind, cache] : caches_) {
    oldest = std::min(oldest, cache->provenAt());
  }
  return oldest;
}

void RelayedStore::setSource(Source source, const Endpoint& relay) {
  if (source == source_ && relay == relay_) {
    return;
  }
  source_ = source;
  relay_ = relay;
  ++sourceNumber_;
  for (const auto& waiter : waiting_) {
    waiter->cancel();
  }
}

awaitable<Result<store::Listing>> RelayedStore::list(std::string kind) {
  // Children may wait for the first state from now on.
  std::unique_ptr<WatchCache>& cache = caches_[kind];
  if (!cache) {
    cache = std::make_unique<WatchCache>(executor_);
  }
  co_await awaitSource();
  const MonotonicTime asked = monotonicNow();
  Result<store::Listing> listing = co_await listAnywhere(kind);
  if (listing) {
    if (listing.value().revision >= cache->revision()) {
      cache->applyListing(listing.value(), asked + listing.value().provenAfterAsked);
    }
  }
  co_return listing;
}

awaitable<Result<store::ChangeBatch>> RelayedStore::watch(std::string kind, store::Revision since,
                                                          Milliseconds wait) {
  co_await awaitSource();
  const MonotonicTime asked = monotonicNow();
  Result<store::ChangeBatch> batch = co_await watchAnywhere(kind, since, wait);
  if (batch) {
    if (WatchCache* known = cache(kind)) {
      known->applyChanges(batch.value(),
                          store::provenAt(batch.value(), asked, wait, monotonicNow()));
    }
  }
  co_return batch;
}

awaitable<Result<store::Listing>> RelayedStore::listAnywhere(std::string kind) {
  if (source_ == Source::kNone) {
    co_return noSource();
  }
  if (source_ == Source::kStore) {
    co_return co_await direct_.list(std::move(kind));
  }
  const Endpoint relay = relay_;
  Result<store::Listing> listing =
      co_await callRelay<store::Listing>(client_.list(relay, std::move(kind)));
  if (!listing && relay == relay_ && onRelayFailed_) {
    onRelayFailed_(relay, listing.error());
  }
  co_return listing;
}

awaitable<Result<store::ChangeBatch>> RelayedStore::watchAnywhere(std::string kind,
                                                                  store::Revision since,
                                                                  Milliseconds wait) {
  if (source_ == Source::kNone) {
    co_return noSource();
  }
  if (source_ == Source::kStore) {
    co_return co_await direct_.watch(std::move(kind), since, wait);
  }
  const Endpoint relay = relay_;
  Result<store::ChangeBatch> batch =
      co_await callRelay<store::ChangeBatch>(client_.watch(relay, std::move(kind), since, wait));
  const bool failed = !batch && batch.error().kind != ErrorKind::kVersionConflict;
  if (failed && relay == relay_ && onRelayFailed_) {
    onRelayFailed_(relay, batch.error());
  }
  co_return batch;
}

template <typename Value>
awaitable<Result<Value>> RelayedStore::callRelay(awaitable<Result<Value>> call) {
  struct Outcome {
    std::optional<Result<Value>> result;
    std::shared_ptr<asio::steady_timer> done;
  };
  const auto outcome = std::make_shared<Outcome>();
  outcome->done = std::make_shared<asio::steady_timer>(executor_, MonotonicTime::max());
  const auto waiter = waiting_.insert(waiting_.end(), outcome->done);
  const std::uint64_t source = sourceNumber_;
  asio::co_spawn(
      executor_,
      [](awaitable<Result<Value>> pending, std::shared_ptr<Outcome> shared) -> awaitable<void> {
        shared->result = co_await std::move(pending);
        shared->done->cancel();
      }(std::move(call), outcome),
      asio::detached);
  while (!outcome->result && source == sourceNumber_) {
    co_await outcome->done->async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiting_.erase(waiter);
  if (!outcome->result) {
    co_return fail(ErrorKind::kStoreUnavailable, "the relay was left");
  }
  co_return std::move(*outcome->result);
}

awaitable<void> RelayedStore::awaitSource() {
  if (source_ != Source::kNone) {
    co_return;
  }
  const auto timer =
      std::make_shared<asio::steady_timer>(executor_, monotonicNow() + kWaitForSource);
  const auto waiter = waiting_.insert(waiting_.end(), timer);
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  waiting_.erase(waiter);
}

}  // namespace calicodrift::relay
