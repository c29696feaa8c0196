#include "relay/relayed_store.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <iterator>

#include "peer/http_call.h"

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Longer than a node usually needs to find a parent, and well below the age at which a view counts
/// as stale.
constexpr Milliseconds kSourceTimeout{300};
/// Objects that the store returns at a time.
constexpr std::size_t kObjectsOfAPage = 500;
/// Wait of a watch that only fetches existing changes.
constexpr Milliseconds kShortestWatch{1};

Error noSourceError() {
  return fail(ErrorKind::kStoreUnavailable, "there is no source to read from");
}

}  // namespace

RelayedStore::RelayedStore(asio::any_io_executor executor, store::ObjectStore& direct,
                           RelayClient& client)
    : executor_(std::move(executor)), direct_(direct), client_(client) {}

WatchCache* RelayedStore::cache(const std::string& kind) {
  const auto found = views_.find(kind);
  return found == views_.end() ? nullptr : found->second.cache.get();
}

RelayedStore::View& RelayedStore::viewOf(const std::string& kind) {
  View& view = views_[kind];
  if (!view.cache) {
    view.cache = std::make_unique<WatchCache>(executor_);
  }
  return view;
}

MonotonicTime RelayedStore::provenAt() const {
  std::optional<MonotonicTime> oldest;
  for (const auto& [kind, view] : views_) {
    if (!excludedKinds_.contains(kind)) {
      oldest = std::min(oldest.value_or(view.sourceProvenAt), view.sourceProvenAt);
    }
  }
  return oldest.value_or(MonotonicTime{});
}

MonotonicTime RelayedStore::provenAt(const std::string& kind) const {
  const auto found = views_.find(kind);
  return found == views_.end() ? MonotonicTime{} : found->second.cache->provenAt();
}

void RelayedStore::setSource(Source source, const Endpoint& relay) {
  if (source == source_ && relay == relay_) {
    return;
  }
  source_ = source;
  relay_ = relay;
  ++sourceGeneration_;
  wakeWaiters();
}

void RelayedStore::wakeWaiters() {
  for (const auto& waiter : waiters_) {
    waiter->cancel();
  }
}

awaitable<Result<store::Listing>> RelayedStore::list(std::string kind) {
  // From now on children may wait for the first state.
  View& view = viewOf(kind);
  co_await waitForSource();
  const MonotonicTime asked = monotonicNow();
  if (hasUndelivered(view)) {
    co_return undeliveredListing(view, asked);
  }
  Result<store::Listing> listing = co_await listFromSource(view, std::move(kind));
  if (hasUndelivered(view)) {
    co_return undeliveredListing(view, asked);
  }
  if (listing && listing.value().revision >= view.cache->revision()) {
    const MonotonicTime provenAt = asked + listing.value().provenAfterAsked;
    view.cache->applyListing(listing.value(), provenAt);
    view.sourceProvenAt = std::max(view.sourceProvenAt, provenAt);
    markDelivered(view);
  }
  co_return listing;
}

awaitable<Result<store::ChangeBatch>> RelayedStore::watch(std::string kind, store::Revision since,
                                                          Milliseconds wait) {
  View& view = viewOf(kind);
  co_await waitForSource();
  const MonotonicTime asked = monotonicNow();
  if (hasUndelivered(view)) {
    co_return undeliveredChanges(view, since, asked);
  }
  Result<store::ChangeBatch> batch = co_await watchFromSource(view, kind, since, wait);
  const bool historyGone = !batch && batch.error().kind == ErrorKind::kVersionConflict;
  if (historyGone && source_ == Source::kStore && view.cache->known()) {
    co_await listAgain(view, std::move(kind));
  }
  if (hasUndelivered(view)) {
    co_return undeliveredChanges(view, since, asked);
  }
  if (batch) {
    const MonotonicTime provenAt = store::provenAt(batch.value(), asked, wait, monotonicNow());
    view.cache->applyChanges(batch.value(), provenAt);
    view.sourceProvenAt = std::max(view.sourceProvenAt, provenAt);
    markDelivered(view);
  }
  co_return batch;
}

awaitable<void> RelayedStore::listAgain(View& view, std::string kind) {
  const MonotonicTime asked = monotonicNow();
  const Result<store::Listing> listing = co_await listFromSource(view, std::move(kind));
  if (listing && listing.value().revision >= view.cache->revision()) {
    const MonotonicTime provenAt = asked + listing.value().provenAfterAsked;
    view.cache->applyListing(listing.value(), provenAt);
    view.sourceProvenAt = std::max(view.sourceProvenAt, provenAt);
  }
}

void RelayedStore::markDelivered(View& view) {
  view.deliveredProvenAt = view.cache->provenAt();
  view.deliveredRevision = view.cache->revision();
}

Result<store::Listing> RelayedStore::undeliveredListing(View& view, MonotonicTime asked) {
  store::Listing listing = view.cache->listing();
  markDelivered(view);
  listing.provenAfterAsked = std::chrono::floor<Milliseconds>(view.deliveredProvenAt - asked);
  return listing;
}

