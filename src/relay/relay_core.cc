#include "relay/relay_core.h"

#include <algorithm>
#include <utility>

namespace calicodrift::relay {
namespace {

/// Number of rounds over the known relays before the list is read again.
constexpr unsigned kMaxRounds = 5;
/// Number of relays named to a node that is rejected because this one is full.
constexpr std::size_t kMaxAlternatives = 6;
/// Number of children that a root with a stale view considers in one round.
constexpr std::size_t kMaxChildrenProbed = 3;
/// Number of the parent's alternatives that a node passes on to its children.
constexpr std::size_t kMaxForwardedAlternatives = 2;

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
      children_(settings_.maxChildren, settings_.childTimeout) {}

RelayAction RelayCore::next(MonotonicTime now, MonotonicTime provenAt) {
  if (isStalled(now)) {
    runningSince_ = now;
  }
  lastStepAt_ = now;
  if (pauseUntil_ == MonotonicTime{}) {
    pauseUntil_ = now + settings_.extraStartDelay + randomDelay(settings_.startDelay);
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
    if (usable && askedThisRound_.insert(relay.endpoint).second) {
      return ask(relay, false, now);
    }
  }
  if (!staleCandidates_.empty()) {
    // No relay has a newer view.
    candidates_.assign(staleCandidates_.begin(), staleCandidates_.end());
    staleCandidates_.clear();
    askedThisRound_.clear();
    acceptsStale_ = true;
    return search(now);
  }
  if (std::exchange(retryRound_, false) && beginNextRound(now)) {
    return {RelayStep::kWait, pauseUntil_, {}, false, {}};
  }
  if (allRootsDead(now) && deadRevision_ != roots_.revision) {
    // The random delay lets one of the many nodes that detect this replace a root before the others
    // read the list.
    deadRevision_ = roots_.revision;
    nextListRead_ = now + contentionDelay();
  }
  if (now < nextListRead_) {
    return {RelayStep::kWait, nextListRead_, {}, false, {}};
  }
  if (settings_.staleFirstRead && !std::exchange(staleListRead_, true)) {
    return {RelayStep::kReadStaleList, {}, {}, false, {}};
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
  if (rounds_ >= kMaxRounds) {
    return false;
  }
  std::vector<Relay> round = roots_.relays;
  for (const Relay& relay : alternatives_) {
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
  askedThisRound_.clear();
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
  // The children of a root act for all nodes below them.
  const Milliseconds bound = settings_.proofAge + settings_.maxHopDelay;
  if (depth_ > 1 || !isStale(now, provenAt, bound)) {
    staleListReadAt_.reset();
    storeReachableAt_.reset();
    return {RelayStep::kWait, nextHeartbeat_, {}, false, {}};
  }
  if (const auto probe = probeForNewerView(alternatives_, now)) {
    return *probe;
  }
  if (!staleListReadAt_) {
    staleListReadAt_ = now + contentionDelay();
  }
  if (now >= *staleListReadAt_ && now >= nextListRead_) {
    return readList(now);
  }
  const MonotonicTime nextRead = std::max(*staleListReadAt_, nextListRead_);
  return {RelayStep::kWait, std::min({nextHeartbeat_, nextProbe_, nextRead}), {}, false, {}};
}

RelayAction RelayCore::serveAsRoot(MonotonicTime now, MonotonicTime provenAt) {
  const bool mustTell = !unnotified_.empty() && now < confirmUntil_;
  if (mustTell && now >= nextAnnounceAt_) {
    requestSentAt_ = now;
    return {RelayStep::kAnnounceRoots, {}, unnotified_.front(), false, newest_};
  }
  const MonotonicTime confirm = confirmAt(now, provenAt);
  if (now >= std::min(nextReview_, confirm) && now >= nextListRead_) {
    return readList(now);
  }
  std::vector<Relay> others = otherRoots();
  if (isStale(now, provenAt, settings_.proofAge)) {
    // One of the children may have found a path to the store.
    for (const Relay& child :
         children_.sample(kMaxChildrenProbed, settings_.zone, settings_.endpoint, now, random_)) {
      addOnce(others, child, settings_.endpoint);
    }
  }
  if (const auto probe = probeForNewerView(others, now)) {
    return *probe;
  }
  MonotonicTime until =
      std::min(nextProbe_, std::max(std::min(nextReview_, confirm), nextListRead_));
  if (mustTell) {
    until = std::min(until, nextAnnounceAt_);
  }
  return {RelayStep::kWait, until, {}, false, {}};
}

MonotonicTime RelayCore::confirmAt(MonotonicTime now, MonotonicTime provenAt) const {
  // While the store does not answer, this node looks for another path to it and does not read the
  // list for confirmation.
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
  // A view that aged while the process was stalled does not show that the store is unreachable.
  const bool awake = !isStalled(now) && now - runningSince_ > settings_.proofAge;
  const bool storeSilent = storeFailures_ > 0 || isStale(now, provenAt, settings_.proofAge);
  return awake && storeSilent && now - contactAt_ <= settings_.proofAge;
}

bool RelayCore::isStalled(MonotonicTime now) const {
  return lastStepAt_ != MonotonicTime{} && now - lastStepAt_ > settings_.proofAge;
}

std::optional<RelayAction> RelayCore::probeForNewerView(const std::vector<Relay>& others,
                                                        MonotonicTime now) {
  if (now < nextProbe_) {
    return std::nullopt;
  }
  nextProbe_ = now + settings_.heartbeatInterval;
  if (others.empty()) {
    return std::nullopt;
  }
  return ask(others[probeCount_++ % others.size()], true, now);
}

RelayAction RelayCore::ask(const Relay& relay, bool probeOnly, MonotonicTime now) {
  requestSentAt_ = now;
  return {RelayStep::kSendJoin, {}, relay, probeOnly, {}};
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
  const bool formsCycle = parent() == request.endpoint;
  if (!serves(now) || formsCycle || depth_ >= settings_.maxDepth) {
    return reply;
  }
  if (request.probeOnly) {
    reply.outcome = JoinOutcome::kAccepted;
    return reply;
  }
  const NodeId node(request.node);
  const ZoneId zone(request.zone);
  const Relay asking{request.endpoint, zone};
  const bool child =
      children_.renew(node, now) ||
      (role_ != RelayRole::kSearching && children_.admit(node, asking, request.capacity, now));
  if (child) {
    reply.outcome = JoinOutcome::kAccepted;
    reply.children = static_cast<std::uint32_t>(children_.size(now));
    reply.alternatives = alternativesFor(request.endpoint);
  } else if (role_ != RelayRole::kSearching) {
    reply.outcome = JoinOutcome::kFull;
    reply.alternatives = children_.sample(kMaxAlternatives, zone, request.endpoint, now, random_);
  }
  return reply;
}

std::vector<Relay> RelayCore::alternativesFor(const Endpoint& asking) const {
  std::vector<Relay> places;
  if (role_ == RelayRole::kChild) {
    addOnce(places, parent_, asking);
  }
  std::vector<Relay> above = role_ == RelayRole::kRoot ? otherRoots() : alternatives_;
  above.resize(std::min(above.size(), kMaxForwardedAlternatives));
  for (const Relay& relay : above) {
    addOnce(places, relay, asking);
  }
  return places;
}

bool RelayCore::serves(MonotonicTime now) const {
  if (stopped_) {
    return false;
  }
  const bool orphan = orphanedAt_ && now - *orphanedAt_ < settings_.orphanGracePeriod;
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
  recordNewest(list, now);
  roots_ = std::move(list);
}

void RelayCore::recordNewest(const RelayList& list, MonotonicTime now) {
  if (list.relays != newest_.relays) {
    // Roots that remain must be notified too, since shares that one of them granted may now belong
    // to another. A node that has not acknowledged the previous change may follow an even older
    // list.
    std::vector<Relay> concerned(unnotified_.begin(), unnotified_.end());
    for (const std::vector<Relay>& relays : {list.relays, newest_.relays}) {
      for (const Relay& relay : relays) {
        addOnce(concerned, relay, settings_.endpoint);
      }
    }
    unnotified_.assign(concerned.begin(), concerned.end());
    settledAt_ = unnotified_.empty() ? now : now + settings_.tenure;
    nextAnnounceAt_ = now;
  }
  newest_ = list;
}

void RelayCore::markSettled(MonotonicTime now) {
  settledAt_ = std::min(settledAt_, now);
  grantsFrom_ = std::min(grantsFrom_, now);
}

void RelayCore::onRootsAnnounced(const RelayAction& announced, bool acknowledged,
                                 MonotonicTime now) {
  if (acknowledged) {
    const bool wasOpen = std::erase(unnotified_, announced.relay) > 0;
    if (wasOpen && unnotified_.empty()) {
      markSettled(now);
    }
    return;
  }
  if (now >= settledAt_ + settings_.reviewInterval) {
    std::erase(unnotified_, announced.relay);
    return;
  }
  // A root that does not answer must not delay the notification of the others.
  std::erase(unnotified_, announced.relay);
  unnotified_.push_back(announced.relay);
  // It is notified even after others have started to grant, as it may resume after a stall.
  nextAnnounceAt_ = now + (now < settledAt_ ? settings_.joinRetry : settings_.confirmInterval);
}

const RelayList& RelayCore::learnRoots(const RelayList& list, MonotonicTime now) {
  contactAt_ = now;
  // The tree is unchanged until the next reading of the list. A root that acted on what it is told
  // would dismiss its children, and during many changes they would all read the store.
  if (list.revision > newest_.revision) {
    recordNewest(list, now);
  }
  return newest_;
}

void RelayCore::becomeRoot(MonotonicTime now, MonotonicTime grantsFrom) {
  role_ = RelayRole::kRoot;
  grantsFrom_ = grantsFrom;
  depth_ = 0;
  attachedAt_ = now;
  alternatives_.clear();
  candidates_.clear();
  // By then other nodes have joined, and missing roots can be appointed.
  nextReview_ = now + 2 * settings_.claimDelay;
  nextListRead_ = now;
  nextProbe_ = now + settings_.heartbeatInterval;
}

void RelayCore::becomeChild(const Relay& parent, const JoinReply& reply, MonotonicTime now) {
  role_ = RelayRole::kChild;
  parent_ = parent;
  updatePosition(reply, now);
  candidates_.clear();
  staleCandidates_.clear();
  acceptsStale_ = false;
  attachedAt_ = now;
  missedHeartbeats_ = 0;
  nextHeartbeat_ = now + settings_.heartbeatInterval / 2 + randomDelay(settings_.heartbeatInterval);
  nextProbe_ = now;
  nextReview_ = now + settings_.childTimeout;
  nextListRead_ = now;
  staleListReadAt_.reset();
  storeReachableAt_.reset();
  deadRevision_.reset();
}

void RelayCore::beginSearch(std::vector<Relay> candidates, MonotonicTime now) {
  if (role_ != RelayRole::kSearching) {
    orphanedAt_ = now;
  }
  role_ = RelayRole::kSearching;
  alternatives_ = candidates;
  candidates_.assign(candidates.begin(), candidates.end());
  askedThisRound_.clear();
  staleCandidates_.clear();
  acceptsStale_ = false;
  rounds_ = 0;
  retryRound_ = false;
  nextListRead_ = now + contentionDelay();
}

void RelayCore::recordFailure(const Endpoint& relay, Milliseconds gracePeriod, MonotonicTime now) {
  Failure& failure = failures_[relay];
  if (failure.last == MonotonicTime{} || now - failure.last > settings_.failureRetention) {
    failure.first = now;
  }
  failure.last = now;
  failure.gracePeriod = gracePeriod;
}

bool RelayCore::isDead(const Endpoint& relay, MonotonicTime now) const {
  const auto found = failures_.find(relay);
  return found != failures_.end() && now - found->second.last < settings_.failureRetention &&
         found->second.last - found->second.first >= found->second.gracePeriod;
}

bool RelayCore::isStale(MonotonicTime now, MonotonicTime provenAt, Milliseconds bound) const {
  return now - std::max(provenAt, attachedAt_) > bound;
}

Milliseconds RelayCore::contentionDelay() {
  if (siblings_ == 0) {
    return randomDelay(settings_.claimDelay);
  }
  // If the roots are lost together, the children of all of them look for a root at the same time.
  const auto competitors = static_cast<std::int64_t>(siblings_ * settings_.rootCount);
  return randomDelay(std::min(settings_.claimDelay, competitors * settings_.claimDelayPerNode));
}

Milliseconds RelayCore::randomDelay(Milliseconds longest) {
  std::uniform_int_distribution<std::int64_t> any(0, longest.count());
  return Milliseconds(any(random_));
}

}  // namespace calicodrift::relay
