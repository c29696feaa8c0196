#pragma once

#include <cereal/types/string.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"

/// Transfer of large specs between nodes: a follower that has an earlier text gets what changed.
namespace calicodrift::relay {

using SharedText = std::shared_ptr<const std::string>;

/// The newest text of each large spec that a node has, by the name of its object.
using HeldTexts = std::map<std::string, SharedText>;

/// The text of an object's spec that a follower has.
struct HeldSpec {
  std::string name;
  std::uint64_t hash = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, hash);
  }
};

/// What turns a text that the follower has into the newest one.
struct SpecUpdate {
  /// Name of the object.
  std::string name;
  /// Hash of the text that is changed; 0 for the empty text.
  std::uint64_t base = 0;
  /// Hash of the result.
  std::uint64_t result = 0;
  /// Length of the patch before its compression, in bytes.
  std::uint64_t patchBytes = 0;
  /// An encoded peer::TextPatch in zlib's format.
  std::string compressedPatch;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, base, result, patchBytes, compressedPatch);
  }
};

/// Applies an update to the text that it changes. Fails with kProtocolViolation if the result is
/// not the text that the sender has.
Result<std::string> applyUpdate(std::string_view base, const SpecUpdate& update);

/// The texts of a kind's large specs, each with some earlier ones. Updates are computed once and
/// shared by all followers.
class SpecTexts {
 public:
  void set(const std::string& name, SharedText text);
  void erase(const std::string& name) { entries_.erase(name); }
  /// Erases the texts of all other objects.
  void retain(const std::function<bool(const std::string& name)>& isKept) {
    std::erase_if(entries_, [&isKept](const auto& entry) { return !isKept(entry.first); });
  }
  HeldTexts held() const;
  /// The newest text; null if the object has no large spec.
  SharedText newest(const std::string& name) const;
  /// The update from the text with the hash `base`, or from the empty text if that one is not kept.
  const SpecUpdate& updateFrom(const std::string& name, std::uint64_t base);

 private:
  struct Text {
    std::uint64_t hash = 0;
    SharedText text;
  };
  struct Entry {
    /// The newest first.
    std::deque<Text> texts;
    /// By the hash of their base.
    std::map<std::uint64_t, SpecUpdate> updates;
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace calicodrift::relay
