#include "claims/view_agent.h"

#include <algorithm>

#include "peer/transport.h"

namespace calicodrift::claims {
namespace {

/// Confirmations must fit in one datagram. Once the limit is reached no more are given, because
/// none may be dropped.
constexpr std::size_t kMaxConfirmations = 16;
constexpr Milliseconds kEvaluationInterval{100};
constexpr Milliseconds kFirstViewDelay{1000};
/// A node that still needs to join this long after it adopted its view sends join requests less
/// often.
constexpr Milliseconds kFastJoinPeriod{3000};
constexpr int kSlowJoinFactor = 10;
constexpr int kSlowStoreFactor = 5;

bool contains(const ReplicaSet& set, const std::vector<ViewMember>& members, const NodeId& node) {
  return std::any_of(set.begin(), set.end(),
                     [&](std::size_t index) { return members[index].id == node; });
}

/// Drops the last members of a view that would not fit in one message.
void truncateToPayloadLimit(ClaimView& view) {
  constexpr std::size_t kMessageOverhead = 64;
  while (view.members.size() > 1 &&
         peer::encode(view).size() + kMessageOverhead > peer::kMaxPayloadBytes) {
    view.members.pop_back();
  }
}

}  // namespace

ViewAgent::ViewAgent(const ClaimSettings& settings, const peer::PeerDirectory& directory,
                     ViewStore& store, Sender sender, VoteHistoryStarted voteHistoryStarted,
                     ClockReading started)
    : settings_(settings),
      started_(started),
      incarnation_(started.wall),
      directory_(directory),
      store_(store),
      sender_(std::move(sender)),
      voteHistoryStarted_(std::move(voteHistoryStarted)) {}

ViewAgent::~ViewAgent() {
  *alive_ = false;
}

void ViewAgent::tick(ClockReading now) {
  now_ = now;
  if (!lastEvaluation_ || now.monotonic - *lastEvaluation_ >= kEvaluationInterval) {
    lastEvaluation_ = now.monotonic;
    evaluateMembership(now);
  }
  if (view_.epoch == Epoch()) {
    requestView(now);
  } else if (needsJoin()) {
    sendJoinRequests(now);
    startVoting(now);
  }
  accessStore(now);
}

void ViewAgent::observeEpoch(const Endpoint& from, Epoch epoch) {
  if (epoch > view_.epoch) {
    sender_(from, ViewRequest{view_.epoch});
  }
}

void ViewAgent::handle(const Endpoint& from, const ViewRequest& request) {
  if (view_.epoch > request.known) {
    sender_(from, ViewNotice{view_});
  }
}

void ViewAgent::handle(const Endpoint& /*from*/, const ViewNotice& notice, ClockReading now) {
  adopt(notice.view, now);
}

void ViewAgent::handle(const Endpoint& from, const JoinRequest& request, ClockReading now) {
  observeEpoch(from, request.epoch);
  // A node that replies has been running for longer than the maximum clock difference. Any later
  // incarnation of the same node, on any machine, starts at a later wall clock time and thus has a
  // greater incarnation number.
  if (now.monotonic - started_.monotonic <= settings_.maxClockSkew) {
    return;
  }
  JoinReply reply;
  reply.epoch = view_.epoch;
  reply.node = directory_.self().id;
  reply.incarnation = incarnation_;
  reply.requesterIncarnation = request.incarnation;
  reply.established = view_.established;
  const bool sameEpoch = request.epoch == view_.epoch;
  if (!request.needsConfirmation || (sameEpoch && confirmIncarnation(request))) {
    reply.voterGroups = votingGroups_.to_ullong();
  }
  reply.confirmed.assign(confirmed_.begin(), confirmed_.end());
  sender_(from, reply);
}

bool ViewAgent::confirmIncarnation(const JoinRequest& request) {
  const auto latest = latestConfirmed_.find(request.node);
  const bool superseded = latest != latestConfirmed_.end() && latest->second > request.incarnation;
  const bool room = confirmed_.contains(request.node) || confirmed_.size() < kMaxConfirmations;
  if (votingGroups_.none() || superseded || !room) {
    return false;
  }
  confirmed_[request.node] = request.incarnation;
  recordConfirmation(request.node, request.incarnation);
  return true;
}

void ViewAgent::recordConfirmation(const NodeId& node, Incarnation incarnation) {
  Incarnation& latest = latestConfirmed_[node];
  latest = std::max(latest, incarnation);
}

void ViewAgent::handle(const Endpoint& from, const JoinReply& reply, ClockReading now) {
  if (reply.requesterIncarnation != incarnation_) {
    return;
  }
  observeEpoch(from, reply.epoch);
  for (const auto& [node, incarnation] : reply.confirmed) {
    recordConfirmation(node, incarnation);
  }
  lastReplyAt_[reply.node] = now.monotonic;
  JoinReply& known = replies_[reply.node];
  const bool newer =
      std::pair(reply.incarnation, reply.epoch) >= std::pair(known.incarnation, known.epoch);
  if (newer) {
    known = reply;
  }
  if (reply.established && reply.epoch == view_.epoch) {
    view_.established = true;
  }
  startVoting(now);
}

void ViewAgent::adopt(const ClaimView& view, ClockReading now) {
  if (view.epoch == view_.epoch && view.established) {
    view_.established = true;
    startVoting(now);
  }
  if (view.epoch <= view_.epoch) {
    return;
  }
  const auto nextSets = replicaSetsOf(view.members);
  const bool successor = view_.epoch != Epoch() && view.epoch.value() == view_.epoch.value() + 1;
  if (successor) {
    carryVotesOver(view, nextSets);
  } else {
    votingGroups_.reset();
  }
  view_ = view;
  sets_ = nextSets;
  previousSets_ = replicaSetsOf(view.previousMembers);
  adoptedAt_ = now.monotonic;
  lastJoinRequest_.reset();
  lastEvaluation_.reset();
  startVoting(now);
}

void ViewAgent::carryVotesOver(const ClaimView& next,
                               const std::array<ReplicaSet, kGroupCount>& nextSets) {
  const NodeId& self = directory_.self().id;
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    const bool stays = contains(nextSets[group], next.members, self);
    const bool majorityShrinks =
        majorityOf(nextSets[group].size()) < majorityOf(sets_[group].size());
    if (!stays || majorityShrinks) {
      votingGroups_.reset(group);
    }
  }
}

