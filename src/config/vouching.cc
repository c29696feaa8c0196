#include "config/vouching.h"

namespace calicodrift::config {

void Vouching::confirm(BundleVersion version, BundleDigest digest, MonotonicTime readAt) {
  if (version > holder_.version()) {
    if (!waiting_ || waiting_->readAt < readAt) {
      waiting_ = Entry{version, digest, readAt};
    }
    return;
  }
  const bool newer = !newest_ || newest_->readAt < readAt;
  if (newer && !holder_.contradicts(version, digest)) {
    newest_ = Entry{version, digest, readAt};
  }
}

void Vouching::onAdopted() {
  if (!waiting_ || waiting_->version > holder_.version()) {
    return;
  }
  const Entry entry = *waiting_;
  waiting_.reset();
  confirm(entry.version, entry.digest, entry.readAt);
}

bool Vouching::vouched(MonotonicTime now) const {
  return newest_ && now - newest_->readAt <= term_;
}

std::optional<Milliseconds> Vouching::age(MonotonicTime now) const {
  if (!newest_) {
    return std::nullopt;
  }
  return std::chrono::ceil<Milliseconds>(now - newest_->readAt);
}

std::optional<Confirmation> Vouching::newest(MonotonicTime now) const {
  if (!newest_) {
    return std::nullopt;
  }
  const Milliseconds elapsed = std::chrono::ceil<Milliseconds>(now - newest_->readAt);
  return Confirmation{newest_->version, newest_->digest,
                      static_cast<std::uint64_t>(elapsed.count())};
}

}  // namespace calicodrift::config
