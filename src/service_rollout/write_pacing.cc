#include "service_rollout/write_pacing.h"

#include <algorithm>

namespace calicodrift::service_rollout {
namespace {

/// Whether the write may have been applied, or another writer was first.
bool viewsMayBeOutdatedAfter(ErrorKind kind) {
  return kind == ErrorKind::kOutcomeUnknown || kind == ErrorKind::kVersionConflict ||
         kind == ErrorKind::kNotFound;
}

}  // namespace

bool WritePacing::mayWrite(const PlanInput& input, MonotonicTime now) const {
  if (now < notBefore_) {
    return false;
  }
  const bool proven = !minProofTime_ || (input.orders.provenAt > *minProofTime_ &&
                                         input.records.provenAt > *minProofTime_);
  const bool shown =
      input.orders.revision >= minOrdersRevision_ && input.records.revision >= minRecordsRevision_;
  return proven && (shown || now >= viewDeadline_);
}

void WritePacing::onWritten(PlanStep step, store::Revision revision, MonotonicTime now) {
  store::Revision& needed =
      step == PlanStep::kWriteState ? minOrdersRevision_ : minRecordsRevision_;
  needed = std::max(needed, revision);
  viewDeadline_ = now + settings_.maxViewWait;
  minProofTime_.reset();
  failures_ = 0;
}

void WritePacing::onFailed(ErrorKind kind, MonotonicTime now, std::mt19937_64& random) {
  if (viewsMayBeOutdatedAfter(kind)) {
    minProofTime_ = now;
  }
  notBefore_ = now + nextPause(random);
}

Milliseconds WritePacing::nextPause(std::mt19937_64& random) {
  constexpr unsigned kMaxDoublings = 10;
  const Milliseconds longest = std::min(
      settings_.initialPause * (1U << std::min(failures_, kMaxDoublings)), settings_.maxPause);
  ++failures_;
  std::uniform_int_distribution<std::int64_t> distribution(longest.count() / 2, longest.count());
  return Milliseconds(distribution(random));
}

}  // namespace calicodrift::service_rollout
