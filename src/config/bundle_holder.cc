#include "config/bundle_holder.h"

#include <algorithm>

#include "common/hashing.h"

namespace calicodrift::config {

BundleDigest digestOf(std::string_view text) {
  return BundleDigest(hashBytes(text));
}

BundleHolder::BundleHolder(bundle::SigningRule rule, Listener listener)
    : rule_(std::move(rule)), listener_(std::move(listener)) {}

Result<void> BundleHolder::adopt(const bundle::SignedBundle& signedBundle) {
  if (current_ && signedBundle.text == currentSigned_.text) {
    return boost::outcome_v2::success();
  }
  Result<bundle::Bundle> verified = bundle::verify(signedBundle, rule_);
  if (!verified) {
    return verified.error();
  }
  if (current_ && verified.value().version <= current_->version) {
    return fail(ErrorKind::kVersionConflict, "the bundle is not newer than the active one");
  }
  if (current_) {
    previousTexts_.push_back({current_->version, digest_, std::move(currentSigned_.text)});
    if (previousTexts_.size() > kMaxPreviousTexts) {
      previousTexts_.pop_front();
    }
  }
  current_ = std::make_shared<const bundle::Bundle>(std::move(verified.value()));
  currentSigned_ = signedBundle;
  digest_ = digestOf(currentSigned_.text);
  listener_(*current_);
  return boost::outcome_v2::success();
}

const std::string* BundleHolder::previousText(BundleDigest digest) const {
  const auto found =
      std::find_if(previousTexts_.begin(), previousTexts_.end(),
                   [digest](const PreviousText& item) { return item.digest == digest; });
  return found == previousTexts_.end() ? nullptr : &found->text;
}

bool BundleHolder::conflictsWith(BundleVersion version, BundleDigest digest) const {
  if (current_ && current_->version == version) {
    return digest_ != digest;
  }
  return std::any_of(previousTexts_.begin(), previousTexts_.end(), [&](const PreviousText& item) {
    return item.version == version && item.digest != digest;
  });
}

}  // namespace calicodrift::config
