#include "config/store_watcher.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace calicodrift::config {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
/// Delay after a start in which the directory is filled.
constexpr Milliseconds kMinStartDelay{500};
constexpr Milliseconds kMaxStartDelay{1500};
constexpr Milliseconds kFirstBackoff{100};
constexpr Milliseconds kMaxBackoff{4000};
constexpr std::size_t kMaxBackoffDoublings = 6;
/// Interval at which a node that is not a watcher checks the roster.
constexpr Milliseconds kRosterPollInterval{250};

}  // namespace

StoreWatcher::StoreWatcher(asio::any_io_executor executor, StoreWatcherSettings settings,
                           http::Client& client, Roster& roster, BundleHolder& holder,
                           FreshnessTracker& freshness, ConfigMetrics& metrics,
                           StoreView::Listener onAdopted)
    : executor_(std::move(executor)),
      settings_(std::move(settings)),
      client_(client),
      roster_(roster),
      holder_(holder),
      metrics_(metrics),
      view_(roster, holder, freshness, metrics, std::move(onAdopted)),
      random_(settings_.seed) {}

void StoreWatcher::start() {
  if (!settings_.objectApi.empty()) {
    asio::co_spawn(executor_, run(), asio::detached);
  }
}

awaitable<void> StoreWatcher::run() {
  if (settings_.waitForPeers) {
    co_await sleepRandomly(kMinStartDelay, kMaxStartDelay);
  }
  for (;;) {
    roster_.refresh(monotonicNow());
    const bool reads = view_.shouldRead(monotonicNow());
    metrics_.setWatcher(reads);
    if (!reads) {
      co_await sleepRandomly(kRosterPollInterval, kRosterPollInterval);
      continue;
    }
    const bool answered = co_await watchOnce();
    if (answered) {
      failures_ = 0;
      continue;
    }
    const std::size_t doublings = std::min(failures_, kMaxBackoffDoublings);
    ++failures_;
    const Milliseconds longest = std::min(kFirstBackoff * (1 << doublings), kMaxBackoff);
    co_await sleepRandomly(longest / 2, longest);
  }
}

awaitable<void> StoreWatcher::sleepRandomly(Milliseconds shortest, Milliseconds longest) {
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
      co_await store.watch(std::string(bundle::kStoreKind), std::string(bundle::kStoreName),
                           lastSeenVersion_, settings_.watchDuration);
  if (!watch) {
    const bool compacted = watch.error().kind == ErrorKind::kVersionConflict;
    metrics_.countStoreRead(compacted ? "compacted" : "unavailable");
    if (compacted) {
      // The next watch starts from the current state of the object.
      lastSeenVersion_ = object_api::ResourceVersion();
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
    if (content.object.version < lastSeenVersion_) {
      // The whole store was restored to an earlier state, so what was seen of it is no longer
      // valid.
      metrics_.countStoreRead("restored");
      lastSeenVersion_ = object_api::ResourceVersion();
      co_return true;
    }
    lastSeenVersion_ = content.object.version;
    if (content.kind == object_api::WatchEvent::Kind::kModified) {
      view_.handleObject(content.object);
      if (current) {
        // This watch started before the change; the next one confirms the change without delay.
        co_return true;
      }
    } else {
      view_.handleBookmark(readAt, versionThen);
      current = true;
    }
  }
}

}  // namespace calicodrift::config
