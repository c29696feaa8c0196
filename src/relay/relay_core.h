#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "common/clock.h"
#include "relay/child_table.h"
#include "relay/messages.h"
#include "relay/relay_list.h"
#include "relay/relay_settings.h"

namespace calicodrift::relay {

enum class RelayRole {
  /// Has no source for the state of the store: none found yet, or lost.
  kSearching,
  /// Reads from its parent.
  kChild,
  /// Reads the store itself.
  kRoot,
};

enum class RelayStep {
  kWait,
  kReadList,
  /// Reads a list that may be seconds old.
  kReadStaleList,
  kWriteList,
  kSendJoin,
  kAnnounceRoots,
};

/// The next step for the driver of a RelayCore.
struct RelayAction {
  RelayStep step = RelayStep::kWait;
  /// kWait: no step is due before this time.
  MonotonicTime until{};
  /// kSendJoin, kAnnounceRoots: the recipient.
  Relay relay;
  /// kSendJoin: asks for the recipient's state without becoming its child.
  bool probeOnly = false;
  /// kWriteList: the list to write, conditional on its revision. kAnnounceRoots: the newest list.
  RelayList list;
};

/// Position of a node in the tree of its group, as a state machine without I/O: next() returns the
/// next step, and the on...() functions report its outcome.
///
/// A node reads the list of roots from the store once at startup, possibly as it was seconds
/// before, and again only if none of the relays that it knows answers: a full relay names its
/// children, and a parent names fallbacks. A node that reads a list without a usable root claims
/// the place. A root appoints one of its children as the second root and replaces a root that does
/// not answer, so that not many nodes claim at once.
///
/// A child leaves a parent that does not answer or does not serve, but not one that has merely not
/// heard from the store: the age of a view is sent with the view, and the roots and their children
/// look for newer views.
///
/// Some actions are reserved to the listed roots, such as granting shares of a limit: see
/// mayGrant(). Invariant: no more nodes grant than the list names. It holds because a root grants
/// only for RelaySettings::tenure after it last read that it is listed, and a new root starts to
/// grant only when the other roots of the current and the previous list have acknowledged the
/// change, or that time has passed. A root that cannot read the store continues to grant while
/// other nodes reach it, since the node that replaces it notifies it.
class RelayCore {
 public:
  RelayCore(RelaySettings settings, std::uint64_t seed);

  /// @param provenAt when this node's whole view was last known to be current.
  RelayAction next(MonotonicTime now, MonotonicTime provenAt);
  void onList(const Result<RelayList>& list, MonotonicTime now, MonotonicTime provenAt);
  void onStaleList(const Result<RelayList>& list, MonotonicTime now);
  /// @param written the new revision of the list; nothing if the write is not known to have
  /// succeeded.
  void onListWritten(const std::optional<store::Revision>& written, MonotonicTime now);
  void onReply(const RelayAction& asked, const Result<JoinReply>& reply, MonotonicTime now,
               MonotonicTime provenAt);
  /// @param acknowledged whether the root knows the list, or its process is gone.
  void onRootsAnnounced(const RelayAction& announced, bool acknowledged, MonotonicTime now);
  /// Handles a list of roots from another node. Returns the newest list that this node knows.
  const RelayList& learnRoots(const RelayList& list, MonotonicTime now);
  /// Handles a failed read from the parent: the next heartbeat is sent at once.
  void onViewFailed(const Endpoint& relay, MonotonicTime now);
  /// Answers another node's join request.
  JoinReply answer(const JoinRequest& request, MonotonicTime now, MonotonicTime provenAt);
  /// Renews the child on a query for a view. Returns false if the node is not a child.
  bool renewChild(const NodeId& node, MonotonicTime now) { return children_.renew(node, now); }
  /// Whether this node answers others: it has a source, or lost it less than orphanGracePeriod ago.
  bool serves(MonotonicTime now) const;
  /// Rejects other nodes from now on.
  void stop() { stopped_ = true; }

