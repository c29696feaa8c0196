// What a RelayCore makes of what it is told: lists, answers and silences.
#include <algorithm>
#include <utility>

#include "relay/relay_core.h"

namespace calicodrift::relay {
namespace {

/// A connection is refused for a moment while a node restarts.
constexpr Milliseconds kRefusalPatience{600};
/// A relay that says nothing is asked twice, as its machine may just be starting.
constexpr Milliseconds kSilencePatience{200};
/// A relay that answers without a place looks for one itself.
constexpr Milliseconds kSearchPatience{2000};
constexpr unsigned kMostMissedHeartbeats = 2;
/// A view must be newer by this share of the age at which a view is old to be worth a change of
/// parent.
constexpr int kWorthwhileShare = 4;
constexpr unsigned kMostDoublings = 6;

}  // namespace

void RelayCore::onList(const Result<RelayList>& list, MonotonicTime now, MonotonicTime provenAt) {
  if (!list) {
    onStoreSilent(now);
    return;
  }
  storeFailures_ = 0;
  if (!list.value().readable && role_ == RelayRole::kRoot) {
    // The tree stands as it is: the list is written anew as it was.
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

void RelayCore::onStoreSilent(MonotonicTime now) {
  const Milliseconds pause =
      std::min(settings_.firstStorePause * (1U << std::min(storeFailures_, kMostDoublings)),
               settings_.longestStorePause);
  ++storeFailures_;
  nextListRead_ = now + pause / 2 + randomDelay(pause);
  rounds_ = 0;
}

void RelayCore::onListWhileSearching(bool firstList, MonotonicTime now) {
  if (isListed()) {
    // Where the first list that a process reads names it, it was a root before it started anew.
    becomeRoot(now, firstList ? now : now + settings_.tenure);
    return;
  }
  std::vector<Relay> usable = rootsWithoutDead(now).relays;
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
    becomeRoot(now, now + settings_.tenure);
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
  RelayList list = rootsWithoutDead(now);
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
  RelayList list = rootsWithoutDead(now);
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
  replaceRoots(std::move(list), now);
  if (!isListed()) {
    beginSearch(roots_.relays, now);
    return;
  }
  confirmedAt_ = listAskedAt_;
  if (role_ != RelayRole::kRoot) {
    becomeRoot(now, untold_.empty() ? now : settledAt_);
  }
}

void RelayCore::onReply(const RelayAction& asked, const Result<JoinReply>& reply, MonotonicTime now,
                        MonotonicTime provenAt) {
  if (!reply) {
    onSilence(asked, now);
    return;
  }
  contactAt_ = now;
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
  const bool wasListed = isListed();
  learnPlace(reply, now);
  if (isListed() && !wasListed) {
    // A root has chosen this node; the list confirms it.
    nextReview_ = now;
    nextListRead_ = now;
  }
}

void RelayCore::learnPlace(const JoinReply& reply, MonotonicTime now) {
  depth_ = reply.depth + 1;
  siblings_ = reply.children;
  others_ = reply.others;
  if (reply.roots.revision > roots_.revision) {
    replaceRoots(reply.roots, now);
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

}  // namespace calicodrift::relay
