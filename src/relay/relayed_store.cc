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

namespace {

/// A watch as short as this is asked only for the proof that it brings.
constexpr Milliseconds kProofWait{20};

}  // namespace

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
  if (!relay_) {
    co_return co_await direct_.watch(std::move(kind), since, wait);
  }
  const Endpoint relay = *relay_;
  const MonotonicTime asked = monotonicNow();
  Result<store::ChangeBatch> batch = co_await client_.watch(relay, kind, since, wait);
  if (batch || batch.error().kind == ErrorKind::kVersionConflict) {
    co_return batch;
  }
  leave(relay, batch.error());
  co_return co_await proveDirectly(std::move(kind), since, asked);
}

awaitable<Result<store::ChangeBatch>> RelayedStore::proveDirectly(std::string kind,
                                                                  store::Revision since,
                                                                  MonotonicTime asked) {
  const MonotonicTime askedStore = monotonicNow();
  Result<store::ChangeBatch> batch = co_await direct_.watch(std::move(kind), since, kProofWait);
  if (batch) {
    const MonotonicTime proven =
        store::provenAt(batch.value(), askedStore, kProofWait, monotonicNow());
    batch.value().provenAfterAsked = std::chrono::floor<Milliseconds>(proven - asked);
  }
  co_return batch;
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