  RelayRole role() const { return role_; }
  /// The parent, if this node is a child.
  std::optional<Endpoint> parent() const;
  /// The other roots, if this node is a root.
  std::vector<Relay> otherRoots() const;
  /// The roots of the list that the tree follows, including this node if it is one.
  const std::vector<Relay>& roots() const { return roots_.relays; }
  /// The roots of the newest list that this node has received, including this node if it is one.
  const std::vector<Relay>& newestRoots() const { return newest_.relays; }
  std::size_t children(MonotonicTime now) const { return children_.size(now); }
  std::vector<Endpoint> childEndpoints(MonotonicTime now) const { return children_.endpoints(now); }
  /// Keeps a root confirmed by readings of the list as long as this is called at least once every
  /// kConfirmTerm.
  void keepConfirmed(MonotonicTime now) { confirmUntil_ = now + kConfirmTerm; }
  /// Whether this node is a root and no other node can be granting in its place.
  bool mayGrant(MonotonicTime now, MonotonicTime provenAt) const;
  /// When all roots follow the newest list, as far as this node knows.
  MonotonicTime settledAt() const { return settledAt_; }
  /// Number of nodes between this one and the store.
  std::uint32_t depth() const { return depth_; }

  static constexpr Milliseconds kConfirmTerm{3000};

 private:
  /// Failures of a relay that does not answer or does not serve.
  struct Failure {
    MonotonicTime first{};
    MonotonicTime last{};
    /// How long the relay must have failed to be considered dead.
    Milliseconds gracePeriod{0};
  };

  RelayAction search(MonotonicTime now);
  RelayAction followParent(MonotonicTime now, MonotonicTime provenAt);
  RelayAction serveAsRoot(MonotonicTime now, MonotonicTime provenAt);
  /// Whether the process has made no step for longer than proofAge.
  bool isStalled(MonotonicTime now) const;
  /// When the list is to be read next to confirm this root.
  MonotonicTime confirmAt(MonotonicTime now, MonotonicTime provenAt) const;
  /// Asks one of the relays whether its view is newer.
  std::optional<RelayAction> probeForNewerView(const std::vector<Relay>& others, MonotonicTime now);
  RelayAction readList(MonotonicTime now);
  RelayAction ask(const Relay& relay, bool probeOnly, MonotonicTime now);

  /// @param firstList whether this is the first list that the process has read.
  void onListWhileSearching(bool firstList, MonotonicTime now);
  void onListAsChild(MonotonicTime now, MonotonicTime provenAt);
  void onListAsRoot(MonotonicTime now);
  void onStoreUnavailable(MonotonicTime now);
  void onReplyWhileSearching(const Relay& relay, const JoinReply& reply, MonotonicTime now);
  void onParentReply(const JoinReply& reply, MonotonicTime now);
  /// Records what the parent says about this node's position and the list of roots.
  void updatePosition(const JoinReply& reply, MonotonicTime now);
  void onProbeReply(const Relay& relay, const JoinReply& reply, MonotonicTime now,
                    MonotonicTime provenAt);
  void onNoReply(const RelayAction& asked, MonotonicTime now);

  /// @param grantsFrom when the nodes that this root replaces have stopped granting.
  void becomeRoot(MonotonicTime now, MonotonicTime grantsFrom);
  /// Replaces the list that the tree follows.
  void replaceRoots(RelayList list, MonotonicTime now);
  /// Records the newest known list and the nodes that have to be notified of it.
  void recordNewest(const RelayList& list, MonotonicTime now);
  /// Ends the wait for acknowledgements once all nodes concerned have acknowledged.
  void markSettled(MonotonicTime now);
  void becomeChild(const Relay& parent, const JoinReply& reply, MonotonicTime now);
  /// Looks for a parent, first among `candidates`.
  void beginSearch(std::vector<Relay> candidates, MonotonicTime now);
  /// Asks the roots and the alternatives once more without reading the list again.
  bool beginNextRound(MonotonicTime now);
  /// Whether roots are known and all of them are dead.
  bool allRootsDead(MonotonicTime now) const;
  /// The list of roots without the dead ones.
  RelayList rootsWithoutDead(MonotonicTime now) const;
  /// Adds this node to the list in place of the dead roots.
  void claim(MonotonicTime now);
  /// If this node is the first live root of the list, appoints one of its children as a missing
  /// root.
  void appointRoot(MonotonicTime now);
  void recordFailure(const Endpoint& relay, Milliseconds gracePeriod, MonotonicTime now);
  /// Whether the relay has failed for at least its grace period.
  bool isDead(const Endpoint& relay, MonotonicTime now) const;
  /// Whether the view is older than `bound`, counted from when this node got its position at the
  /// earliest.
  bool isStale(MonotonicTime now, MonotonicTime provenAt, Milliseconds bound) const;
  /// Fallbacks for a child in case this node fails: this node's parent and roots, never another
  /// child. Siblings that lose their parent together would otherwise follow each other in a cycle.
  std::vector<Relay> alternativesFor(const Endpoint& asking) const;
  bool isListed() const { return roots_.contains(settings_.endpoint); }
  /// Whether the relay is a root, as far as this node knows.
  bool isKnownRoot(const Endpoint& relay) const {
    return roots_.contains(relay) || staleList_.contains(relay);
  }
  Milliseconds randomDelay(Milliseconds longest);
  /// Random delay, longer the more nodes are likely to compete for a root's place.
  Milliseconds contentionDelay();
  Relay self() const { return {settings_.endpoint, settings_.zone}; }

