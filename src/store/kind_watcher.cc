#include "store/kind_watcher.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "store/unreadable.h"

namespace calicodrift::store {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

/// Wait of a watch that is sent only for its proof.
constexpr Milliseconds kProofWait{20};

bool isUnreadable(const Error& error) {
  return error.reason == kUnreadableAnswer;
}

}  // namespace

KindWatcher::KindWatcher(asio::any_io_executor executor, ObjectStore& store,
                         KindWatcherSettings settings, KindListener listener)
    : executor_(std::move(executor)),
      timer_(executor_),
      store_(store),
      settings_(std::move(settings)),
      listener_(std::move(listener)),
      random_(settings_.seed) {}

void KindWatcher::start() {
  asio::co_spawn(executor_, run(), asio::detached);
}

void KindWatcher::retryNow() {
  proofRequested_ = true;
  if (failures_ > 0) {
    failures_ = 0;
    timer_.cancel();
  }
}

awaitable<void> KindWatcher::run() {
  for (;;) {
    Result<void> done = boost::outcome_v2::success();
    if (needsListing_) {
      done = co_await list();
    } else {
      done = co_await watch();
    }
    reportReachability(static_cast<bool>(done), done ? "" : done.error().detail);
    if (done) {
      failures_ = 0;
      if (listener_.onProven) {
        listener_.onProven();
      }
    } else {
      pause_ = backoffAfterFailure(done.error());
    }
    if (pause_ > Milliseconds(0)) {
      timer_.expires_after(std::exchange(pause_, Milliseconds(0)));
      co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }
}

awaitable<Result<void>> KindWatcher::list() {
  const MonotonicTime asked = monotonicNow();
  Result<Listing> listing = co_await store_.list(settings_.kind);
  if (!listing) {
    co_return listing.error();
  }
  if (listing.value().revision < revision_) {
    co_return fail(ErrorKind::kStoreUnavailable, "the listing is older than the known state");
  }
  for (Object& object : listing.value().objects) {
    parseSpec(object);
  }
  revision_ = listing.value().revision;
  needsListing_ = false;
  const MonotonicTime provenAt = std::max(provenAt_, asked + listing.value().provenAfterAsked);
  if (listener_.onLongListing) {
    // The listener's state counts as proven only when all of the listing is in it.
    co_await listener_.onLongListing(listing.value());
  }
  synchronized_ = true;
  previousProvenAt_ = std::exchange(provenAt_, provenAt);
  if (!listener_.onLongListing) {
    listener_.onListing(listing.value());
  }
  co_return boost::outcome_v2::success();
}

awaitable<Result<void>> KindWatcher::watch() {
  const MonotonicTime asked = monotonicNow();
  const Milliseconds wait = nextWait(asked);
  Result<ChangeBatch> batch = co_await store_.watch(settings_.kind, revision_, wait);
  if (!batch) {
    // The history is gone, or the changes cannot be decoded and never will be: only a listing shows
    // what was missed.
    needsListing_ = needsListing_ || batch.error().kind == ErrorKind::kVersionConflict ||
                    isUnreadable(batch.error());
    co_return batch.error();
  }
  proofRequested_ = false;
  revision_ = std::max(revision_, batch.value().revision);
  previousProvenAt_ = provenAt_;
  provenAt_ = std::max(provenAt_, store::provenAt(batch.value(), asked, wait, monotonicNow()));
  for (Change& change : batch.value().changes) {
    parseSpec(change.object);
  }
  if (!batch.value().changes.empty() || !batch.value().complete) {
    listener_.onChanges(batch.value());
    pause_ = settings_.changePause;
  }
  co_return boost::outcome_v2::success();
}

void KindWatcher::parseSpec(Object& object) const {
  if (!settings_.takesSpecTexts && object.specText && !hasLargeSpec(object)) {
    object = parsed(object);
  }
}

Milliseconds KindWatcher::nextWait(MonotonicTime now) const {
  if (proofRequested_) {
    return std::min(kProofWait, settings_.wait);
  }
  const auto left = std::chrono::duration_cast<Milliseconds>(provenAt_ + settings_.proofAge - now);
  return std::clamp(left, std::min(settings_.shortestWait, settings_.wait), settings_.wait);
}

Milliseconds KindWatcher::backoffAfterFailure(const Error& error) {
  constexpr unsigned kMaxBackoffDoublings = 6;
  const Milliseconds longest =
      std::min(settings_.firstPause * (1U << std::min(failures_, kMaxBackoffDoublings)),
               settings_.longestPause);
  ++failures_;
  if (isUnreadable(error) && failures_ > 1) {
    return settings_.unreadablePause;
  }
  std::uniform_int_distribution<std::int64_t> any(longest.count() / 2, longest.count());
  return Milliseconds(any(random_));
}

void KindWatcher::reportReachability(bool reachable, const std::string& cause) {
  if (reachable != reachable_) {
    reachable_ = reachable;
    if (listener_.onReachable) {
      listener_.onReachable(reachable, cause);
    }
  }
}

}  // namespace calicodrift::store
