#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "relay/relay_list.h"
#include "store/object_store.h"

/// Reading the store through another node, so that the load on the store does not grow with
/// the number of nodes. The nodes of a group form a tree: its roots read the store, every other
/// node reads what its parent knows.
namespace calicodrift::relay {

inline constexpr std::string_view kViewPath = "/view";
inline constexpr std::string_view kJoinPath = "/join";
/// A RelayList is told here, and answered with the newest one that the node knows. Builds that
/// don't have it answer 404, and count as not having heard.
inline constexpr std::string_view kRootsPath = "/roots";

/// What a node asks another that it wants to follow, or follows: every heartbeat is one.
struct JoinRequest {
  std::string node;
  Endpoint endpoint;
  std::string zone;
  /// The sender only wants to know how the other stands.
  bool looksOnly = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(node, endpoint, zone, looksOnly);
  }
};

enum class JoinOutcome : std::uint8_t {
  kAccepted,
  /// It has as many children as it may have; others may have room.
  kFull,
  /// It has no parent itself, or stops.
  kNotServing,
};

struct JoinReply {
  JoinOutcome outcome = JoinOutcome::kNotServing;
  /// Nodes between the sender of this reply and the store.
  std::uint32_t depth = 0;
  /// Age of the sender's view of the store.
  std::int64_t proofAgeMs = 0;
  /// The list of roots, as the sender knows it.
  RelayList roots;
  /// Children of the sender.
  std::uint32_t children = 0;
  /// Whom to ask instead: where it is full, its children; else whom to go to should it fail.
  std::vector<Relay> others;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outcome, depth, proofAgeMs, roots, children, others);
  }
};

/// What a follower asks its relay for.
struct ViewQuery {
  std::string kind;
  /// Everything, or the changes after `since`.
  bool listing = false;
  std::uint64_t since = 0;
  /// Longest time for which the relay may wait for news.
  std::uint32_t waitMs = 0;
  /// The asking node, which must be a child.
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
  /// This node has no parent, or does not know the asking node as its child.
  kNotServing,
};

struct ViewObject {
  std::string name;
  std::uint64_t revision = 0;
  bool deleting = false;
  bool removed = false;
  /// JSON.
  std::string spec;
  /// JSON; empty where the object has none.
  std::string status;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, revision, deleting, removed, spec, status);
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
/// As toObject(), but with a null spec and no status where they are not JSON: one such object must
/// not take the others of a view with it, and no reader of specs accepts null.
store::Object toObjectOrUnreadable(const ViewObject& object);

}  // namespace calicodrift::relay
