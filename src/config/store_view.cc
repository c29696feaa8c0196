#include "config/store_view.h"

namespace calicodrift::config {

StoreView::StoreView(const Roster& roster, BundleHolder& holder, FreshnessTracker& freshness,
                     ConfigMetrics& metrics, Listener onAdopted)
    : roster_(roster),
      holder_(holder),
      freshness_(freshness),
      metrics_(metrics),
      onAdopted_(std::move(onAdopted)) {}

bool StoreView::shouldRead(MonotonicTime now) {
  if (!firstCheckedAt_) {
    firstCheckedAt_ = now;
  }
  if (roster_.isWatcher()) {
    return true;
  }
  const std::size_t rank = roster_.successorRank();
  const Milliseconds sinceConfirmation =
      freshness_.age(now).value_or(std::chrono::floor<Milliseconds>(now - *firstCheckedAt_));
  return rank < kSuccessors &&
         sinceConfirmation >
             freshness_.term() / 2 + kSuccessorStep * static_cast<std::int64_t>(rank);
}

void StoreView::handleObject(const object_api::StoredObject& object) {
  storeDigest_ = BundleDigest();
  const Result<bundle::SignedBundle> signedBundle = bundle::signedBundleFromJson(object.spec);
  if (!signedBundle) {
    metrics_.countRejected(BundleSource::kStore, signedBundle.error().kind);
    return;
  }
  const BundleDigest before = holder_.digest();
  const Result<void> adopted = holder_.adopt(signedBundle.value());
  if (adopted) {
    storeVersion_ = holder_.version();
    storeDigest_ = holder_.digest();
    if (storeDigest_ != before) {
      metrics_.countAdopted(BundleSource::kStore);
      onAdopted_();
    }
    return;
  }
  if (adopted.error().kind != ErrorKind::kVersionConflict) {
    metrics_.countRejected(BundleSource::kStore, adopted.error().kind);
    return;
  }
  const Result<bundle::Bundle> older = bundle::parseBundle(signedBundle.value().text);
  if (older) {
    storeVersion_ = older.value().version;
    storeDigest_ = digestOf(signedBundle.value().text);
  }
}

void StoreView::handleBookmark(MonotonicTime readAt, BundleVersion versionThen) {
  if (storeDigest_.value() == 0) {
    return;
  }
  if (storeVersion_ < versionThen) {
    // Versions never decrease, so the store was restored to an older state. Nothing is confirmed in
    // that case.
    metrics_.countStoreBehind();
    return;
  }
  if (holder_.conflictsWith(storeVersion_, storeDigest_)) {
    metrics_.countContradiction();
    return;
  }
  freshness_.confirm(storeVersion_, storeDigest_, readAt);
}

}  // namespace calicodrift::config
