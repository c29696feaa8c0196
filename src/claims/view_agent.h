#pragma once

#include <array>
#include <bitset>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "claims/claim_messages.h"
#include "claims/claim_settings.h"
#include "claims/claim_view.h"
#include "claims/view_store.h"
#include "peer/directory.h"

namespace calicodrift::claims {

/// Maintains this node's view of the nodes that store claims, decides in which groups the node
/// votes, and writes new views when the set of alive nodes has changed.
///
/// Invariant: no two epochs can form a majority for the same group at the same time. A node votes
/// in a group of epoch e only if
///  - it carried its vote over from e-1 with a complete vote history, into a replica set whose
///    majority is not smaller; or
///  - the previous epoch is sealed: a majority of its replicas has left it permanently. All earlier
///    epochs are then sealed too, because view e-1 was established before e was written.
/// A majority of epoch e therefore either has a member that joined after the seal, or shares a
/// replica, with its vote history, with every majority of e-1.
///
/// Leaving an epoch is permanent across restarts: a restarted node votes only after it has read the
/// object API since it started (which holds e or a later epoch), or after enough voters of the same
/// epoch have confirmed it that no majority can have left that epoch. A node that has confirmed
/// another reports that in every later reply, which invalidates the replies of earlier incarnations
/// of the confirmed node.
class ViewAgent {
 public:
  using Sender = std::function<void(const Endpoint& to, const ClaimMessage& message)>;
  /// Called when the node's history of votes in a group begins.
  using VoteHistoryStarted = std::function<void(std::size_t group, ClockReading now)>;

  ViewAgent(const ClaimSettings& settings, const peer::PeerDirectory& directory, ViewStore& store,
            Sender sender, VoteHistoryStarted voteHistoryStarted, ClockReading started);
  ~ViewAgent();
  ViewAgent(const ViewAgent&) = delete;
  ViewAgent& operator=(const ViewAgent&) = delete;

  void tick(ClockReading now);
  /// Requests the view from `from` if `epoch` is later than the current one.
  void observeEpoch(const Endpoint& from, Epoch epoch);
  void handle(const Endpoint& from, const ViewRequest& request);
  void handle(const Endpoint& from, const ViewNotice& notice, ClockReading now);
  void handle(const Endpoint& from, const JoinRequest& request, ClockReading now);
  void handle(const Endpoint& from, const JoinReply& reply, ClockReading now);

  /// Epoch of the current view; 0 if no view is known.
  Epoch epoch() const { return view_.epoch; }
  const ClaimView& view() const { return view_; }
  /// Replicas of the group in the current view, as indexes into view().members.
  const ReplicaSet& replicas(std::size_t group) const { return sets_.at(group); }
  bool votes(std::size_t group) const { return votingGroups_.test(group); }
  std::size_t votingGroups() const { return votingGroups_.count(); }
  /// Address of a member: from the peer directory if the node is alive there, otherwise from the
  /// view.
  Endpoint endpointOf(const ViewMember& member) const;

 private:
  bool isSelf(const ViewMember& member) const;
  std::optional<std::size_t> selfIndex() const;
  bool selfReplicates(std::size_t group) const;
  void adopt(const ClaimView& view, ClockReading now);
  void carryVotesOver(const ClaimView& next, const std::array<ReplicaSet, kGroupCount>& nextSets);
  bool needsJoin() const;
  /// Requests the view from one alive peer after the other; used while no view is known.
  void requestView(ClockReading now);
  void sendJoinRequests(ClockReading now);
  void startVoting(ClockReading now);
  bool previousEpochSealed(std::size_t group) const;
  bool currentEpochProved(std::size_t group) const;
  bool isReplyInvalidated(const JoinReply& reply) const;
  bool leftPreviousEpoch(const ViewMember& member) const;
  bool isKnownVoter(const ViewMember& member, std::size_t group) const;
  void recordConfirmation(const NodeId& node, Incarnation incarnation);
  /// Records a confirmation. Returns false if the limit is reached, this node votes in no group, or
  /// the node has restarted again in the meantime.
  bool confirmIncarnation(const JoinRequest& request);
  std::vector<ViewMember> membersOfBothViews() const;
  bool everyGroupHasVotingMajority() const;

  /// Nodes that the directory reports alive plus view members that reply, each once. An empty or
  /// wrong directory therefore does not remove any member.
  std::vector<peer::PeerInfo> aliveNodes(ClockReading now) const;
  void evaluateMembership(ClockReading now);
  bool newViewDue() const;
  void accessStore(ClockReading now);
  void onRead(const Result<VersionedView>& read, ClockReading now);
  std::optional<VersionedView> successorOf(const Result<VersionedView>& read) const;
  void write(const VersionedView& next);

  const ClaimSettings& settings_;
  const ClockReading started_;
  /// Incarnation of this process; greater after every restart of the same node.
  const Incarnation incarnation_;
  const peer::PeerDirectory& directory_;
  ViewStore& store_;
  Sender sender_;
  VoteHistoryStarted voteHistoryStarted_;
  ClaimView view_;
  std::array<ReplicaSet, kGroupCount> sets_;
  std::array<ReplicaSet, kGroupCount> previousSets_;
  std::bitset<kGroupCount> votingGroups_;
  /// True once the object API was read since startup; every epoch from then on is new to this node.
  bool storeRead_ = false;
  /// Latest reply of each node to this incarnation.
  std::map<NodeId, JoinReply> replies_;
  /// Time of the last reply of each node.
  std::map<NodeId, MonotonicTime> lastReplyAt_;
  /// Incarnations that this node has ever confirmed.
  std::map<NodeId, Incarnation> confirmed_;
  /// Latest incarnation of each node that any node confirmed; replies of earlier ones are invalid.
  std::map<NodeId, Incarnation> latestConfirmed_;
  std::optional<MonotonicTime> lastJoinRequest_;
  std::size_t viewRequestCount_ = 0;
  MonotonicTime adoptedAt_;
  std::optional<MonotonicTime> lastEvaluation_;
  /// True if this node has the lowest id of all nodes that it considers alive.
  bool coordinator_ = false;
  /// Addresses of alive nodes of both views. They differ from the address in the view if a node
  /// restarted elsewhere.
  std::map<NodeId, Endpoint> endpoints_;
  std::vector<ViewMember> proposedMembers_;
  MonotonicTime proposedSince_;
  std::optional<MonotonicTime> lastStoreAccess_;
  bool storeBusy_ = false;
  ClockReading now_;
  /// Lets store callbacks that outlive the agent detect that it was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace calicodrift::claims
