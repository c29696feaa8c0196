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
  /// Has no way to the store's state yet, or has lost it.
  kSearching,
  /// Reads what its parent knows.
  kChild,
  /// Reads the store itself.
  kRoot,
};

enum class RelayStep { kWait, kReadList, kWriteList, kAsk, kTellRoots };

/// What the driver of a RelayCore is to do next.
struct RelayAction {
  RelayStep step = RelayStep::kWait;
  /// kWait: nothing is due before.
  MonotonicTime until{};
  /// kAsk, kTellRoots: whom.
  Relay relay;
  /// kAsk: without becoming its child.
  bool looksOnly = false;
  /// kWriteList: what to write on the condition of its revision. kTellRoots: the newest list.
  RelayList list;
};

/// A node's place in the tree of its group, as a state machine without I/O: it says what to do
/// next, and is told what came of it.
///
/// The store is asked for the list of roots once at a start, and again only when nobody that the
/// node knows answers: a full relay names its children, and a parent names whom to go to when it
/// fails. A list without a usable root is claimed by whoever reads it; a root makes one of its
/// children the second one, and replaces one that is silent, so that no crowd claims.
///
/// A child leaves a parent that is silent or serves nobody, never one that merely has not heard
/// from the store: the age of a view is told with it, and the roots and their children look for
/// newer ones.
///
/// Some things only the listed roots may do, such as handing out parts of a limit: see mayGrant().
/// Invariant: no more nodes grant than the list names. It holds because a root grants only for
/// RelaySettings::tenure after it has last read that it is listed, and a new root only begins when
/// the others of the list and of the one before have said that they know, or that time has passed.
/// A root that cannot read the store goes on while other nodes reach it, as whoever replaces it
/// tells it.
class RelayCore {
 public:
  RelayCore(RelaySettings settings, std::uint64_t seed);

  /// @param provenAt when this node's whole view of the store was the newest for certain.
  RelayAction next(MonotonicTime now, MonotonicTime provenAt);
  void onList(const Result<RelayList>& list, MonotonicTime now, MonotonicTime provenAt);
  /// @param written the list's new revision; nothing where it is not known to be written.
  void onListWritten(const std::optional<store::Revision>& written, MonotonicTime now);
  void onReply(const RelayAction& asked, const Result<JoinReply>& reply, MonotonicTime now,
               MonotonicTime provenAt);
  /// @param acknowledged whether the root knows the list, or its process is gone.
  void onRootsTold(const RelayAction& told, bool acknowledged, MonotonicTime now);
  /// Another node has told the list of roots. Gives the newest one that this node knows.
  const RelayList& learnRoots(const RelayList& list, MonotonicTime now);
  /// A view could not be read from the parent: it is asked whether it still serves.
  void onViewFailed(const Endpoint& relay, MonotonicTime now);
  /// Answers another node's question for a place.
  JoinReply answer(const JoinRequest& request, MonotonicTime now, MonotonicTime provenAt);
  /// Whether the node is a child, which its question for a view renews.
  bool renewChild(const NodeId& node, MonotonicTime now) { return children_.renew(node, now); }
  /// Whether this node answers others: it has a place, or lost it a moment ago.
  bool serves(MonotonicTime now) const;
  /// From now on others are sent away.
  void stop() { stopped_ = true; }

  RelayRole role() const { return role_; }
  /// As a child: whom it follows.
  std::optional<Endpoint> parent() const;
  /// As a root: the other ones.
  std::vector<Relay> otherRoots() const;
  /// The roots of the tree as last heard, this node too where it is one.
  const std::vector<Relay>& roots() const { return roots_.relays; }
  /// The roots of the newest list that this node was told of, this node too where it is one.
  const std::vector<Relay>& newestRoots() const { return newest_.relays; }
  std::size_t children(MonotonicTime now) const { return children_.size(now); }
  std::vector<Endpoint> childEndpoints(MonotonicTime now) const { return children_.endpoints(now); }
  /// Keeps the place of a root confirmed by readings of the list, for as long as this is called
  /// every kConfirmTerm at least.
  void keepConfirmed(MonotonicTime now) { confirmUntil_ = now + kConfirmTerm; }
  /// Whether this node is a root and no other node is one in its place.
  bool mayGrant(MonotonicTime now, MonotonicTime provenAt) const;
  /// When all roots go by the newest list, as far as this node knows.
  MonotonicTime settledAt() const { return settledAt_; }
  /// Nodes between this one and the store.
  std::uint32_t depth() const { return depth_; }

  static constexpr Milliseconds kConfirmTerm{3000};

 private:
  /// A relay that does not answer, or does not serve.
  struct Failure {
    MonotonicTime first{};
    MonotonicTime last{};
    /// It counts as dead when it has failed for so long.
    Milliseconds patience{0};
  };

  RelayAction search(MonotonicTime now);
  RelayAction followParent(MonotonicTime now, MonotonicTime provenAt);
  RelayAction serveAsRoot(MonotonicTime now, MonotonicTime provenAt);
  /// Whether the process has not come to its next step for long.
  bool stoodStill(MonotonicTime now) const;
  /// When the place is to be confirmed next.
  MonotonicTime confirmAt(MonotonicTime now, MonotonicTime provenAt) const;
  /// Asks one of the others whether its view is newer.
  std::optional<RelayAction> lookAround(const std::vector<Relay>& others, MonotonicTime now);
  RelayAction readList(MonotonicTime now);
  RelayAction ask(const Relay& relay, bool looksOnly, MonotonicTime now);

