#include "lease/lease_core.h"

#include <algorithm>

namespace calicodrift::lease {
namespace {

/// Number of writes whose replies may be outstanding; older ones can no longer be valid.
constexpr std::size_t kMaxTrackedWrites = 16;

/// The holder's clock may be slow and the candidate's clock fast, each by `drift`.
Milliseconds driftMargin(Milliseconds duration, double drift) {
  const double margin = static_cast<double>(duration.count()) * 2 * drift / (1 - drift);
  return Milliseconds(static_cast<std::int64_t>(margin) + 1);
}

}  // namespace

LeaseAction LeaseCore::next(MonotonicTime now, bool mayAcquire) {
  const bool participates = mayAcquire || ownsRecord();
  if (now < nextAttempt_ || released_ || !participates) {
    return {};
  }
  if (needsRead_ || !observed_) {
    return {LeaseStep::kRead, {}};
  }
  if (ownsRecord()) {
    return renewOrWait(now);
  }
  const bool free = observed_->version.value() == 0 || observed_->record.holder.empty();
  if (free || hasExpired(now)) {
    const std::uint64_t highest = std::max(observed_->record.token.value(), tokenFloor_.value());
    return write(FencingToken(highest + 1), now);
  }
  return now < nextRead_ ? LeaseAction{} : LeaseAction{LeaseStep::kRead, {}};
}

LeaseAction LeaseCore::renewOrWait(MonotonicTime now) {
  if (observed_->record.token < tokenFloor_) {
    return write(FencingToken(tokenFloor_.value() + 1), now);
  }
  const auto last = sentAt_.find(renewal_);
  const bool due = last == sentAt_.end() || now >= last->second + settings_.renewInterval;
  return due ? write(observed_->record.token, now) : LeaseAction{};
}

LeaseAction LeaseCore::write(FencingToken token, MonotonicTime now) {
  ++renewal_;
  sentAt_[renewal_] = now;
  if (sentAt_.size() > kMaxTrackedWrites) {
    sentAt_.erase(sentAt_.begin());
  }
  const LeaseRecord record{settings_.holder, settings_.duration, token, renewal_};
  return {LeaseStep::kWrite, {observed_->version, record}};
}

void LeaseCore::onRead(const ObservedLease& observed, MonotonicTime now) {
  if (!observed_ || observed_->version != observed.version) {
    observedAt_ = now;
  }
  observed_ = observed;
  needsRead_ = false;
  nextAttempt_ = now;
  nextRead_ = now + settings_.renewInterval;
  validUntil_.reset();
  const auto sent = sentAt_.find(observed.record.renewal);
  if (ownsRecord() && sent != sentAt_.end()) {
    validUntil_ = sent->second + observed.record.duration;
  }
}

void LeaseCore::onReadFailed(MonotonicTime now) {
  nextAttempt_ = now + settings_.retryInterval;
}

void LeaseCore::onWritten(const ObservedLease& written, object_api::ResourceVersion version,
                          MonotonicTime now) {
  onRead({version, written.record}, now);
}

void LeaseCore::onWriteFailed(MonotonicTime now) {
  needsRead_ = true;
  nextAttempt_ = now;
}

void LeaseCore::onFenced(FencingToken highest) {
  tokenFloor_ = std::max(tokenFloor_, highest);
  validUntil_.reset();
  sentAt_.clear();
  needsRead_ = true;
}

std::optional<FencingToken> LeaseCore::token(MonotonicTime now) const {
  if (released_ || !validUntil_ || now >= *validUntil_) {
    return std::nullopt;
  }
  return observed_->record.token;
}

std::optional<ObservedLease> LeaseCore::release(MonotonicTime now) {
  if (!token(now)) {
    return std::nullopt;
  }
  released_ = true;
  ObservedLease released = *observed_;
  released.record.holder.clear();
  return released;
}

bool LeaseCore::ownsRecord() const {
  return observed_ && observed_->version.value() != 0 &&
         observed_->record.holder == settings_.holder;
}

bool LeaseCore::hasExpired(MonotonicTime now) const {
  // An unreadable record has no duration; all nodes use the same configured one.
  const Milliseconds duration =
      observed_->readable ? observed_->record.duration : settings_.duration;
  return now >= observedAt_ + duration + driftMargin(duration, settings_.clockDrift);
}

}  // namespace calicodrift::lease
