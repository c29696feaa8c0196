#include "service_rollout/write_pacing.h"

#include <algorithm>

namespace calicodrift::service_rollout {
namespace {

/// Whether the write may have been done, or another writer was first.
bool viewsAreOutdatedAfter(ErrorKind kind) {
  return kind == ErrorKind::kOutcomeUnknown || kind == ErrorKind::kVersionConflict ||
         kind == ErrorKind::kNotFound;
}

}  // namespace

bool WritePacing::mayWrite(const PlanInput& input, MonotonicTime now) const {
  if (now < notBefore_) {
    return false;
  }
  const bool proven = !proofNeeded_ || (input.orders.provenAt > *proofNeeded_ &&
                                        input.records.provenAt > *proofNeeded_);
  const bool shown =
      input.orders.revision >= ordersNeeded_ && input.records.revision >= recordsNeeded_;
  return proven && (shown || now >= viewsDue_);
}

void WritePacing::onWritten(PlanStep step, store::Revision revision, MonotonicTime now) {
  store::Revision& needed = step == PlanStep::kWriteState ? ordersNeeded_ : recordsNeeded_;
  needed = std::max(needed, revision);
  viewsDue_ = now + settings_.longestViewWait;
  proofNeeded_.reset();
  failures_ = 0;
}

void WritePacing::onFailed(ErrorKind kind, MonotonicTime now, std::mt19937_64& random) {
  if (viewsAreOutdatedAfter(kind)) {
    proofNeeded_ = now;
  }
  notBefore_ = now + nextPause(random);
}

Milliseconds WritePacing::nextPause(std::mt19937_64& random) {
  constexpr unsigned kMostDoublings = 10;
  const Milliseconds longest = std::min(
      settings_.firstPause * (1U << std::min(failures_, kMostDoublings)), settings_.longestPause);
  ++failures_;
  std::uniform_int_distribution<std::int64_t> any(longest.count() / 2, longest.count());
  return Milliseconds(any(random));
}

}  // namespace calicodrift::service_rollout