bool ViewAgent::needsJoin() const {
  if (view_.epoch == Epoch()) {
    return false;
  }
  const bool member = selfIndex().has_value();
  if (coordinator_ && proposedMembers_ != view_.members) {
    // Asks the members that would be dropped whether they are still alive.
    return true;
  }
  if (!view_.established) {
    return member || coordinator_;
  }
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    if (selfReplicates(group) && !votingGroups_.test(group)) {
      return true;
    }
  }
  return false;
}

void ViewAgent::requestView(ClockReading now) {
  if (lastJoinRequest_ && now.monotonic - *lastJoinRequest_ < settings_.joinInterval) {
    return;
  }
  lastJoinRequest_ = now.monotonic;
  const std::vector<peer::PeerInfo> alive = directory_.alivePeers();
  if (!alive.empty()) {
    sender_(alive[viewRequestCount_++ % alive.size()].endpoint, ViewRequest{view_.epoch});
  }
}

void ViewAgent::sendJoinRequests(ClockReading now) {
  const bool fast =
      now.monotonic - adoptedAt_ < kFastJoinPeriod || proposedMembers_ != view_.members;
  const Milliseconds interval = settings_.joinInterval * (fast ? 1 : kSlowJoinFactor);
  if (lastJoinRequest_ && now.monotonic - *lastJoinRequest_ < interval) {
    return;
  }
  lastJoinRequest_ = now.monotonic;
  const peer::PeerInfo& self = directory_.self();
  for (const ViewMember& member : membersOfBothViews()) {
    if (member.id != self.id) {
      sender_(endpointOf(member), JoinRequest{view_.epoch, self.id, incarnation_, !storeRead_});
    }
  }
}

void ViewAgent::startVoting(ClockReading now) {
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    if (!votingGroups_.test(group) && selfReplicates(group) && previousEpochSealed(group) &&
        currentEpochProved(group)) {
      votingGroups_.set(group);
      voteHistoryStarted_(group, now);
    }
  }
}