Result<store::ChangeBatch> RelayedStore::undeliveredChanges(View& view, store::Revision since,
                                                            MonotonicTime asked) {
  // If the history is gone, the reader lists again.
  BOOST_OUTCOME_TRY(store::ChangeBatch batch, view.cache->changesSince(since));
  markDelivered(view);
  batch.provenAfterAsked = std::chrono::floor<Milliseconds>(view.deliveredProvenAt - asked);
  return batch;
}

awaitable<Result<void>> RelayedStore::refresh(std::string kind, Milliseconds maxSilence,
                                              Listings listings) {
  const auto found = views_.find(kind);
  if (found == views_.end() || !found->second.cache->known()) {
    co_return fail(ErrorKind::kStoreUnavailable, "the kind has not been read yet");
  }
  View& view = found->second;
  const Result<void> read = co_await readFromStore(view, std::move(kind), maxSilence, listings);
  if (read && hasUndelivered(view)) {
    ++view.refreshes;
    wakeWaiters();
  }
  co_return read;
}

awaitable<Result<void>> RelayedStore::readFromStore(View& view, std::string kind,
                                                    Milliseconds maxSilence, Listings listings) {
  const store::Revision since = view.cache->revision();
  MonotonicTime asked = monotonicNow();
  Result<store::ChangeBatch> batch =
      co_await callUntilSilent(kind, maxSilence, direct_.watch(kind, since, kShortestWatch));
  if (batch) {
    // The source may have returned a newer state in the meantime.
    if (batch.value().revision >= view.cache->revision()) {
      view.cache->applyChanges(batch.value(), asked);
    }
    co_return checkProven(view, asked);
  }
  if (batch.error().kind != ErrorKind::kVersionConflict) {
    co_return batch.error();
  }
  if (listings == Listings::kShort && view.cache->size() > kObjectsOfAPage) {
    co_return fail(ErrorKind::kStoreUnavailable, "a long listing is left to the source for now");
  }
  asked = monotonicNow();
  Result<store::Listing> listing = co_await callUntilSilent(kind, maxSilence, direct_.list(kind));
  if (!listing) {
    co_return listing.error();
  }
  if (listing.value().revision >= view.cache->revision()) {
    view.cache->applyListing(listing.value(), asked);
  }
  co_return checkProven(view, asked);
}

Result<void> RelayedStore::checkProven(const View& view, MonotonicTime asked) {
  if (view.cache->provenAt() < asked) {
    return fail(ErrorKind::kStoreUnavailable,
                "the store returned a state older than the known one");
  }
  return boost::outcome_v2::success();
}

store::Revision RelayedStore::withKnownEra(store::Revision received) {
  direct_.observeEra(store::eraOf(received));
  return store::withEra(received, direct_.era());
}

awaitable<Result<store::Listing>> RelayedStore::listFromSource(View& view, std::string kind) {
  if (source_ == Source::kNone) {
    co_return noSourceError();
  }
  if (source_ == Source::kStore) {
    co_return co_await callUntilSourceChange(view, direct_.list(std::move(kind)));
  }
  const Endpoint relay = relay_;
  HeldTexts held = view.cache->specTexts().held();
  if (held.empty()) {
    // A follower that holds large texts gets what changed of them instead.
    auto listed = co_await listFromSnapshot(view, kind, relay);
    if (listed) {
      co_return std::move(*listed);
    }
  }
  Result<store::Listing> listing =
      co_await callUntilSourceChange(view, client_.list(relay, std::move(kind), std::move(held)));
  if (!listing && !hasUndelivered(view) && relay == relay_ && onRelayFailed_) {
    onRelayFailed_(relay, listing.error());
  }
  if (listing) {
    listing.value().revision = withKnownEra(listing.value().revision);
    for (store::Object& object : listing.value().objects) {
      object.revision = store::withEra(object.revision, direct_.era());
    }
  }
  co_return listing;
}

awaitable<std::optional<Result<store::Listing>>> RelayedStore::listFromSnapshot(View& view,
                                                                                std::string kind,
                                                                                Endpoint relay) {
  const MonotonicTime asked = monotonicNow();
  Result<SnapshotReply> reply =
      co_await callUntilSourceChange(view, client_.snapshot(relay, std::move(kind)));
  if (!reply) {
    if (reply.error().reason == peer::kUnknownPath) {
      co_return std::nullopt;
    }
    if (!hasUndelivered(view) && relay == relay_ && onRelayFailed_) {
      onRelayFailed_(relay, reply.error());
    }
    co_return reply.error();
  }
  SnapshotView received;
  received.snapshot = reply.value().snapshot;
  received.provenAt = asked + Milliseconds(reply.value().changes.provenAfterMs);
  received.changes.revision = withKnownEra(store::Revision(reply.value().changes.revision));
  for (const ViewObject& object : reply.value().changes.objects) {
    received.changes.changes.push_back({toObjectOrUnreadable(object), object.removed});
  }
  const Result<void> loaded = co_await loadSnapshot(view, std::move(received));
  if (!loaded) {
    co_return loaded.error();
  }
  store::Listing listing = view.cache->listing();
  listing.provenAfterAsked = std::chrono::floor<Milliseconds>(view.cache->provenAt() - asked);
  co_return listing;
}

