#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "store/object_store.h"

/// Reading the store through another node, so that the load on the store does not grow with
/// the number of nodes as fast as they do.
namespace calicodrift::relay {

inline constexpr std::string_view kViewPath = "/view";

/// What a follower asks its relay for.
struct ViewQuery {
  std::string kind;
  /// Everything, or the changes after `since`.
  bool listing = false;
  std::uint64_t since = 0;
  /// Longest time for which the relay may wait for news.
  std::uint32_t waitMs = 0;
  /// The asking node; a relay bounds how many it serves.
  std::string follower;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, listing, since, waitMs, follower);
  }
};

enum class ViewOutcome : std::uint8_t {
  kServed,
  /// The history after `since` is gone: a listing is needed.
  kForgotten,
  /// This node does not read the store itself, or has not heard from it lately.
  kNotServing,
  /// It has as many followers as it may have.
  kFull,
};

struct ViewObject {
  std::string name;
  std::uint64_t revision = 0;
  bool deleting = false;
  bool removed = false;
  /// JSON.
  std::string spec;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, revision, deleting, removed, spec);
  }
};

struct ViewReply {
  ViewOutcome outcome = ViewOutcome::kNotServing;
  std::vector<ViewObject> objects;
  std::uint64_t revision = 0;
  /// The reply was the newest state so long after the query came in; below 0: so long before.
  std::int64_t provenAfterMs = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outcome, objects, revision, provenAfterMs);
  }
};

ViewObject toMessage(const store::Object& object, bool removed);
/// Fails with kProtocolViolation where the spec is not JSON.
Result<store::Object> toObject(const ViewObject& object);

}  // namespace calicodrift::relay
