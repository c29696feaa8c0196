#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace calicodrift::relay {
namespace {

/// A connection is refused for a moment while a node restarts.
constexpr Milliseconds kRefusalPatience{600};
/// A relay that says nothing is asked twice, as its machine may just be starting.
constexpr Milliseconds kSilencePatience{200};
/// A relay that answers without a place looks for one itself.
constexpr Milliseconds kSearchPatience{2000};
constexpr unsigned kMostMissedHeartbeats = 2;
/// Rounds over the known relays before the list is read again.
constexpr unsigned kMostRounds = 5;
/// Relays named to a node that is turned away.
constexpr std::size_t kMostPlaces = 6;
/// Children that a root with an old view asks in one round.
constexpr std::size_t kMostChildrenAsked = 3;
/// What a parent hands on of those that its own parent named.
constexpr std::size_t kMostHandedOn = 2;
/// A view must be newer by this share of the age at which a view is old to be worth a change of
/// parent.
constexpr int kWorthwhileShare = 4;
constexpr unsigned kMostDoublings = 6;

void addOnce(std::vector<Relay>& relays, const Relay& relay, const Endpoint& except) {
  const bool known = std::find(relays.begin(), relays.end(), relay) != relays.end();
  if (!known && relay.endpoint != except) {
    relays.push_back(relay);
  }
}

}  // namespace

