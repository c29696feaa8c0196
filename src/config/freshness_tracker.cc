#include "config/freshness_tracker.h"

namespace calicodrift::config {

void FreshnessTracker::confirm(BundleVersion version, BundleDigest digest, MonotonicTime readAt) {
  if (version > holder_.version()) {
    if (!pending_ || pending_->readAt < readAt) {
      pending_ = Entry{version, digest, readAt};
    }
    return;
  }
  const bool newer = !newest_ || newest_->readAt < readAt;
  if (newer && !holder_.conflictsWith(version, digest)) {
    newest_ = Entry{version, digest, readAt};
  }
}

void FreshnessTracker::onAdopted() {
  if (!pending_ || pending_->version > holder_.version()) {
    return;
  }
  const Entry entry = *pending_;
  pending_.reset();
  confirm(entry.version, entry.digest, entry.readAt);
}

bool FreshnessTracker::confirmed(MonotonicTime now) const {
  return newest_ && now - newest_->readAt <= term_;
}

std::optional<Milliseconds> FreshnessTracker::age(MonotonicTime now) const {
  if (!newest_) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(now - newest_->readAt);
}

std::optional<Confirmation> FreshnessTracker::newest(MonotonicTime now) const {
  if (!newest_) {
    return std::nullopt;
  }
  const Milliseconds elapsed = std::chrono::ceil<Milliseconds>(now - newest_->readAt);
  return Confirmation{newest_->version, newest_->digest,
                      static_cast<std::uint64_t>(elapsed.count())};
}

}  // namespace calicodrift::config
