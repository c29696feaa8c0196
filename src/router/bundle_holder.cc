#include "router/bundle_holder.h"

namespace calicodrift::router {

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
    return fail(ErrorKind::kVersionConflict, "the bundle is not newer than the one in force");
  }
  current_ = std::make_shared<const bundle::Bundle>(std::move(verified.value()));
  currentSigned_ = signedBundle;
  listener_(*current_);
  return boost::outcome_v2::success();
}

}  // namespace calicodrift::router