  RelaySettings settings_;
  std::mt19937_64 random_;
  /// Whether a list that may be old has been read since the start, and that list.
  bool staleListRead_ = false;
  RelayList staleList_;
  RelayRole role_ = RelayRole::kSearching;
  bool stopped_ = false;
  ChildTable children_;

  /// As last read or written, or as received from the parent.
  RelayList roots_;
  /// The newest list received in any way; granting depends on this one.
  RelayList newest_;
  /// The list to write next.
  std::optional<RelayList> pendingList_;
  MonotonicTime nextListRead_{};
  /// When the list was last requested, and when it was requested the last time that it named this
  /// node.
  MonotonicTime listAskedAt_{};
  MonotonicTime confirmedAt_{};
  MonotonicTime confirmUntil_{};
  /// When another node last replied or called.
  MonotonicTime contactAt_{};
  MonotonicTime lastStepAt_{};
  MonotonicTime runningSince_{};
  MonotonicTime grantsFrom_{};
  MonotonicTime settledAt_{};
  /// Roots of the current and the previous list that have not acknowledged the newest list.
  std::deque<Relay> unnotified_;
  MonotonicTime nextAnnounceAt_{};
  MonotonicTime nextReview_{};
  unsigned storeFailures_ = 0;
  /// Revision of the list at which all its roots were found dead. They are asked once more before
  /// one is replaced.
  std::optional<store::Revision> deadRevision_;

  Relay parent_;
  std::uint32_t depth_ = 0;
  /// Number of children of the parent, including this node; 0 if no parent was followed yet.
  std::uint32_t siblings_ = 0;
  /// Fallbacks for when the parent fails.
  std::vector<Relay> alternatives_;
  MonotonicTime nextHeartbeat_{};
  unsigned missedHeartbeats_ = 0;
  MonotonicTime nextProbe_{};
  std::size_t probeCount_ = 0;
  /// When this node got its current position.
  MonotonicTime attachedAt_{};
  /// When the parent was lost; nothing if there never was one.
  std::optional<MonotonicTime> orphanedAt_;
  /// For the child of a root with a stale view: when to read the list, and when the store was found
  /// to be reachable.
  std::optional<MonotonicTime> staleListReadAt_;
  std::optional<MonotonicTime> storeReachableAt_;

  std::deque<Relay> candidates_;
  /// Relays that would accept this node but have a stale view. Used if no relay has a newer one.
  std::vector<Relay> staleCandidates_;
  bool acceptsStale_ = false;
  /// Relays asked in this round.
  std::set<Endpoint> askedThisRound_;
  MonotonicTime pauseUntil_{};
  unsigned rounds_ = 0;
  /// Whether asking the same relays again may succeed: one was full, or a root was not ready.
  bool retryRound_ = false;
  /// When the last join request or announcement was sent.
  MonotonicTime requestSentAt_{};
  std::map<Endpoint, Failure> failures_;
};

}  // namespace calicodrift::relay
