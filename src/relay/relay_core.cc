#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace calicodrift::relay {
namespace {

/// Rounds over the known relays before the list is read again.
constexpr unsigned kMostRounds = 5;
/// Relays named to a node that is turned away.
constexpr std::size_t kMostPlaces = 6;
/// Children that a root with an old view asks in one round.
constexpr std::size_t kMostChildrenAsked = 3;
/// What a parent hands on of those that its own parent named.
constexpr std::size_t kMostHandedOn = 2;

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
  if (stoodStill(now)) {
    awakeSince_ = now;
  }
  steppedAt_ = now;
  if (pauseUntil_ == MonotonicTime{}) {
    pauseUntil_ = now + randomDelay(settings_.startDelay);
  }
  if (now < pauseUntil_) {
    return {RelayStep::kWait, pauseUntil_, {}, false, {}};
  }
  if (pendingList_) {
    listAskedAt_ = now;
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
  return readList(now);
}

bool RelayCore::allRootsDead(MonotonicTime now) const {
  return !roots_.relays.empty() && rootsWithoutDead(now).relays.empty();
}

RelayList RelayCore::rootsWithoutDead(MonotonicTime now) const {
  RelayList list = roots_;
  std::erase_if(list.relays, [this, now](const Relay& root) { return isDead(root.endpoint, now); });
  return list;
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
    return readList(now);
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
    return readList(now);
  }
  const MonotonicTime nextRead = std::max(*staleLookAt_, nextListRead_);
  return {RelayStep::kWait, std::min({nextHeartbeat_, nextLook_, nextRead}), {}, false, {}};
}

RelayAction RelayCore::serveAsRoot(MonotonicTime now, MonotonicTime provenAt) {
  const bool mustTell = !untold_.empty() && now < confirmUntil_;
  if (mustTell && now >= nextTell_) {
    askedAt_ = now;
    return {RelayStep::kTellRoots, {}, untold_.front(), false, newest_};
  }
  const MonotonicTime confirm = confirmAt(now, provenAt);
  if (now >= std::min(nextReview_, confirm) && now >= nextListRead_) {
    return readList(now);
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
  MonotonicTime until =
      std::min(nextLook_, std::max(std::min(nextReview_, confirm), nextListRead_));
  if (mustTell) {
    until = std::min(until, nextTell_);
  }
  return {RelayStep::kWait, until, {}, false, {}};
}

MonotonicTime RelayCore::confirmAt(MonotonicTime now, MonotonicTime provenAt) const {
  // While the store is silent, this node looks for another way to it and reads nothing else.
  const bool wanted = now < confirmUntil_ && !isStale(now, provenAt, settings_.proofAge);
  return wanted ? confirmedAt_ + settings_.confirmInterval : MonotonicTime::max();
}

bool RelayCore::mayGrant(MonotonicTime now, MonotonicTime provenAt) const {
  if (role_ != RelayRole::kRoot || stopped_ || !newest_.contains(settings_.endpoint) ||
      now < grantsFrom_) {
    return false;
  }
  if (now - confirmedAt_ <= settings_.tenure) {
    return true;
  }
  // A view that grew old while the process stood still says nothing of the store.
  const bool awake = !stoodStill(now) && now - awakeSince_ > settings_.proofAge;
  const bool storeSilent = storeFailures_ > 0 || isStale(now, provenAt, settings_.proofAge);
  return awake && storeSilent && now - contactAt_ <= settings_.proofAge;
}

bool RelayCore::stoodStill(MonotonicTime now) const {
  return steppedAt_ != MonotonicTime{} && now - steppedAt_ > settings_.proofAge;
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

RelayAction RelayCore::readList(MonotonicTime now) {
  listAskedAt_ = now;
  return {RelayStep::kReadList, {}, {}, false, {}};
}

JoinReply RelayCore::answer(const JoinRequest& request, MonotonicTime now, MonotonicTime provenAt) {
  contactAt_ = now;
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

void RelayCore::replaceRoots(RelayList list, MonotonicTime now) {
  noteNewest(list, now);
  roots_ = std::move(list);
}

void RelayCore::noteNewest(const RelayList& list, MonotonicTime now) {
  if (list.relays != newest_.relays) {
    // Those that stay must know too: what one of them gave away may now be another's to give.
    // Who has not heard of the change before this one may go by a list that is older still.
    std::vector<Relay> concerned(untold_.begin(), untold_.end());
    for (const std::vector<Relay>& relays : {list.relays, newest_.relays}) {
      for (const Relay& relay : relays) {
        addOnce(concerned, relay, settings_.endpoint);
      }
    }
    untold_.assign(concerned.begin(), concerned.end());
    settledAt_ = untold_.empty() ? now : now + settings_.tenure;
    nextTell_ = now;
  }
  newest_ = list;
}

void RelayCore::endUnsettled(MonotonicTime now) {
  settledAt_ = std::min(settledAt_, now);
  grantsFrom_ = std::min(grantsFrom_, now);
}

void RelayCore::onRootsTold(const RelayAction& told, bool acknowledged, MonotonicTime now) {
  if (acknowledged) {
    const bool wasOpen = std::erase(untold_, told.relay) > 0;
    if (wasOpen && untold_.empty()) {
      endUnsettled(now);
    }
    return;
  }
  if (now >= settledAt_ + settings_.reviewInterval) {
    std::erase(untold_, told.relay);
    return;
  }
  // One that says nothing must not keep the others from hearing.
  std::erase(untold_, told.relay);
  untold_.push_back(told.relay);
  // Once others grant, it is told still, as it may wake from standing still.
  nextTell_ = now + (now < settledAt_ ? settings_.joinRetry : settings_.confirmInterval);
}

const RelayList& RelayCore::learnRoots(const RelayList& list, MonotonicTime now) {
  contactAt_ = now;
  // The tree stays as it is until the next look at the list: a root that went by what it is told
  // would send its children away, and in a time of many changes they would read the store.
  if (list.revision > newest_.revision) {
    noteNewest(list, now);
  }
  return newest_;
}

void RelayCore::becomeRoot(MonotonicTime now, MonotonicTime grantsFrom) {
  role_ = RelayRole::kRoot;
  grantsFrom_ = grantsFrom;
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
  learnPlace(reply, now);
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
