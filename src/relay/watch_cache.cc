#include "relay/watch_cache.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Bound on the history. The oldest changes are dropped first; a follower that needs them has to
/// list again.
constexpr std::size_t kMaxHistoryChanges = 1000;

}  // namespace

void WatchCache::applyListing(const store::Listing& listing, MonotonicTime provenAt) {
  const std::map<std::string, store::Object> before = std::exchange(objects_, {});
  for (const store::Object& object : listing.objects) {
    objects_[object.name] = object;
    if (object.specText) {
      specTexts_.set(object.name, object.specText);
    }
  }
  for (const auto& [name, object] : before) {
    const auto listed = objects_.find(name);
    if (listed == objects_.end() || !listed->second.specText) {
      specTexts_.erase(name);
    }
  }
  history_.clear();
  historyChanges_ = 0;
  historyStart_ = listing.revision;
  known_ = true;
  revision_ = listing.revision;
  provenAt_ = std::max(provenAt_, provenAt);
  wakeWaiters();
}

void WatchCache::applyChanges(const store::ChangeBatch& batch, MonotonicTime provenAt) {
  store::ChangeBatch news;
  news.revision = batch.revision;
  for (const store::Change& change : batch.changes) {
    if (!isKnown(change, batch.revision)) {
      applyChange(change);
      if (change.object.specText) {
        forgetEarlierChanges(change.object.name);
      }
      news.changes.push_back(change);
    }
  }
  if (!news.changes.empty()) {
    historyChanges_ += news.changes.size();
    history_.push_back(std::move(news));
  }
  while (historyChanges_ > kMaxHistoryChanges) {
    historyChanges_ -= history_.front().changes.size();
    historyStart_ = history_.front().revision;
    history_.pop_front();
  }
  revision_ = std::max(revision_, batch.revision);
  provenAt_ = std::max(provenAt_, provenAt);
  wakeWaiters();
}

bool WatchCache::isKnown(const store::Change& change, store::Revision reached) const {
  if (reached <= revision_) {
    return true;
  }
  if (!change.removed) {
    return change.object.revision <= revision_;
  }
  // A removal may carry the revision of the object's last change. Only an object that has been
  // created again by the known state shows that the removal came before it.
  const auto held = objects_.find(change.object.name);
  return held != objects_.end() && held->second.revision > change.object.revision &&
         held->second.revision <= revision_;
}

void WatchCache::applyChange(const store::Change& change) {
  const auto held = objects_.find(change.object.name);
  // A listing may contain objects that are newer than its revision.
  if (held != objects_.end() && held->second.revision > change.object.revision) {
    return;
  }
  if (change.removed) {
    objects_.erase(change.object.name);
  } else {
    objects_[change.object.name] = change.object;
  }
  if (!change.removed && change.object.specText) {
    specTexts_.set(change.object.name, change.object.specText);
  } else {
    specTexts_.erase(change.object.name);
  }
}

void WatchCache::forgetEarlierChanges(const std::string& name) {
  for (store::ChangeBatch& batch : history_) {
    historyChanges_ -= std::erase_if(
        batch.changes, [&name](const store::Change& change) { return change.object.name == name; });
  }
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
    return fail(ErrorKind::kVersionConflict,
                "the history does not reach back to the requested revision");
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
