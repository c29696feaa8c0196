#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "bundle/signature.h"
#include "common/error.h"

namespace calicodrift::config {

/// Digest of a bundle's exact text, used to compare and request texts. It is not a proof of
/// integrity: a bundle is adopted based on its signatures, which cover the whole text. 0 means no
/// text.
using BundleDigest = StrongType<struct BundleDigestTag, std::uint64_t>;

BundleDigest digestOf(std::string_view text);

/// Holds the active bundle of this node. Invariant: its version only increases, whatever the order
/// and origin of incoming bundles, and every bundle was signed according to the signing rule.
/// adopt() is the only way to replace the bundle and checks both.
class BundleHolder {
 public:
  using Listener = std::function<void(const bundle::Bundle&)>;

  BundleHolder(bundle::SigningRule rule, Listener listener);

  /// Verifies and adopts a newer bundle. Fails with kVersionConflict if it is not newer, and with
  /// the error of the verification.
  Result<void> adopt(const bundle::SignedBundle& signedBundle);
  /// Returns null until a first bundle was adopted.
  std::shared_ptr<const bundle::Bundle> current() const { return current_; }
  /// Active version; 0 for none.
  BundleVersion version() const { return current_ ? current_->version : BundleVersion(); }
  BundleDigest digest() const { return digest_; }
  /// The active bundle with its signatures, for peers that request it.
  const bundle::SignedBundle& currentSigned() const { return currentSigned_; }

  /// Returns a previously active text as the base of a delta, or null if it is no longer stored.
  const std::string* previousText(BundleDigest digest) const;
  /// True if this node has or had a different text active under this version.
  bool conflictsWith(BundleVersion version, BundleDigest digest) const;

 private:
  struct PreviousText {
    BundleVersion version;
    BundleDigest digest;
    std::string text;
  };
  /// A peer that missed more changes than this fetches the full text.
  static constexpr std::size_t kMaxPreviousTexts = 8;

  bundle::SigningRule rule_;
  Listener listener_;
  std::shared_ptr<const bundle::Bundle> current_;
  bundle::SignedBundle currentSigned_;
  BundleDigest digest_;
  std::deque<PreviousText> previousTexts_;
};

}  // namespace calicodrift::config