bool ViewAgent::previousEpochSealed(std::size_t group) const {
  const ReplicaSet& replicas = previousSets_[group];
  if (!settings_.rules.sealPreviousEpoch || view_.established || replicas.empty()) {
    return true;
  }
  const auto left = std::count_if(replicas.begin(), replicas.end(), [this](std::size_t index) {
    return leftPreviousEpoch(view_.previousMembers[index]);
  });
  return static_cast<std::size_t>(left) >= majorityOf(replicas.size());
}

bool ViewAgent::leftPreviousEpoch(const ViewMember& member) const {
  if (isSelf(member)) {
    return true;
  }
  const auto reply = replies_.find(member.id);
  return reply != replies_.end() && reply->second.epoch >= view_.epoch &&
         !isReplyInvalidated(reply->second);
}

bool ViewAgent::currentEpochProved(std::size_t group) const {
  if (storeRead_ || !settings_.rules.proveCurrentEpoch) {
    return true;
  }
  const ReplicaSet& replicas = sets_[group];
  const auto confirmations =
      std::count_if(replicas.begin(), replicas.end(), [&](std::size_t index) {
        const ViewMember& member = view_.members[index];
        return !isSelf(member) && isKnownVoter(member, group);
      });
  // Enough that the remaining replicas plus this node cannot form a majority that has left the
  // epoch.
  const std::size_t needed = replicas.size() - majorityOf(replicas.size()) + 1;
  return static_cast<std::size_t>(confirmations) >= needed;
}

bool ViewAgent::isKnownVoter(const ViewMember& member, std::size_t group) const {
  if (isSelf(member)) {
    return votingGroups_.test(group);
  }
  const auto found = replies_.find(member.id);
  if (found == replies_.end() || isReplyInvalidated(found->second)) {
    return false;
  }
  const std::bitset<kGroupCount> groups(found->second.voterGroups);
  return found->second.epoch == view_.epoch && groups.test(group);
}

bool ViewAgent::isReplyInvalidated(const JoinReply& reply) const {
  const auto confirmed = latestConfirmed_.find(reply.node);
  return confirmed != latestConfirmed_.end() && confirmed->second > reply.incarnation;
}

bool ViewAgent::everyGroupHasVotingMajority() const {
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    const ReplicaSet& replicas = sets_[group];
    const auto voters = std::count_if(replicas.begin(), replicas.end(), [&](std::size_t index) {
      return isKnownVoter(view_.members[index], group);
    });
    if (static_cast<std::size_t>(voters) < majorityOf(replicas.size())) {
      return false;
    }
  }
  return true;
}

std::vector<peer::PeerInfo> ViewAgent::aliveNodes(ClockReading now) const {
  std::map<NodeId, peer::PeerInfo> alive;
  for (const ViewMember& member : view_.members) {
    const auto lastReply = lastReplyAt_.find(member.id);
    const bool answers = lastReply != lastReplyAt_.end() &&
                         now.monotonic - lastReply->second < settings_.viewChangeDelay;
    if (answers) {
      alive[member.id] = {member.id, Incarnation(), member.zone, RegionId(), member.endpoint};
    }
  }
  std::vector<peer::PeerInfo> peers = directory_.alivePeers();
  peers.push_back(directory_.self());
  for (const peer::PeerInfo& peer : peers) {
    peer::PeerInfo& known = alive[peer.id];
    if (peer.incarnation >= known.incarnation) {
      known = peer;
    }
  }
  std::vector<peer::PeerInfo> nodes;
  nodes.reserve(alive.size());
  for (const auto& entry : alive) {
    nodes.push_back(entry.second);
  }
  return nodes;
}

void ViewAgent::evaluateMembership(ClockReading now) {
  const std::vector<peer::PeerInfo> alive = aliveNodes(now);
  const std::vector<ViewMember> known = membersOfBothViews();
  endpoints_.clear();
  coordinator_ = true;
  for (const peer::PeerInfo& node : alive) {
    coordinator_ = coordinator_ && directory_.self().id <= node.id;
    const bool inView = std::any_of(known.begin(), known.end(), [&node](const ViewMember& member) {
      return member.id == node.id;
    });
    if (inView) {
      endpoints_[node.id] = node.endpoint;
    }
  }
  ClaimView next{Epoch(), false, chooseMembers(alive, view_.members), view_.members};
  truncateToPayloadLimit(next);
  std::vector<ViewMember>& proposed = next.members;
  if (proposed != proposedMembers_ || proposed == view_.members) {
    proposedMembers_ = std::move(proposed);
    proposedSince_ = now.monotonic;
  }
}

