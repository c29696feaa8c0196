#include "relay/relayed_store.h"

namespace calicodrift::relay {

using boost::asio::awaitable;

RelayedStore::RelayedStore(boost::asio::any_io_executor executor, store::ObjectStore& direct,
                           RelayClient client)
    : executor_(std::move(executor)), direct_(direct), client_(client) {}

WatchCache* RelayedStore::cache(const std::string& kind) {
  const auto found = caches_.find(kind);
  return found == caches_.end() ? nullptr : found->second.get();
}

awaitable<Result<store::Listing>> RelayedStore::list(std::string kind) {
  const MonotonicTime asked = monotonicNow();
  Result<store::Listing> listing = co_await listAnywhere(kind);
  if (listing) {
    std::unique_ptr<WatchCache>& cache = caches_[kind];
    if (!cache) {
      cache = std::make_unique<WatchCache>(executor_);
    }
    if (listing.value().revision >= cache->revision()) {
      cache->applyListing(listing.value(), asked + listing.value().provenAfterAsked);
    }
  }
  co_return listing;
}

awaitable<Result<store::ChangeBatch>> RelayedStore::watch(std::string kind, store::Revision since,
                                                          Milliseconds wait) {
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
  if (relay_) {
    const Endpoint relay = *relay_;
    Result<store::Listing> listing = co_await client_.list(relay, kind);
    if (listing) {
      co_return listing;
    }
    leave(relay, listing.error());
  }
  co_return co_await direct_.list(std::move(kind));
}

awaitable<Result<store::ChangeBatch>> RelayedStore::watchAnywhere(std::string kind,
                                                                  store::Revision since,
                                                                  Milliseconds wait) {
  if (relay_) {
    const Endpoint relay = *relay_;
    Result<store::ChangeBatch> batch = co_await client_.watch(relay, kind, since, wait);
    if (batch || batch.error().kind == ErrorKind::kVersionConflict) {
      co_return batch;
    }
    leave(relay, batch.error());
  }
  co_return co_await direct_.watch(std::move(kind), since, wait);
}

void RelayedStore::leave(const Endpoint& relay, const Error& cause) {
  // Another call may have left it already.
  if (relay_ == relay) {
    relay_.reset();
    if (onRelayFailed_) {
      onRelayFailed_(relay, cause);
    }
  }
}

}  // namespace calicodrift::relay
