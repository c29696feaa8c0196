// RelayCore's handling of events: lists, replies and timeouts.
#include <algorithm>
#include <utility>

#include "relay/relay_core.h"

namespace calicodrift::relay {
namespace {

/// Grace period for refused connections, as a node refuses them briefly while it restarts.
constexpr Milliseconds kRefusedGracePeriod{600};
/// Grace period for timeouts: a relay that does not answer is asked twice, as its machine may be
/// starting.
constexpr Milliseconds kTimeoutGracePeriod{200};
/// Grace period for a relay that answers without serving, as it is looking for a parent itself.
constexpr Milliseconds kNotServingGracePeriod{2000};
constexpr unsigned kMaxMissedHeartbeats = 2;
/// A view must be newer by proofAge divided by this to be worth a change of parent.
constexpr int kMinImprovementDivisor = 4;
constexpr unsigned kMaxBackoffDoublings = 6;

}  // namespace

void RelayCore::onList(const Result<RelayList>& list, MonotonicTime now, MonotonicTime provenAt) {
  if (!list) {
    onStoreUnavailable(now);
    return;
  }
  storeFailures_ = 0;
  if (!list.value().readable && role_ == RelayRole::kRoot) {
    // The tree stays as it is, and the list is rewritten with its previous contents.
    roots_.revision = list.value().revision;
    nextReview_ = now + settings_.reviewInterval;
    pendingList_ = roots_;
    return;
  }
  const bool firstList = roots_.revision == store::Revision();
  replaceRoots(list.value(), now);
  if (isListed()) {
    confirmedAt_ = listAskedAt_;
  }
  nextReview_ = now + settings_.reviewInterval;
  switch (role_) {
    case RelayRole::kSearching:
      onListWhileSearching(firstList, now);
      break;
    case RelayRole::kChild:
      onListAsChild(now, provenAt);
      break;
    case RelayRole::kRoot:
      onListAsRoot(now);
      break;
  }
}

void RelayCore::onStaleList(const Result<RelayList>& list, MonotonicTime now) {
  // What this node may do as a root, and which places are free, only the newest list tells.
  if (role_ != RelayRole::kSearching || !list || list.value().contains(settings_.endpoint)) {
    return;
  }
  staleList_ = list.value();
  alternatives_ = staleList_.relays;
  if (alternatives_.empty()) {
    return;
  }
  shuffleByZone(alternatives_, settings_.zone, random_);
  candidates_.assign(alternatives_.begin(), alternatives_.end());
  askedThisRound_.clear();
  nextListRead_ = now + randomDelay(settings_.claimDelay);
}

void RelayCore::onStoreUnavailable(MonotonicTime now) {
  const Milliseconds pause =
      std::min(settings_.minStoreBackoff * (1U << std::min(storeFailures_, kMaxBackoffDoublings)),
               settings_.maxStoreBackoff);
  ++storeFailures_;
  nextListRead_ = now + pause / 2 + randomDelay(pause);
  rounds_ = 0;
}

void RelayCore::onListWhileSearching(bool firstList, MonotonicTime now) {
  if (isListed()) {
    // If the first list that a process reads names it, it was a root before it restarted.
    becomeRoot(now, firstList ? now : now + settings_.tenure);
    return;
  }
  std::vector<Relay> usable = rootsWithoutDead(now).relays;
  if (!usable.empty()) {
    shuffleByZone(usable, settings_.zone, random_);
    candidates_.assign(usable.begin(), usable.end());
    askedThisRound_.clear();
    rounds_ = 0;
    nextListRead_ = now + randomDelay(settings_.claimDelay);
    return;
  }
  if (roots_.relays.empty() || deadRevision_ == roots_.revision) {
    claim(now);
    return;
  }
  deadRevision_ = roots_.revision;
  nextListRead_ = now + contentionDelay();
}

void RelayCore::onListAsChild(MonotonicTime now, MonotonicTime provenAt) {
  if (isListed()) {
    becomeRoot(now, now + settings_.tenure);
    return;
  }
  if (!isStale(now, provenAt, settings_.proofAge)) {
    return;
  }
  if (!storeReachableAt_) {
    // The parent may be about to reach the store again as well.
    storeReachableAt_ = now;
    nextListRead_ = now + settings_.maxHopDelay;
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
  if (index >= settings_.rootCount) {
    RelayList list = roots_;
    std::erase(list.relays, self());
    pendingList_ = std::move(list);
    return;
  }
  appointRoot(now);
}

void RelayCore::appointRoot(MonotonicTime now) {
  RelayList list = rootsWithoutDead(now);
  const bool first = !list.relays.empty() && list.relays.front() == self();
  if (!first || list.relays.size() >= settings_.rootCount) {
    return;
  }
  const std::optional<Relay> successor = children_.strongest(settings_.zone, now, random_);
  if (!successor) {
    // No node has joined yet.
    nextReview_ = now + settings_.childTimeout;
    return;
  }
  list.relays.push_back(*successor);
  pendingList_ = std::move(list);
}

void RelayCore::claim(MonotonicTime now) {
  RelayList list = rootsWithoutDead(now);
  list.relays.push_back(self());
  pendingList_ = std::move(list);
}

void RelayCore::onListWritten(const std::optional<store::Revision>& written, MonotonicTime now) {
  RelayList list = std::move(*pendingList_);
  pendingList_.reset();
  deadRevision_.reset();
  if (!written) {
    // Another node wrote first, or the outcome is unknown; the next reading of the list shows
    // which.
    nextListRead_ = now + randomDelay(settings_.joinRetry);
    nextReview_ = nextListRead_;
    return;
  }
  list.revision = *written;
  replaceRoots(std::move(list), now);
  if (!isListed()) {
    beginSearch(roots_.relays, now);
    return;
  }
  confirmedAt_ = listAskedAt_;
  if (role_ != RelayRole::kRoot) {
    becomeRoot(now, unnotified_.empty() ? now : settledAt_);
  }
}

void RelayCore::onReply(const RelayAction& asked, const Result<JoinReply>& reply, MonotonicTime now,
                        MonotonicTime provenAt) {
  if (!reply) {
    onNoReply(asked, now);
    return;
  }
  contactAt_ = now;
  const bool serves = reply.value().outcome != JoinOutcome::kNotServing;
  if (serves) {
    failures_.erase(asked.relay.endpoint);
  } else {
    recordFailure(asked.relay.endpoint, kNotServingGracePeriod, now);
  }
  if (asked.probeOnly) {
    onProbeReply(asked.relay, reply.value(), now, provenAt);
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
    if (old && !acceptsStale_) {
      staleCandidates_.push_back(relay);
    } else {
      becomeChild(relay, reply, now);
    }
    return;
  }
  const bool full = reply.outcome == JoinOutcome::kFull;
  if (full) {
    candidates_.insert(candidates_.end(), reply.alternatives.begin(), reply.alternatives.end());
  }
  retryRound_ = retryRound_ || full || isKnownRoot(relay.endpoint);
}

void RelayCore::onParentReply(const JoinReply& reply, MonotonicTime now) {
  missedHeartbeats_ = 0;
  if (reply.outcome != JoinOutcome::kAccepted) {
    std::vector<Relay> candidates = alternatives_;
    candidates.insert(candidates.end(), reply.alternatives.begin(), reply.alternatives.end());
    beginSearch(std::move(candidates), now);
    return;
  }
  const bool wasListed = isListed();
  updatePosition(reply, now);
  if (isListed() && !wasListed) {
    // A root has appointed this node; reading the list confirms it.
    nextReview_ = now;
    nextListRead_ = now;
  }
}

void RelayCore::updatePosition(const JoinReply& reply, MonotonicTime now) {
  depth_ = reply.depth + 1;
  siblings_ = reply.children;
  alternatives_ = reply.alternatives;
  if (reply.roots.revision > roots_.revision) {
    replaceRoots(reply.roots, now);
  }
}

void RelayCore::onProbeReply(const Relay& relay, const JoinReply& reply, MonotonicTime now,
                             MonotonicTime provenAt) {
  const Milliseconds age(reply.proofAgeMs);
  const bool stale = isStale(now, provenAt, settings_.proofAge);
  const bool newer = reply.outcome == JoinOutcome::kAccepted && age < settings_.proofAge &&
                     age + settings_.proofAge / kMinImprovementDivisor < now - provenAt;
  if (stale && newer) {
    beginSearch({relay}, now);
  }
}

void RelayCore::onNoReply(const RelayAction& asked, MonotonicTime now) {
  const bool heartbeat = role_ == RelayRole::kChild && !asked.probeOnly && asked.relay == parent_;
  if (heartbeat) {
    nextHeartbeat_ = now;
    if (++missedHeartbeats_ >= kMaxMissedHeartbeats) {
      recordFailure(asked.relay.endpoint, Milliseconds(0), now);
      beginSearch(alternatives_, now);
    }
    return;
  }
  // A restarting process refuses connections briefly; a machine that is down or booting does not
  // answer.
  const bool refused = now - requestSentAt_ < settings_.joinTimeout;
  recordFailure(asked.relay.endpoint, refused ? kRefusedGracePeriod : kTimeoutGracePeriod, now);
  retryRound_ = retryRound_ || isKnownRoot(asked.relay.endpoint);
  const bool otherRoot = role_ == RelayRole::kRoot && roots_.contains(asked.relay.endpoint);
  if (otherRoot && isDead(asked.relay.endpoint, now)) {
    // Only once: if the review had no effect, the next one is already as close as allowed.
    if (nextReview_ > now + settings_.childTimeout) {
      nextReview_ = now + randomDelay(settings_.claimDelay);
    }
  }
}

void RelayCore::onViewFailed(const Endpoint& relay, MonotonicTime now) {
  if (role_ == RelayRole::kChild && relay == parent_.endpoint) {
    nextHeartbeat_ = now;
  }
}

}  // namespace calicodrift::relay