bool ViewAgent::newViewDue() const {
  const bool first = view_.epoch == Epoch();
  const Milliseconds delay =
      first ? std::min(kFirstViewDelay, settings_.viewChangeDelay) : settings_.viewChangeDelay;
  return coordinator_ && proposedMembers_ != view_.members &&
         now_.monotonic - proposedSince_ >= delay;
}

void ViewAgent::accessStore(ClockReading now) {
  const bool first = view_.epoch == Epoch();
  const bool mustProve = !storeRead_ && (first || selfIndex().has_value());
  const bool mayEstablish =
      coordinator_ && !view_.established && !first && everyGroupHasVotingMajority();
  const bool mayReplace = newViewDue() && (first || view_.established);
  const bool urgent = mustProve || mayEstablish || mayReplace;
  const Milliseconds interval = settings_.storeInterval * (urgent ? 1 : kSlowStoreFactor);
  const bool paused = lastStoreAccess_ && now.monotonic - *lastStoreAccess_ < interval;
  // An operator may have marked the view as established because replicas of the previous epoch are
  // lost.
  const bool mayBeMarkedEstablished = coordinator_ && !view_.established;
  if (storeBusy_ || paused || (!urgent && !first && !mayBeMarkedEstablished)) {
    return;
  }
  storeBusy_ = true;
  lastStoreAccess_ = now.monotonic;
  store_.read([this, alive = alive_](const Result<VersionedView>& read) {
    if (*alive) {
      storeBusy_ = false;
      onRead(read, now_);
    }
  });
}

void ViewAgent::onRead(const Result<VersionedView>& read, ClockReading now) {
  const bool noViewYet = !read && read.error().kind == ErrorKind::kNotFound;
  if (read || (noViewYet && view_.epoch == Epoch())) {
    storeRead_ = true;
  }
  if (read) {
    adopt(read.value().view, now);
  }
  startVoting(now);
  if (const std::optional<VersionedView> next = successorOf(read)) {
    write(*next);
  }
}

std::optional<VersionedView> ViewAgent::successorOf(const Result<VersionedView>& read) const {
  VersionedView next;
  if (!read) {
    const bool first = read.error().kind == ErrorKind::kNotFound && view_.epoch == Epoch();
    if (!first || !newViewDue()) {
      return std::nullopt;
    }
    next.view = ClaimView{Epoch(1), true, proposedMembers_, {}};
    return next;
  }
  next = read.value();
  if (next.view.epoch != view_.epoch) {
    return std::nullopt;
  }
  if (!next.view.established) {
    next.view.established = true;
    return coordinator_ && everyGroupHasVotingMajority() ? std::optional(next) : std::nullopt;
  }
  if (!newViewDue()) {
    return std::nullopt;
  }
  next.view = ClaimView{Epoch(view_.epoch.value() + 1), false, proposedMembers_, view_.members};
  return next;
}

void ViewAgent::write(const VersionedView& next) {
  storeBusy_ = true;
  store_.write(next, [this, alive = alive_] {
    if (*alive) {
      // The next read shows whether the write took effect.
      storeBusy_ = false;
    }
  });
}

Endpoint ViewAgent::endpointOf(const ViewMember& member) const {
  const auto found = endpoints_.find(member.id);
  return found == endpoints_.end() ? member.endpoint : found->second;
}

bool ViewAgent::isSelf(const ViewMember& member) const {
  return member.id == directory_.self().id;
}

std::optional<std::size_t> ViewAgent::selfIndex() const {
  for (std::size_t index = 0; index < view_.members.size(); ++index) {
    if (isSelf(view_.members[index])) {
      return index;
    }
  }
  return std::nullopt;
}

bool ViewAgent::selfReplicates(std::size_t group) const {
  return contains(sets_[group], view_.members, directory_.self().id);
}

std::vector<ViewMember> ViewAgent::membersOfBothViews() const {
  std::vector<ViewMember> all = view_.members;
  for (const ViewMember& member : view_.previousMembers) {
    const bool known = std::any_of(all.begin(), all.end(), [&member](const ViewMember& other) {
      return other.id == member.id;
    });
    if (!known) {
      all.push_back(member);
    }
  }
  return all;
}

}  // namespace calicodrift::claims
