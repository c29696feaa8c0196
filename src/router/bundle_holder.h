#pragma once

#include <functional>
#include <memory>

#include "bundle/signature.h"
#include "common/error.h"

namespace calicodrift::router {

/// The bundle in force on this node. Invariant: its version only rises, whatever the order in which
/// bundles arrive and from where, and every one was signed as the rule demands.
class BundleHolder {
 public:
  using Listener = std::function<void(const bundle::Bundle&)>;

  BundleHolder(bundle::SigningRule rule, Listener listener);

  /// Verifies and adopts a newer bundle. Fails with kVersionConflict where it is not newer, and
  /// with the verification's error.
  Result<void> adopt(const bundle::SignedBundle& signedBundle);
  /// Null until a first bundle was adopted.
  std::shared_ptr<const bundle::Bundle> current() const { return current_; }
  /// The adopted bundle with its signatures, for peers that ask for it.
  const bundle::SignedBundle& currentSigned() const { return currentSigned_; }

 private:
  bundle::SigningRule rule_;
  Listener listener_;
  std::shared_ptr<const bundle::Bundle> current_;
  bundle::SignedBundle currentSigned_;
};

}  // namespace calicodrift::router
