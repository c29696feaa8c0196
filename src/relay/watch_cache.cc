#include "relay/watch_cache.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Changes beyond this are forgotten, oldest first; a follower that needs them lists anew.
constexpr std::size_t kMostRememberedChanges = 1000;

}  // namespace

void WatchCache::applyListing(const store::Listing& listing, MonotonicTime provenAt) {
  objects_.clear();
  for (const store::Object& object : listing.objects) {
    objects_[object.name] = object;
  }
  history_.clear();
  rememberedChanges_ = 0;
  historyStart_ = listing.revision;
  known_ = true;
  revision_ = listing.revision;
  provenAt_ = std::max(provenAt_, provenAt);
  wakeWaiters();
}

void WatchCache::applyChanges(const store::ChangeBatch& batch, MonotonicTime provenAt) {
  for (const store::Change& change : batch.changes) {
    if (change.removed) {
      objects_.erase(change.object.name);
    } else {
      objects_[change.object.name] = change.object;
    }
  }
  if (!batch.changes.empty()) {
    history_.push_back(batch);
    rememberedChanges_ += batch.changes.size();
  }
  while (rememberedChanges_ > kMostRememberedChanges) {
    rememberedChanges_ -= history_.front().changes.size();
    historyStart_ = history_.front().revision;
    history_.pop_front();
  }
  revision_ = std::max(revision_, batch.revision);
  provenAt_ = std::max(provenAt_, provenAt);
  wakeWaiters();
}

store::Listing WatchCache::listing() const {
  store::Listing listing;
  listing.revision = revision_;
  for (const auto& [name, object] : objects_) {
    listing.objects.push_back(object);
  }
  return listing;
}

Result<store::ChangeBatch> WatchCache::changesSince(store::Revision since) const {
  if (since < historyStart_) {
    return fail(ErrorKind::kVersionConflict, "the changes since then are forgotten");
  }
  store::ChangeBatch changes;
  changes.revision = std::max(since, revision_);
  for (const store::ChangeBatch& step : history_) {
    if (step.revision <= since) {
      continue;
    }
    for (const store::Change& change : step.changes) {
      if (change.removed || change.object.revision > since) {
        changes.changes.push_back(change);
      }
    }
  }
  return changes;
}

awaitable<void> WatchCache::waitForNews(MonotonicTime end) {
  const auto waiter = waiters_.emplace(waiters_.end(), executor_);
  waiter->expires_at(end);
  co_await waiter->async_wait(asio::as_tuple(asio::use_awaitable));
  waiters_.erase(waiter);
}

void WatchCache::wakeWaiters() {
  for (asio::steady_timer& waiter : waiters_) {
    waiter.cancel();
  }
}

}  // namespace calicodrift::relay
