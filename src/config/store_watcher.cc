#include "config/store_watcher.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace calicodrift::config {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
/// For the directory to fill after a start.
constexpr Milliseconds kShortestStartPause{500};
constexpr Milliseconds kLongestStartPause{1500};
constexpr Milliseconds kFirstBackoff{100};
constexpr Milliseconds kLongestBackoff{4000};
constexpr std::size_t kMaxBackoffDoublings = 6;
/// Between two looks at the roster by a node that is no watcher.
constexpr Milliseconds kRosterPause{250};

}  // namespace

StoreWatcher::StoreWatcher(asio::any_io_executor executor, StoreWatcherSettings settings,
                           http::Client& client, Roster& roster, BundleHolder& holder,
                           Vouching& vouching, ConfigMetrics& metrics,
                           StoreView::Listener onAdopted)
    : executor_(std::move(executor)),
      settings_(std::move(settings)),
      client_(client),
      roster_(roster),
      holder_(holder),
      metrics_(metrics),
      view_(roster, holder, vouching, metrics, std::move(onAdopted)),
      random_(settings_.seed) {}

void StoreWatcher::start() {
  if (!settings_.objectApi.empty()) {
    asio::co_spawn(executor_, run(), asio::detached);
  }
}

awaitable<void> StoreWatcher::run() {
  if (settings_.joinsPeers) {
    co_await pause(kShortestStartPause, kLongestStartPause);
  }
  for (;;) {
    roster_.refresh(monotonicNow());
    const bool reads = view_.shouldRead(monotonicNow());
    metrics_.setWatcher(reads);
    if (!reads) {
      co_await pause(kRosterPause, kRosterPause);
      continue;
    }
    const bool answered = co_await watchOnce();
    if (answered) {
      failures_ = 0;
      continue;
    }
    const std::size_t doublings = std::min(failures_, kMaxBackoffDoublings);
    ++failures_;
    const Milliseconds longest = std::min(kFirstBackoff * (1 << doublings), kLongestBackoff);
    co_await pause(longest / 2, longest);
  }
}

awaitable<void> StoreWatcher::pause(Milliseconds shortest, Milliseconds longest) {
  std::uniform_int_distribution<std::int64_t> length(shortest.count(), longest.count());
  asio::steady_timer timer(executor_, Milliseconds(length(random_)));
  co_await timer.async_wait(asio::use_awaitable);
}

const Endpoint& StoreWatcher::endpoint() const {
  return settings_.objectApi[failures_ % settings_.objectApi.size()];
}

awaitable<bool> StoreWatcher::watchOnce() {
  const MonotonicTime readAt = monotonicNow();
  const BundleVersion versionThen = holder_.version();
  object_api::ObjectApiClient store(client_, endpoint());
  auto watch =
      co_await store.watch(std::string(bundle::kStoreKind), std::string(bundle::kStoreName), seen_,
                           settings_.watchDuration);
  if (!watch) {
    const bool compacted = watch.error().kind == ErrorKind::kVersionConflict;
    metrics_.countStoreRead(compacted ? "compacted" : "unavailable");
    if (compacted) {
      // The next watch starts from the object as it is now.
      seen_ = object_api::ResourceVersion();
    }
    co_return compacted;
  }
  metrics_.countStoreRead("ok");
  bool current = false;
  for (;;) {
    auto event = co_await watch.value()->next();
    if (!event) {
      metrics_.countStoreRead("unavailable");
      co_return false;
    }
    if (!event.value()) {
      co_return true;
    }
    const object_api::WatchEvent& content = *event.value();
    if (content.object.version < seen_) {
      // The whole store was restored to an earlier state: what was seen of it no longer holds.
      metrics_.countStoreRead("restored");
      seen_ = object_api::ResourceVersion();
      co_return true;
    }
    seen_ = content.object.version;
    if (content.kind == object_api::WatchEvent::Kind::kModified) {
      view_.takeObject(content.object);
      if (current) {
        // This watch began before the change; the next one confirms it without delay.
        co_return true;
      }
    } else {
      view_.takeBookmark(readAt, versionThen);
      current = true;
    }
  }
}

}  // namespace calicodrift::config
