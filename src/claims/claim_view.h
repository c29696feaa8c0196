#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <vector>

#include "claims/claim_key.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "common/ids.h"
#include "peer/directory.h"

namespace calicodrift::claims {

/// Number of replicas of a group if the view has enough members.
inline constexpr std::size_t kReplicasPerGroup = 3;
/// Maximum number of members of a view. A view together with its predecessor's members must fit in
/// one datagram.
inline constexpr std::size_t kMaxViewMembers = 7;

/// Number of accepting votes that a claim needs out of `replicas`. Any two such majorities share a
/// replica.
constexpr std::size_t majorityOf(std::size_t replicas) {
  return replicas / 2 + 1;
}

/// A node that stores claims.
struct ViewMember {
  NodeId id;
  ZoneId zone;
  /// UDP address of the node's peer transport at the time the view was created.
  Endpoint endpoint;

  bool operator==(const ViewMember&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, zone, endpoint);
  }
};

/// Set of nodes that store the claims. Views are replaced by conditional writes to the object API,
/// so each epoch has exactly one view, and its predecessor is the view of the previous epoch.
struct ClaimView {
  Epoch epoch;
  /// True once no earlier epoch can form a majority in any group. A successor is written only then,
  /// so that at most two epochs can be active at a time.
  bool established = false;
  std::vector<ViewMember> members;
  /// Members of the previous epoch; empty in the first view.
  std::vector<ViewMember> previousMembers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(epoch, established, members, previousMembers);
  }
};

/// Replicas of one group, as indexes into the member list that they were chosen from.
using ReplicaSet = std::vector<std::size_t>;

/// Chooses the replicas of each group by rendezvous hashing, in different zones as far as possible.
/// Depends only on the ids and zones of the members.
std::array<ReplicaSet, kGroupCount> replicaSetsOf(const std::vector<ViewMember>& members);

/// Members for a new view: all of `alive` if they fit, otherwise a subset that prefers current
/// members and is spread over zones. Sorted by id; independent of the order of `alive`.
std::vector<ViewMember> chooseMembers(const std::vector<peer::PeerInfo>& alive,
                                      const std::vector<ViewMember>& current);

/// Serializes the view to the JSON text stored in the object API.
std::string toJson(const ClaimView& view);
/// Parses the JSON text from the object API. Fails with kProtocolViolation if it is malformed or
/// lacks a field.
Result<ClaimView> claimViewFromJson(std::string_view text);

}  // namespace calicodrift::claims
