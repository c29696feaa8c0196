#include "store/kind_watcher.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace calicodrift::store {

namespace asio = boost::asio;
using asio::awaitable;

KindWatcher::KindWatcher(asio::any_io_executor executor, ObjectStore& store,
                         KindWatcherSettings settings, KindListener listener)
    : executor_(std::move(executor)),
      store_(store),
      settings_(std::move(settings)),
      listener_(std::move(listener)),
      random_(settings_.seed) {}

void KindWatcher::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

awaitable<void> KindWatcher::run() {
  asio::steady_timer timer(executor_);
  for (;;) {
    Result<void> done = boost::outcome_v2::success();
    if (mustList_) {
      done = co_await list();
    } else {
      done = co_await watch();
    }
    if (done) {
      failures_ = 0;
      noteReachable(true, "");
      continue;
    }
    noteReachable(false, done.error().detail);
    timer.expires_after(pauseAfterFailure());
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<Result<void>> KindWatcher::list() {
  const MonotonicTime asked = monotonicNow();
  Result<Listing> listing = co_await store_.list(settings_.kind);
  if (!listing) {
    co_return listing.error();
  }
  revision_ = listing.value().revision;
  mustList_ = false;
  synchronized_ = true;
  provenAt_ = std::max(provenAt_, asked);
  listener_.onListing(listing.value());
  co_return boost::outcome_v2::success();
}

awaitable<Result<void>> KindWatcher::watch() {
  const MonotonicTime asked = monotonicNow();
  const Milliseconds wait = nextWait(asked);
  Result<ChangeBatch> batch = co_await store_.watch(settings_.kind, revision_, wait);
  if (!batch) {
    // The store has forgotten the history: what was missed shows in a listing only.
    mustList_ = mustList_ || batch.error().kind == ErrorKind::kVersionConflict;
    co_return batch.error();
  }
  revision_ = std::max(revision_, batch.value().revision);
  const bool quiet = batch.value().changes.empty();
  provenAt_ = std::max(provenAt_, quiet ? std::min(asked + wait, monotonicNow()) : asked);
  if (!quiet) {
    listener_.onChanges(batch.value());
  }
  co_return boost::outcome_v2::success();
}

Milliseconds KindWatcher::nextWait(MonotonicTime now) const {
  const auto left = std::chrono::duration_cast<Milliseconds>(provenAt_ + settings_.proofAge - now);
  return std::clamp(left, std::min(settings_.shortestWait, settings_.wait), settings_.wait);
}

Milliseconds KindWatcher::pauseAfterFailure() {
  constexpr unsigned kMostDoublings = 6;
  const Milliseconds longest = std::min(
      settings_.firstPause * (1U << std::min(failures_, kMostDoublings)), settings_.longestPause);
  ++failures_;
  std::uniform_int_distribution<std::int64_t> any(longest.count() / 2, longest.count());
  return Milliseconds(any(random_));
}

void KindWatcher::noteReachable(bool reachable, const std::string& cause) {
  if (reachable != reachable_) {
    reachable_ = reachable;
    if (listener_.onReachable) {
      listener_.onReachable(reachable, cause);
    }
  }
}

}  // namespace calicodrift::store
