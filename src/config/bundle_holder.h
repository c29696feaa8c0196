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

/// Short name of a bundle's exact text, to compare and to ask for. It proves nothing: a bundle is
/// adopted for its signatures, which cover the whole text. 0 stands for no text.
using BundleDigest = StrongType<struct BundleDigestTag, std::uint64_t>;

BundleDigest digestOf(std::string_view text);

/// The bundle in force on this node. Invariant: its version only rises, whatever the order in which
/// bundles arrive and from where, and every one was signed as the rule demands. It holds because
/// adopt() is the only way in and checks both.
class BundleHolder {
 public:
  using Listener = std::function<void(const bundle::Bundle&)>;

  BundleHolder(bundle::SigningRule rule, Listener listener);

  /// Verifies and adopts a newer bundle. Fails with kVersionConflict where it is not newer, and
  /// with the verification's error.
  Result<void> adopt(const bundle::SignedBundle& signedBundle);
  /// Null until a first bundle was adopted.
  std::shared_ptr<const bundle::Bundle> current() const { return current_; }
  /// Version in force; 0 for none.
  BundleVersion version() const { return current_ ? current_->version : BundleVersion(); }
  BundleDigest digest() const { return digest_; }
  /// The adopted bundle with its signatures, for peers that ask for it.
  const bundle::SignedBundle& currentSigned() const { return currentSigned_; }

  /// An earlier text as base of a delta, or null where it was forgotten.
  const std::string* earlierText(BundleDigest digest) const;
  /// Whether this node once had another text in force under this version.
  bool contradicts(BundleVersion version, BundleDigest digest) const;

 private:
  struct Earlier {
    BundleVersion version;
    BundleDigest digest;
    std::string text;
  };
  /// A node that missed more changes than this fetches the whole text.
  static constexpr std::size_t kEarlierTexts = 8;

  bundle::SigningRule rule_;
  Listener listener_;
  std::shared_ptr<const bundle::Bundle> current_;
  bundle::SignedBundle currentSigned_;
  BundleDigest digest_;
  std::deque<Earlier> earlier_;
};

}  // namespace calicodrift::config