RelayCore::RelayCore(RelaySettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      children_(settings_.maxFollowers, settings_.followerTerm) {}

RelayAction RelayCore::next(MonotonicTime now, MonotonicTime provenAt) {
  if (pauseUntil_ == MonotonicTime{}) {
    pauseUntil_ = now + randomDelay(settings_.startDelay);
  }
  if (now < pauseUntil_) {
    return {RelayStep::kWait, pauseUntil_, {}, false, {}};
  }
  if (pendingList_) {
    return {RelayStep::kWriteList, {}, {}, false, *pendingList_};
  }
  switch (role_) {
    case RelayRole::kSearching:
      return search(now);
    case RelayRole::kChild:
      return followParent(now, provenAt);
    case RelayRole::kRoot:
      break;
  }
  return serveAsRoot(now, provenAt);
}

RelayAction RelayCore::search(MonotonicTime now) {
  while (!candidates_.empty()) {
    const Relay relay = candidates_.front();
    candidates_.pop_front();
    const bool usable = relay.endpoint != settings_.endpoint && !isDead(relay.endpoint, now);
    if (usable && asked_.insert(relay.endpoint).second) {
      return ask(relay, false, now);
    }
  }
  if (!oldRelays_.empty()) {
    // Nobody has a newer view.
    candidates_.assign(oldRelays_.begin(), oldRelays_.end());
    oldRelays_.clear();
    asked_.clear();
    acceptsOld_ = true;
    return search(now);
  }
  if (std::exchange(roundHasHope_, false) && beginNextRound(now)) {
    return {RelayStep::kWait, pauseUntil_, {}, false, {}};
  }
  if (allRootsDead(now) && deadRevision_ != roots_.revision) {
    // One of the many that find this out replaces a root, and the others read of it.
    deadRevision_ = roots_.revision;
    nextListRead_ = now + crowdDelay();
  }
  if (now < nextListRead_) {
    return {RelayStep::kWait, nextListRead_, {}, false, {}};
  }
  return readList();
}

bool RelayCore::allRootsDead(MonotonicTime now) const {
  const std::vector<Relay>& roots = roots_.relays;
  return !roots.empty() && std::all_of(roots.begin(), roots.end(), [this, now](const Relay& root) {
    return isDead(root.endpoint, now);
  });
}

bool RelayCore::beginNextRound(MonotonicTime now) {
  if (rounds_ >= kMostRounds) {
    return false;
  }
  std::vector<Relay> round = roots_.relays;
  for (const Relay& relay : others_) {
    addOnce(round, relay, settings_.endpoint);
  }
  std::erase_if(round, [this, now](const Relay& relay) {
    return relay.endpoint == settings_.endpoint || isDead(relay.endpoint, now);
  });
  if (round.empty()) {
    return false;
  }
  ++rounds_;
  shuffleByZone(round, settings_.zone, random_);
  candidates_.assign(round.begin(), round.end());
  asked_.clear();
  pauseUntil_ = now + settings_.joinRetry / 2 + randomDelay(settings_.joinRetry);
  return true;
}

RelayAction RelayCore::followParent(MonotonicTime now, MonotonicTime provenAt) {
  if (now >= nextHeartbeat_) {
    nextHeartbeat_ = now + settings_.heartbeatInterval;
    return ask(parent_, false, now);
  }
  if (isListed() && now >= nextReview_ && now >= nextListRead_) {
    return readList();
  }
  // The children of a root look out for all below them.
  const Milliseconds bound = settings_.proofAge + settings_.hopAge;
  if (depth_ > 1 || !isStale(now, provenAt, bound)) {
    staleLookAt_.reset();
    storeSeenAt_.reset();
    return {RelayStep::kWait, nextHeartbeat_, {}, false, {}};
  }
  if (const auto look = lookAround(others_, now)) {
    return *look;
  }
  if (!staleLookAt_) {
    staleLookAt_ = now + crowdDelay();
  }
  if (now >= *staleLookAt_ && now >= nextListRead_) {
    return readList();
  }
  const MonotonicTime nextRead = std::max(*staleLookAt_, nextListRead_);
  return {RelayStep::kWait, std::min({nextHeartbeat_, nextLook_, nextRead}), {}, false, {}};
}

RelayAction RelayCore::serveAsRoot(MonotonicTime now, MonotonicTime provenAt) {
  if (now >= nextReview_ && now >= nextListRead_) {
    return readList();
  }
  std::vector<Relay> others = otherRoots();
  if (isStale(now, provenAt, settings_.proofAge)) {
    // One of the children may have found a way to the store.
    for (const Relay& child :
         children_.some(kMostChildrenAsked, settings_.zone, settings_.endpoint, now, random_)) {
      addOnce(others, child, settings_.endpoint);
    }
  }
  if (const auto look = lookAround(others, now)) {
    return *look;
  }
  return {
      RelayStep::kWait, std::min(nextLook_, std::max(nextReview_, nextListRead_)), {}, false, {}};
}

std::optional<RelayAction> RelayCore::lookAround(const std::vector<Relay>& others,
                                                 MonotonicTime now) {
  if (now < nextLook_) {
    return std::nullopt;
  }
  nextLook_ = now + settings_.heartbeatInterval;
  if (others.empty()) {
    return std::nullopt;
  }
  return ask(others[looks_++ % others.size()], true, now);
}

RelayAction RelayCore::ask(const Relay& relay, bool looksOnly, MonotonicTime now) {
  askedAt_ = now;
  return {RelayStep::kAsk, {}, relay, looksOnly, {}};
}

RelayAction RelayCore::readList() {
  return {RelayStep::kReadList, {}, {}, false, {}};
}

void RelayCore::onList(const Result<RelayList>& list, MonotonicTime now, MonotonicTime provenAt) {
  if (!list) {
    onStoreSilent(now);
    return;
  }
  storeFailures_ = 0;
  roots_ = list.value();
  nextReview_ = now + settings_.reviewInterval;
  switch (role_) {
    case RelayRole::kSearching:
      onListWhileSearching(now);
      break;
    case RelayRole::kChild:
      onListAsChild(now, provenAt);
      break;
    case RelayRole::kRoot:
      onListAsRoot(now);
      break;
  }
}

void RelayCore::onStoreSilent(MonotonicTime now) {
  const Milliseconds pause =
      std::min(settings_.firstStorePause * (1U << std::min(storeFailures_, kMostDoublings)),
               settings_.longestStorePause);
  ++storeFailures_;
  nextListRead_ = now + pause / 2 + randomDelay(pause);
  rounds_ = 0;
}

void RelayCore::onListWhileSearching(MonotonicTime now) {
  if (isListed()) {
    becomeRoot(now);
    return;
  }
  std::vector<Relay> usable = roots_.relays;
  std::erase_if(usable, [this, now](const Relay& relay) { return isDead(relay.endpoint, now); });
  if (!usable.empty()) {
    shuffleByZone(usable, settings_.zone, random_);
    candidates_.assign(usable.begin(), usable.end());
    asked_.clear();
    rounds_ = 0;
    nextListRead_ = now + randomDelay(settings_.claimDelay);
    return;
  }
  if (roots_.relays.empty() || deadRevision_ == roots_.revision) {
    claim(now);
    return;
  }
  deadRevision_ = roots_.revision;
  nextListRead_ = now + crowdDelay();
}

void RelayCore::onListAsChild(MonotonicTime now, MonotonicTime provenAt) {
  if (isListed()) {
    becomeRoot(now);
    return;
  }
  if (!isStale(now, provenAt, settings_.proofAge)) {
    return;
  }
  if (!storeSeenAt_) {
    // The parent may be about to see the store again as well.
    storeSeenAt_ = now;
    nextListRead_ = now + settings_.hopAge;
    return;
  }
  if (roots_.contains(parent_.endpoint)) {
    RelayList list = roots_;
    std::erase(list.relays, parent_);
    list.relays.push_back(self());
    pendingList_ = std::move(list);
  } else {
    beginSearch(roots_.relays, now);
  }
}

void RelayCore::onListAsRoot(MonotonicTime now) {
  if (!isListed()) {
    beginSearch(roots_.relays, now);
    return;
  }
  const auto place = std::find(roots_.relays.begin(), roots_.relays.end(), self());
  const auto index = static_cast<std::size_t>(place - roots_.relays.begin());
  if (index >= settings_.leastRelays) {
    RelayList list = roots_;
    std::erase(list.relays, self());
    pendingList_ = std::move(list);
    return;
  }
  completeRoots(now);
}

void RelayCore::completeRoots(MonotonicTime now) {
  RelayList list = roots_;
  std::erase_if(list.relays,
                [this, now](const Relay& relay) { return isDead(relay.endpoint, now); });
  const bool first = !list.relays.empty() && list.relays.front() == self();
  if (!first || list.relays.size() >= settings_.leastRelays) {
    return;
  }
  const std::vector<Relay> successor =
      children_.some(1, settings_.zone, settings_.endpoint, now, random_);
  if (successor.empty()) {
    // Nobody has joined yet.
    nextReview_ = now + settings_.followerTerm;
    return;
  }
  list.relays.push_back(successor.front());
  pendingList_ = std::move(list);
}

void RelayCore::claim(MonotonicTime now) {
  RelayList list = roots_;
  std::erase_if(list.relays,
                [this, now](const Relay& relay) { return isDead(relay.endpoint, now); });
  list.relays.push_back(self());
  pendingList_ = std::move(list);
}

void RelayCore::onListWritten(const std::optional<store::Revision>& written, MonotonicTime now) {
  RelayList list = std::move(*pendingList_);
  pendingList_.reset();
  deadRevision_.reset();
  if (!written) {
    // Another node was first, or it is not known whether this one was: the list tells.
    nextListRead_ = now + randomDelay(settings_.joinRetry);
    nextReview_ = nextListRead_;
    return;
  }
  list.revision = *written;
  roots_ = std::move(list);
  if (!isListed()) {
    beginSearch(roots_.relays, now);
  } else if (role_ != RelayRole::kRoot) {
    becomeRoot(now);
  }
}

void RelayCore::onReply(const RelayAction& asked, const Result<JoinReply>& reply, MonotonicTime now,
                        MonotonicTime provenAt) {
  if (!reply) {
    onSilence(asked, now);
    return;
  }
  const bool serves = reply.value().outcome != JoinOutcome::kNotServing;
  if (serves) {
    failures_.erase(asked.relay.endpoint);
  } else {
    noteFailure(asked.relay.endpoint, kSearchPatience, now);
  }
  if (asked.looksOnly) {
    onLook(asked.relay, reply.value(), now, provenAt);
  } else if (role_ == RelayRole::kSearching) {
    onReplyWhileSearching(asked.relay, reply.value(), now);
  } else if (role_ == RelayRole::kChild && asked.relay == parent_) {
    onParentReply(reply.value(), now);
  }
}

void RelayCore::onReplyWhileSearching(const Relay& relay, const JoinReply& reply,
                                      MonotonicTime now) {
  if (reply.outcome == JoinOutcome::kAccepted) {
    const bool old = Milliseconds(reply.proofAgeMs) > settings_.freshAge;
    if (old && !acceptsOld_) {
      oldRelays_.push_back(relay);
    } else {
      becomeChild(relay, reply, now);
    }
    return;
  }
  const bool full = reply.outcome == JoinOutcome::kFull;
  if (full) {
    candidates_.insert(candidates_.begin(), reply.others.begin(), reply.others.end());
  }
  roundHasHope_ = roundHasHope_ || full || roots_.contains(relay.endpoint);
}

void RelayCore::onParentReply(const JoinReply& reply, MonotonicTime now) {
  missedHeartbeats_ = 0;
  if (reply.outcome != JoinOutcome::kAccepted) {
    std::vector<Relay> candidates = others_;
    candidates.insert(candidates.end(), reply.others.begin(), reply.others.end());
    beginSearch(std::move(candidates), now);
    return;
  }
  depth_ = reply.depth + 1;
  siblings_ = reply.children;
  others_ = reply.others;
  const bool wasListed = isListed();
  learnRoots(reply.roots);
  if (isListed() && !wasListed) {
    // A root has chosen this node; the list confirms it.
    nextReview_ = now;
    nextListRead_ = now;
  }
}

void RelayCore::learnRoots(const RelayList& roots) {
  if (roots.revision > roots_.revision) {
    roots_ = roots;
  }
}

void RelayCore::onLook(const Relay& relay, const JoinReply& reply, MonotonicTime now,
                       MonotonicTime provenAt) {
  const Milliseconds age(reply.proofAgeMs);
  const bool stale = isStale(now, provenAt, settings_.proofAge);
  const bool newer = reply.outcome == JoinOutcome::kAccepted && age < settings_.proofAge &&
                     age + settings_.proofAge / kWorthwhileShare < now - provenAt;
  if (stale && newer) {
    beginSearch({relay}, now);
  }
}

void RelayCore::onSilence(const RelayAction& asked, MonotonicTime now) {
  const bool heartbeat = role_ == RelayRole::kChild && !asked.looksOnly && asked.relay == parent_;
  if (heartbeat) {
    nextHeartbeat_ = now;
    if (++missedHeartbeats_ >= kMostMissedHeartbeats) {
      noteFailure(asked.relay.endpoint, Milliseconds(0), now);
      beginSearch(others_, now);
    }
    return;
  }
  // A process that restarts refuses for a moment; a machine that is gone, or starts, says nothing.
  const bool refused = now - askedAt_ < settings_.joinTimeout;
  noteFailure(asked.relay.endpoint, refused ? kRefusalPatience : kSilencePatience, now);
  roundHasHope_ = roundHasHope_ || roots_.contains(asked.relay.endpoint);
  const bool otherRoot = role_ == RelayRole::kRoot && roots_.contains(asked.relay.endpoint);
  if (otherRoot && isDead(asked.relay.endpoint, now)) {
    // Once: where nothing came of that, the next review is as near as it may be.
    if (nextReview_ > now + settings_.followerTerm) {
      nextReview_ = now + randomDelay(settings_.claimDelay);
    }
  }
}

void RelayCore::onViewFailed(const Endpoint& relay, MonotonicTime now) {
  if (role_ == RelayRole::kChild && relay == parent_.endpoint) {
    nextHeartbeat_ = now;
  }
}

JoinReply RelayCore::answer(const JoinRequest& request, MonotonicTime now, MonotonicTime provenAt) {
  JoinReply reply;
  reply.depth = depth_;
  reply.roots = roots_;
  reply.proofAgeMs = std::chrono::ceil<Milliseconds>(now - provenAt).count();
  const bool circle = parent() == request.endpoint;
  if (!serves(now) || circle || depth_ >= settings_.maxDepth) {
    return reply;
  }
  if (request.looksOnly) {
    reply.outcome = JoinOutcome::kAccepted;
    return reply;
  }
  const NodeId node(request.node);
  const ZoneId zone(request.zone);
  const Relay asking{request.endpoint, zone};
  const bool child = children_.renew(node, now) ||
                     (role_ != RelayRole::kSearching && children_.admit(node, asking, now));
  if (child) {
    reply.outcome = JoinOutcome::kAccepted;
    reply.children = static_cast<std::uint32_t>(children_.size(now));
    reply.others = placesAfterThis(request.endpoint);
  } else if (role_ != RelayRole::kSearching) {
    reply.outcome = JoinOutcome::kFull;
    reply.others = children_.some(kMostPlaces, zone, request.endpoint, now, random_);
  }
  return reply;
}

std::vector<Relay> RelayCore::placesAfterThis(const Endpoint& asking) const {
  std::vector<Relay> places;
  if (role_ == RelayRole::kChild) {
    addOnce(places, parent_, asking);
  }
  std::vector<Relay> above = role_ == RelayRole::kRoot ? otherRoots() : others_;
  above.resize(std::min(above.size(), kMostHandedOn));
  for (const Relay& relay : above) {
    addOnce(places, relay, asking);
  }
  return places;
}

bool RelayCore::serves(MonotonicTime now) const {
  if (stopped_) {
    return false;
  }
  const bool orphan = orphanSince_ && now - *orphanSince_ < settings_.orphanTerm;
  return role_ != RelayRole::kSearching || orphan;
}

std::optional<Endpoint> RelayCore::parent() const {
  if (role_ != RelayRole::kChild) {
    return std::nullopt;
  }
  return parent_.endpoint;
}

std::vector<Relay> RelayCore::otherRoots() const {
  std::vector<Relay> others;
  if (role_ == RelayRole::kRoot) {
    others = roots_.relays;
    std::erase(others, self());
  }
  return others;
}

void RelayCore::becomeRoot(MonotonicTime now) {
  role_ = RelayRole::kRoot;
  depth_ = 0;
  attachedAt_ = now;
  others_.clear();
  candidates_.clear();
  // Others have joined by then, so that the list can be filled up.
  nextReview_ = now + 2 * settings_.claimDelay;
  nextListRead_ = now;
  nextLook_ = now + settings_.heartbeatInterval;
}

void RelayCore::becomeChild(const Relay& parent, const JoinReply& reply, MonotonicTime now) {
  role_ = RelayRole::kChild;
  parent_ = parent;
  depth_ = reply.depth + 1;
  siblings_ = reply.children;
  others_ = reply.others;
  learnRoots(reply.roots);
  candidates_.clear();
  oldRelays_.clear();
  acceptsOld_ = false;
  attachedAt_ = now;
  missedHeartbeats_ = 0;
  nextHeartbeat_ = now + settings_.heartbeatInterval / 2 + randomDelay(settings_.heartbeatInterval);
  nextLook_ = now;
  nextReview_ = now + settings_.followerTerm;
  nextListRead_ = now;
  staleLookAt_.reset();
  storeSeenAt_.reset();
  deadRevision_.reset();
}

void RelayCore::beginSearch(std::vector<Relay> candidates, MonotonicTime now) {
  if (role_ != RelayRole::kSearching) {
    orphanSince_ = now;
  }
  role_ = RelayRole::kSearching;
  others_ = candidates;
  candidates_.assign(candidates.begin(), candidates.end());
  asked_.clear();
  oldRelays_.clear();
  acceptsOld_ = false;
  rounds_ = 0;
  roundHasHope_ = false;
  nextListRead_ = now + crowdDelay();
}

void RelayCore::noteFailure(const Endpoint& relay, Milliseconds patience, MonotonicTime now) {
  Failure& failure = failures_[relay];
  if (failure.last == MonotonicTime{} || now - failure.last > settings_.failureTerm) {
    failure.first = now;
  }
  failure.last = now;
  failure.patience = patience;
}

bool RelayCore::isDead(const Endpoint& relay, MonotonicTime now) const {
  const auto found = failures_.find(relay);
  return found != failures_.end() && now - found->second.last < settings_.failureTerm &&
         found->second.last - found->second.first >= found->second.patience;
}

bool RelayCore::isStale(MonotonicTime now, MonotonicTime provenAt, Milliseconds bound) const {
  return now - std::max(provenAt, attachedAt_) > bound;
}

Milliseconds RelayCore::crowdDelay() {
  if (siblings_ == 0) {
    return randomDelay(settings_.claimDelay);
  }
  // The children of all roots look at the same time, if they are lost together.
  const auto crowd = static_cast<std::int64_t>(siblings_ * settings_.leastRelays);
  return randomDelay(std::min(settings_.claimDelay, crowd * settings_.claimDelayPerNode));
}

Milliseconds RelayCore::randomDelay(Milliseconds longest) {
  std::uniform_int_distribution<std::int64_t> any(0, longest.count());
  return Milliseconds(any(random_));
}

}  // namespace calicodrift::relay
