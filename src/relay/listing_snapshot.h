#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "relay/messages.h"
#include "store/object_store.h"

/// Transfer of whole listings between nodes. A listing is encoded once, by a root, and passed on
/// down the tree as it is, with the changes since; so a node's cost for a child does not depend on
/// what encoding the listing costs.
namespace calicodrift::relay {

/// Path of requests for snapshots: a ViewQuery, answered by a SnapshotReply. Builds without this
/// path answer 404.
inline constexpr std::string_view kSnapshotPath = "/view-snapshot";

/// Some objects of a listing, encoded together. Parts are read one at a time, so that a node never
/// holds the whole listing in its encoded form, and serves others in between.
struct SnapshotPart {
  /// Length of the encoded objects before their compression, in bytes.
  std::uint64_t bytes = 0;
  /// An encoded std::vector<ViewObject> in zlib's format.
  std::string compressed;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(bytes, compressed);
  }
};

/// All objects of a kind at one revision of the store. Immutable once made, and shared by all that
/// send it.
struct ListingSnapshot {
  std::uint64_t revision = 0;
  std::vector<SnapshotPart> parts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, parts);
  }
};

using SharedSnapshot = std::shared_ptr<const ListingSnapshot>;

/// A snapshot, and what has changed since.
struct SnapshotReply {
  ViewOutcome outcome = ViewOutcome::kNotServing;
  /// Never null.
  SharedSnapshot snapshot = std::make_shared<ListingSnapshot>();
  ViewReply changes;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(outcome, *snapshot, changes);
  }
  template <typename Archive>
  void load(Archive& archive) {
    auto received = std::make_shared<ListingSnapshot>();
    archive(outcome, *received, changes);
    snapshot = std::move(received);
  }
};

/// Objects in one part.
inline constexpr std::size_t kObjectsPerPart = 256;

/// Encodes up to kObjectsPerPart objects, from `first` on.
SnapshotPart encodePart(const std::vector<store::Object>& objects, std::size_t first);

/// The objects of a part, with their specs as texts. Fails with kProtocolViolation.
Result<std::vector<store::Object>> decodePart(const SnapshotPart& part);

}  // namespace calicodrift::relay
