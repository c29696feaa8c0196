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
  if ((free || hasExpired(now)) && isEraSettled(now)) {
    const std::uint64_t highest = std::max(observed_->record.token.value(), tokenFloor_.value());
    return write(std::max(FencingToken(highest + 1), leastTokenOfEra()), now);
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
  ObservedLease written = *observed_;
  written.record = {settings_.holder, settings_.duration, token, renewal_};
  written.readable = true;
  return {LeaseStep::kWrite, written};
}

void LeaseCore::onRead(const ObservedLease& observed, MonotonicTime now) {
  if (!observed_ || observed_->version != observed.version) {
    observedAt_ = now;
  }
  if (observed_ && observed_->era != observed.era) {
    firstRenewalOfEra_ = renewal_ + 1;
  }
  observed_ = observed;
  needsRead_ = false;
  nextAttempt_ = now;
  nextRead_ = now + settings_.renewInterval;
  validUntil_.reset();
  const auto sent = sentAt_.find(observed.record.renewal);
  if (ownsRecord() && sent != sentAt_.end() && isEraSettled(now)) {
    validUntil_ = sent->second + observed.record.duration;
  }
}

void LeaseCore::onReadFailed(MonotonicTime now) {
  nextAttempt_ = now + settings_.retryInterval;
}

void LeaseCore::onWritten(const ObservedLease& written, object_api::ResourceVersion version,
                          MonotonicTime now) {
  const store::Era era = store::eraOf(store::Revision(version.value()));
  if (era != written.era) {
    onWriteFailed(now);
    return;
  }
  ObservedLease observed = written;
  observed.version = version;
  onRead(observed, now);
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
  // A write of an earlier era may have been applied late, over the lease of the present holder.
  return observed_ && observed_->version.value() != 0 &&
         observed_->record.holder == settings_.holder &&
         observed_->record.renewal >= firstRenewalOfEra_;
}

bool LeaseCore::isEraSettled(MonotonicTime now) const {
  if (observed_->era == store::Era()) {
    return true;
  }
  const Milliseconds term =
      settings_.duration + driftMargin(settings_.duration, settings_.clockDrift);
  return now >= observed_->eraSeenAt + term;
}

FencingToken LeaseCore::leastTokenOfEra() const {
  if (observed_->era == store::Era()) {
    return {};
  }
  const std::uint64_t beginOfEra = store::makeRevision(observed_->era, 0).value();
  return FencingToken(std::max(beginOfEra, observed_->version.value()));
}

bool LeaseCore::hasExpired(MonotonicTime now) const {
  // An unreadable record has no duration; all nodes use the same configured one.
  const Milliseconds duration =
      observed_->readable ? observed_->record.duration : settings_.duration;
  return now >= observedAt_ + duration + driftMargin(duration, settings_.clockDrift);
}

}  // namespace calicodrift::lease
