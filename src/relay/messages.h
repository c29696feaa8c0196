#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "relay/relay_list.h"
#include "relay/spec_texts.h"
#include "store/object_store.h"

/// Relay trees: nodes read the store through other nodes, so that the load on the store does not
/// grow with the number of nodes. The nodes of a group form a tree: its roots read the store, and
/// every other node reads from its parent.
namespace calicodrift::relay {

inline constexpr std::string_view kViewPath = "/view";
/// As kViewPath, with large specs as what changed. Builds without this path answer 404.
inline constexpr std::string_view kPatchedViewPath = "/view-patches";
inline constexpr std::string_view kJoinPath = "/join";
/// Receives a RelayList and replies with the newest list that the node knows. Builds without this
/// endpoint answer 404, which counts as not notified.
inline constexpr std::string_view kRootsPath = "/roots";

/// Asks for a place as a child. Also sent to the parent as a heartbeat.
struct JoinRequest {
  std::string node;
  Endpoint endpoint;
  std::string zone;
  /// Only asks for the state of the receiver, without becoming its child.
  bool probeOnly = false;
  /// Maximum number of children of the sender; 0 if it does not tell, as builds before this field.
  /// Those ignore it.
  std::uint32_t capacity = 0;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(node, endpoint, zone, probeOnly, capacity);
  }
  template <typename Archive>
  void load(Archive& archive) {
    archive(node, endpoint, zone, probeOnly);
    try {
      archive(capacity);
    } catch (const cereal::Exception&) {
      capacity = 0;
    }
  }
};

enum class JoinOutcome : std::uint8_t {
  kAccepted,
  /// The node already has its maximum number of children; its own children may have room.
  kFull,
  /// The node has no parent or is stopping.
  kNotServing,
};

struct JoinReply {
  JoinOutcome outcome = JoinOutcome::kNotServing;
  /// Number of nodes between the sender of this reply and the store.
  std::uint32_t depth = 0;
  /// Age of the sender's view of the store, in milliseconds.
  std::int64_t proofAgeMs = 0;
  /// The list of roots that the sender knows.
  RelayList roots;
  /// Number of children of the sender.
  std::uint32_t children = 0;
  /// Other relays to ask: the sender's children if it is full, otherwise fallbacks for when the
  /// sender fails.
  std::vector<Relay> alternatives;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outcome, depth, proofAgeMs, roots, children, alternatives);
  }
};

/// A child's request for a listing or for changes of one kind.
struct ViewQuery {
  std::string kind;
  /// True for a full listing, false for the changes after `since`.
  bool listing = false;
  std::uint64_t since = 0;
  /// Longest time for which the relay may wait for a change, in milliseconds.
  std::uint32_t waitMs = 0;
  /// The sender, which must be a child of the receiver.
  std::string follower;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, listing, since, waitMs, follower);
  }
};

enum class ViewOutcome : std::uint8_t {
  kServed,
  /// The history after `since` is no longer kept; the follower has to list again.
  kCompacted,
  /// The node has no parent, or the sender is not one of its children.
  kNotServing,
};

struct ViewObject {
  std::string name;
  std::uint64_t revision = 0;
  bool deleting = false;
  bool removed = false;
  /// Serialized JSON.
  std::string spec;
  /// Serialized JSON; empty if the object has no status.
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
  /// When the reply was known to be current, in milliseconds after the arrival of the query.
  /// Negative if that was before the arrival.
  std::int64_t provenAfterMs = 0;
  /// See store::ChangeBatch. Only PatchedViewReply carries it.
  bool complete = true;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(outcome, objects, revision, provenAfterMs);
  }
};

/// A ViewQuery with the large specs that the sender holds.
struct PatchedViewQuery {
  ViewQuery query;
  std::vector<HeldSpec> held;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(query, held);
  }
};

/// A ViewReply whose objects lack the specs that `updates` holds.
struct PatchedViewReply {
  ViewReply view;
  std::vector<SpecUpdate> updates;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(view, updates, view.complete);
  }
  /// Builds before the last field do not tell whether changes are missing.
  template <typename Archive>
  void load(Archive& archive) {
    archive(view, updates);
    try {
      archive(view.complete);
    } catch (const cereal::Exception&) {
      view.complete = true;
    }
  }
};

ViewObject toMessage(const store::Object& object, bool removed);
/// Fails with kProtocolViolation if the spec or the status is not JSON. A large spec is taken over
/// as its text, without a check.
Result<store::Object> toObject(const ViewObject& object);
/// As toObject(), but with a null spec and no status if either is not JSON. One malformed object
/// must not make the other objects of a view unreadable, and every reader of specs rejects null.
store::Object toObjectOrUnreadable(const ViewObject& object);

}  // namespace calicodrift::relay
