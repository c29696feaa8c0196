#include "relay/watch_cache.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <set>
#include <string_view>
#include <utility>

namespace calicodrift::relay {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Bounds on the history. The oldest changes are dropped first; a follower that needs them has to
/// list again. More changes than a quarter of the objects cost nearly as much as a listing.
constexpr std::size_t kMinHistoryChanges = 1000;
constexpr std::size_t kHistoryDivisor = 4;

/// @return number of changes that were removed.
std::size_t eraseChangesOf(store::ChangeBatch& batch, const std::string& name) {
  return std::erase_if(batch.changes,
                       [&name](const store::Change& change) { return change.object.name == name; });
}

store::Object withSpecText(store::Object object) {
  if (!object.specText) {
    object.specText = std::make_shared<const std::string>(boost::json::serialize(object.spec));
    object.spec = nullptr;
  }
  return object;
}

}  // namespace

void WatchCache::applyListing(const store::Listing& listing, MonotonicTime provenAt) {
  const bool comparable = known_ && store::eraOf(listing.revision) == store::eraOf(revision_) &&
                          listing.revision >= revision_;
  if (comparable) {
    store::ChangeBatch difference = differenceTo(listing);
    for (const store::Change& change : difference.changes) {
      applyChange(change);
      if (store::hasLargeSpec(change.object)) {
        forgetEarlierChanges(change.object.name);
      }
    }
    appendHistory(std::move(difference));
  } else {
    replaceState(listing);
  }
  offered_.reset();
  known_ = true;
  revision_ = listing.revision;
  provenAt_ = std::max(provenAt_, provenAt);
  wakeWaiters();
}

void WatchCache::replaceState(const store::Listing& listing) {
  objects_.clear();
  specTexts_.retain([&listing](const std::string& name) {
    return std::any_of(listing.objects.begin(), listing.objects.end(),
                       [&name](const store::Object& object) {
                         return object.name == name && store::hasLargeSpec(object);
                       });
  });
  for (const store::Object& object : listing.objects) {
    objects_[object.name] = withSpecText(object);
    if (store::hasLargeSpec(object)) {
      specTexts_.set(object.name, object.specText);
    }
  }
  snapshot_.reset();
  history_.clear();
  historyChanges_ = 0;
  historyStart_ = listing.revision;
}

store::ChangeBatch WatchCache::differenceTo(const store::Listing& listing) const {
  store::ChangeBatch difference;
  difference.revision = listing.revision;
  difference.complete = listing.revision == revision_;
  std::set<std::string_view> listed;
  for (const store::Object& object : listing.objects) {
    listed.insert(object.name);
    const auto held = objects_.find(object.name);
    if (held == objects_.end() || held->second.revision < object.revision) {
      difference.changes.push_back({withSpecText(object), false});
    }
  }
  for (const auto& [name, object] : objects_) {
    // A listing may contain objects that are newer than its revision, but lacks none that are not.
    if (!listed.contains(name) && object.revision <= listing.revision) {
      difference.changes.push_back({object, true});
    }
  }
  return difference;
}

void WatchCache::appendHistory(store::ChangeBatch batch) {
  if (weightOf(batch) > 0) {
    historyChanges_ += weightOf(batch);
    history_.push_back(std::move(batch));
  }
  while (historyChanges_ > maxHistoryChanges()) {
    historyChanges_ -= weightOf(history_.front());
    historyStart_ = history_.front().revision;
    history_.pop_front();
  }
}

void WatchCache::applyChanges(const store::ChangeBatch& batch, MonotonicTime provenAt) {
  store::ChangeBatch news;
  news.revision = batch.revision;
  news.complete = batch.complete || batch.revision <= revision_;
  for (const store::Change& received : batch.changes) {
    if (isKnown(received, batch.revision)) {
      continue;
    }
    store::Change change{withSpecText(received.object), received.removed};
    applyChange(change);
    if (store::hasLargeSpec(change.object)) {
      forgetEarlierChanges(change.object.name);
      eraseChangesOf(news, change.object.name);
    }
    news.changes.push_back(std::move(change));
  }
  appendHistory(std::move(news));
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
  if (!change.removed && store::hasLargeSpec(change.object)) {
    specTexts_.set(change.object.name, change.object.specText);
  } else {
    specTexts_.erase(change.object.name);
  }
}

void WatchCache::forgetEarlierChanges(const std::string& name) {
  for (store::ChangeBatch& batch : history_) {
    historyChanges_ -= eraseChangesOf(batch, name);
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
  const auto first = std::partition_point(
      history_.begin(), history_.end(),
      [since](const store::ChangeBatch& step) { return step.revision <= since; });
  for (auto step = first; step != history_.end(); ++step) {
    changes.complete = changes.complete && step->complete;
    for (const store::Change& change : step->changes) {
      if (change.removed || change.object.revision > since) {
        changes.changes.push_back(change);
      }
    }
  }
  return changes;
}

std::size_t WatchCache::maxHistoryChanges() const {
  return std::max(kMinHistoryChanges, objects_.size() / kHistoryDivisor);
}

void WatchCache::offerSnapshot(SnapshotView received) {
  offered_ = std::move(received);
  wakeWaiters();
}

void WatchCache::keepSnapshot(SharedSnapshot snapshot) {
  offered_.reset();
  snapshot_ = std::move(snapshot);
  wakeWaiters();
}

std::optional<SnapshotView> WatchCache::snapshotView() const {
  if (!known_) {
    return offered_;
  }
  if (!snapshot_) {
    return std::nullopt;
  }
  Result<store::ChangeBatch> changes = changesSince(store::Revision(snapshot_->revision));
  if (!changes) {
    return std::nullopt;
  }
  return SnapshotView{snapshot_, std::move(changes.value()), provenAt_};
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
