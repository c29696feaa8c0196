#pragma once

#include <cereal/types/utility.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "claims/claim_key.h"
#include "claims/claim_view.h"
#include "common/ids.h"
#include "peer/codec.h"

/// Messages on Channel::kClaims. The transport may lose, duplicate, delay or reorder any of them.
namespace calicodrift::claims {

/// Maximum response body that a record stores, in bytes. Of a longer body, only the fact that the
/// request completed is stored.
inline constexpr std::size_t kMaxStoredBodyBytes = 900;

/// Stored response of a claimed request.
struct StoredOutcome {
  std::uint32_t status = 0;
  std::string contentType;
  /// False if the body exceeded kMaxStoredBodyBytes and was not stored.
  bool bodyStored = false;
  std::string body;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(status, contentType, bodyStored, body);
  }
};

/// A replica's vote on a claim.
enum class Vote : std::uint8_t {
  kAccepted,
  /// Another attempt, identified by `holder`, holds the key.
  kHeldByOther,
  /// Another attempt ran the request; `outcome` is its stored response.
  kCompleted,
  /// The replica cannot rule out that it voted for another attempt before it restarted.
  kAbstained,
  /// The replica knows of no attempt but has reached its record limit.
  kFull,
  kKeyTooOld,
  kKeyFromFuture,
  /// The epoch of the claim differs from the replica's epoch, which is in `epoch`.
  kOtherEpoch,
  /// This attempt was released earlier.
  kGivenUp,
};

struct ClaimRequest {
  Epoch epoch;
  ClaimKey key;
  AttemptToken token;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, key, token);
  }
};

struct ClaimReply {
  /// Current epoch of the replica.
  Epoch epoch;
  NodeId replica;
  ClaimKey key;
  AttemptToken token;
  Vote vote = Vote::kAbstained;
  AttemptToken holder;
  std::optional<StoredOutcome> outcome;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, replica, key, token, vote, holder, outcome);
  }
};

/// The attempt ended without a dispatch and will never dispatch.
struct ReleaseNotice {
  ClaimKey key;
  AttemptToken token;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, token);
  }
};

/// The request of the attempt ran and received a response.
struct CompletedNotice {
  ClaimKey key;
  AttemptToken token;
  StoredOutcome outcome;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, token, outcome);
  }
};

/// Requests the receiver's view if its epoch is later than `known`.
struct ViewRequest {
  Epoch known;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(known);
  }
};

struct ViewNotice {
  ClaimView view;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(view);
  }
};

/// Requests the receiver's epoch and voting state, so that the sender can become a voter or learn
/// that a view is established.
struct JoinRequest {
  Epoch epoch;
  NodeId node;
  /// Incarnation of the sending process: its wall clock time at startup.
  Incarnation incarnation;
  /// The sender has not been able to read the object API since it started.
  bool needsConfirmation = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, node, incarnation, needsConfirmation);
  }
};

struct JoinReply {
  Epoch epoch;
  NodeId node;
  Incarnation incarnation;
  /// Incarnation of the node that sent the JoinRequest.
  Incarnation requesterIncarnation;
  bool established = false;
  /// Bit g is set if the node votes in group g at `epoch`.
  std::uint64_t voterGroups = 0;
  /// Incarnations that the node has ever confirmed. Replies from earlier incarnations of the same
  /// node are invalid.
  std::vector<std::pair<NodeId, Incarnation>> confirmed;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, node, incarnation, requesterIncarnation, established, voterGroups, confirmed);
  }
};

using ClaimMessage = std::variant<ClaimRequest, ClaimReply, ReleaseNotice, CompletedNotice,
                                  ViewRequest, ViewNotice, JoinRequest, JoinReply>;

}  // namespace calicodrift::claims