  /// @param firstList whether this process had read none before.
  void onListWhileSearching(bool firstList, MonotonicTime now);
  void onListAsChild(MonotonicTime now, MonotonicTime provenAt);
  void onListAsRoot(MonotonicTime now);
  void onStoreSilent(MonotonicTime now);
  void onReplyWhileSearching(const Relay& relay, const JoinReply& reply, MonotonicTime now);
  void onParentReply(const JoinReply& reply, MonotonicTime now);
  /// What the parent says of this node's place, and the newest list of roots that was heard of.
  void learnPlace(const JoinReply& reply, MonotonicTime now);
  void onLook(const Relay& relay, const JoinReply& reply, MonotonicTime now,
              MonotonicTime provenAt);
  void onSilence(const RelayAction& asked, MonotonicTime now);

  /// @param grantsFrom nodes whose place it takes have stopped granting by then.
  void becomeRoot(MonotonicTime now, MonotonicTime grantsFrom);
  /// Replaces the list that the tree goes by.
  void replaceRoots(RelayList list, MonotonicTime now);
  /// The newest list that is known; notes who must hear of it.
  void noteNewest(const RelayList& list, MonotonicTime now);
  /// All that were concerned know: nothing more is waited for.
  void endUnsettled(MonotonicTime now);
  void becomeChild(const Relay& parent, const JoinReply& reply, MonotonicTime now);
  /// Looks for a parent, first among `candidates`.
  void beginSearch(std::vector<Relay> candidates, MonotonicTime now);
  /// Asks the roots and the others once more, without another look at the list.
  bool beginNextRound(MonotonicTime now);
  /// Whether roots are known and none of them answers.
  bool allRootsDead(MonotonicTime now) const;
  /// The list of roots without those that don't answer.
  RelayList rootsWithoutDead(MonotonicTime now) const;
  /// Adds this node to the list in place of those that are dead.
  void claim(MonotonicTime now);
  /// As the first live root of the list: fills it up with a child of this node.
  void completeRoots(MonotonicTime now);
  void noteFailure(const Endpoint& relay, Milliseconds patience, MonotonicTime now);
  /// Whether the relay has failed for as long as is waited for it.
  bool isDead(const Endpoint& relay, MonotonicTime now) const;
  /// Whether the view has grown old since this node got its place.
  bool isStale(MonotonicTime now, MonotonicTime provenAt, Milliseconds bound) const;
  /// Whom a child is to go to should this node fail: its parent and roots, never another child.
  /// Siblings that lose their parent together would follow each other, in a circle.
  std::vector<Relay> placesAfterThis(const Endpoint& asking) const;
  bool isListed() const { return roots_.contains(settings_.endpoint); }
  Milliseconds randomDelay(Milliseconds longest);
  /// Random, and longer the more nodes are likely to look for a root now.
  Milliseconds crowdDelay();
  Relay self() const { return {settings_.endpoint, settings_.zone}; }

  RelaySettings settings_;
  std::mt19937_64 random_;
  RelayRole role_ = RelayRole::kSearching;
  bool stopped_ = false;
  ChildTable children_;

  /// As last read or written, or as the parent told it.
  RelayList roots_;
  /// As last heard in any way; who may grant goes by it.
  RelayList newest_;
  /// To be written next.
  std::optional<RelayList> pendingList_;
  MonotonicTime nextListRead_{};
  /// When the list was last asked for, and when so that it named this node.
  MonotonicTime listAskedAt_{};
  MonotonicTime confirmedAt_{};
  MonotonicTime confirmUntil_{};
  /// When another node last answered or asked.
  MonotonicTime contactAt_{};
  MonotonicTime steppedAt_{};
  MonotonicTime awakeSince_{};
  MonotonicTime grantsFrom_{};
  MonotonicTime settledAt_{};
  /// Roots of the list and of the one before, not known to know it.
  std::deque<Relay> untold_;
  MonotonicTime nextTell_{};
  MonotonicTime nextReview_{};
  unsigned storeFailures_ = 0;
  /// The list's revision at which all its roots were found dead; they are asked once more before
  /// one is replaced.
  std::optional<store::Revision> deadRevision_;

  Relay parent_;
  std::uint32_t depth_ = 0;
  /// Children of the parent, with this node; 0 where none was followed yet.
  std::uint32_t siblings_ = 0;
  /// Whom to go to if the parent fails.
  std::vector<Relay> others_;
  MonotonicTime nextHeartbeat_{};
  unsigned missedHeartbeats_ = 0;
  MonotonicTime nextLook_{};
  std::size_t looks_ = 0;
  /// When this node got its place.
  MonotonicTime attachedAt_{};
  /// When it lost its parent; nothing where it never had one.
  std::optional<MonotonicTime> orphanSince_;
  /// As the child of a root with an old view: when it was to look at the store itself, and when it
  /// found that it can read it.
  std::optional<MonotonicTime> staleLookAt_;
  std::optional<MonotonicTime> storeSeenAt_;

  std::deque<Relay> candidates_;
  /// Would take this node, but have an old view themselves: taken where nobody has a newer one.
  std::vector<Relay> oldRelays_;
  bool acceptsOld_ = false;
  /// Asked in this round.
  std::set<Endpoint> asked_;
  MonotonicTime pauseUntil_{};
  unsigned rounds_ = 0;
  /// Whether asking the same relays again may help: one was full, or a root was not ready.
  bool roundHasHope_ = false;
  /// When the last question was asked.
  MonotonicTime askedAt_{};
  std::map<Endpoint, Failure> failures_;
};

}  // namespace calicodrift::relay