awaitable<Result<void>> RelayedStore::loadSnapshot(View& view, SnapshotView received) {
  view.cache->offerSnapshot(received);
  store::Listing base;
  base.revision = store::Revision(received.snapshot->revision);
  for (const SnapshotPart& part : received.snapshot->parts) {
    Result<std::vector<store::Object>> objects = decodePart(part);
    if (!objects) {
      co_return objects.error();
    }
    std::move(objects.value().begin(), objects.value().end(), std::back_inserter(base.objects));
    co_await asio::post(executor_, asio::use_awaitable);
  }
  if (received.changes.revision >= view.cache->revision()) {
    view.cache->applyListing(base, received.provenAt);
    view.cache->applyChanges(received.changes, received.provenAt);
    view.cache->keepSnapshot(received.snapshot);
    view.sourceProvenAt = std::max(view.sourceProvenAt, received.provenAt);
  }
  co_return boost::outcome_v2::success();
}

awaitable<Result<store::ChangeBatch>> RelayedStore::watchFromSource(View& view, std::string kind,
                                                                    store::Revision since,
                                                                    Milliseconds wait) {
  if (source_ == Source::kNone) {
    co_return noSourceError();
  }
  if (source_ == Source::kStore) {
    co_return co_await callUntilSourceChange(view, direct_.watch(std::move(kind), since, wait));
  }
  const Endpoint relay = relay_;
  Result<store::ChangeBatch> batch = co_await callUntilSourceChange(
      view, client_.watch(relay, std::move(kind), since, wait, view.cache->specTexts().held()));
  const bool failed =
      !batch && !hasUndelivered(view) && batch.error().kind != ErrorKind::kVersionConflict;
  if (failed && relay == relay_ && onRelayFailed_) {
    onRelayFailed_(relay, batch.error());
  }
  if (batch) {
    batch.value().revision = withKnownEra(batch.value().revision);
    for (store::Change& change : batch.value().changes) {
      change.object.revision = store::withEra(change.object.revision, direct_.era());
    }
  }
  co_return batch;
}

template <typename Value>
std::shared_ptr<RelayedStore::Outcome<Value>> RelayedStore::begin(awaitable<Result<Value>> call,
                                                                  MonotonicTime end) {
  auto outcome = std::make_shared<Outcome<Value>>();
  outcome->done = std::make_shared<asio::steady_timer>(executor_, end);
  asio::co_spawn(
      executor_,
      [](awaitable<Result<Value>> pending,
         std::shared_ptr<Outcome<Value>> shared) -> awaitable<void> {
        shared->result = co_await std::move(pending);
        shared->done->cancel();
      }(std::move(call), outcome),
      asio::detached);
  return outcome;
}

template <typename Value>
awaitable<Result<Value>> RelayedStore::callUntilSourceChange(const View& view,
                                                             awaitable<Result<Value>> call) {
  const std::uint64_t source = sourceGeneration_;
  const std::uint64_t refreshes = view.refreshes;
  const auto outcome = begin(std::move(call), MonotonicTime::max());
  const auto waiter = waiters_.insert(waiters_.end(), outcome->done);
  while (!outcome->result && source == sourceGeneration_ && refreshes == view.refreshes) {
    co_await outcome->done->async_wait(asio::as_tuple(asio::use_awaitable));
  }
  waiters_.erase(waiter);
  if (!outcome->result) {
    co_return fail(ErrorKind::kStoreUnavailable, "the source changed during the read");
  }
  co_return std::move(*outcome->result);
}

template <typename Value>
awaitable<Result<Value>> RelayedStore::callUntilSilent(std::string kind, Milliseconds maxSilence,
                                                       awaitable<Result<Value>> call) {
  MonotonicTime end = monotonicNow() + maxSilence;
  const auto outcome = begin(std::move(call), end);
  while (!outcome->result) {
    co_await outcome->done->async_wait(asio::as_tuple(asio::use_awaitable));
    end = std::max(end, direct_.lastBytesAt(kind) + maxSilence);
    if (!outcome->result && monotonicNow() >= end) {
      co_return fail(ErrorKind::kDeadlineExceeded, "the store did not answer in time");
    }
    if (!outcome->result) {
      outcome->done->expires_at(end);
    }
  }
  co_return std::move(*outcome->result);
}

awaitable<void> RelayedStore::waitForSource() {
  if (source_ != Source::kNone) {
    co_return;
  }
  const auto timer =
      std::make_shared<asio::steady_timer>(executor_, monotonicNow() + kSourceTimeout);
  const auto waiter = waiters_.insert(waiters_.end(), timer);
  co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  waiters_.erase(waiter);
}

}  // namespace calicodrift::relay
