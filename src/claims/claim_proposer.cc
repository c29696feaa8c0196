#include "claims/claim_proposer.h"

#include <algorithm>

namespace calicodrift::claims {
namespace {

constexpr int kNoticeSends = 3;

bool undecided(Vote vote) {
  return vote == Vote::kOtherEpoch;
}

}  // namespace

std::string_view toString(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return "granted";
    case ClaimVerdict::kInProgress:
      return "in_progress";
    case ClaimVerdict::kCompleted:
      return "completed";
    case ClaimVerdict::kKeyTooOld:
      return "key_too_old";
    case ClaimVerdict::kKeyFromFuture:
      return "key_from_future";
    case ClaimVerdict::kMemoryFull:
      return "memory_full";
    case ClaimVerdict::kUnavailable:
      return "unavailable";
  }
  return "unavailable";
}

ClaimProposer::ClaimProposer(const ClaimSettings& settings, const ViewAgent& views, Sender sender,
                             std::uint64_t seed)
    : settings_(settings), viewAgent_(views), sender_(std::move(sender)), random_(seed) {}

void ClaimProposer::claim(const ClaimKey& key, ClockReading now, Done done) {
  const auto bound = static_cast<WallMilliseconds>(settings_.maxClockSkew.count());
  const auto retention = static_cast<WallMilliseconds>(settings_.retention.count());
  ClaimResult refusal;
  if (key.time() + retention <= now.wall) {
    refusal.verdict = ClaimVerdict::kKeyTooOld;
    done(refusal);
    return;
  }
  // A replica accepts keys up to one clock bound ahead of its clock, which may itself be one bound
  // ahead of the local clock.
  if (key.time() > now.wall + 2 * bound) {
    refusal.verdict = ClaimVerdict::kKeyFromFuture;
    done(refusal);
    return;
  }
  const AttemptToken token{now.wall, random_()};
  AttemptState& attempt = attempts_[token];
  attempt.key = key;
  attempt.begin = now.monotonic;
  attempt.done = std::move(done);
  send(token, attempt, now);
}

void ClaimProposer::send(const AttemptToken& token, AttemptState& attempt, ClockReading now) {
  attempt.lastSent = now.monotonic;
  if (attempt.epoch != viewAgent_.epoch()) {
    // Votes from different epochs must not be added up.
    attempt.votes.clear();
    attempt.epoch = viewAgent_.epoch();
  }
  const ClaimRequest request{attempt.epoch, attempt.key, token};
  for (const std::size_t index : viewAgent_.replicas(attempt.key.group())) {
    const ViewMember& member = viewAgent_.view().members[index];
    const auto vote = attempt.votes.find(member.id);
    if (vote == attempt.votes.end() || vote->second.vote != Vote::kAccepted) {
      sender_(viewAgent_.endpointOf(member), request);
    }
  }
}

void ClaimProposer::handle(const ClaimReply& reply, ClockReading now) {
  const auto attempt = attempts_.find(reply.token);
  const bool relevant = attempt != attempts_.end() && attempt->second.key == reply.key &&
                        (reply.epoch == attempt->second.epoch || !settings_.rules.checkEpoch);
  if (!relevant) {
    return;
  }
  attempt->second.votes[reply.replica] = reply;
  if (const auto verdict = decide(tally(reply.token, attempt->second))) {
    finish(attempt, *verdict, now);
  }
}

ClaimProposer::Tally ClaimProposer::tally(const AttemptToken& token,
                                          const AttemptState& attempt) const {
  Tally tally;
  if (attempt.epoch != viewAgent_.epoch()) {
    // The replica set that these votes belong to is no longer available; the next round resends the
    // claim.
    tally.majority = kReplicasPerGroup;
    tally.undecided = kReplicasPerGroup;
    return tally;
  }
  const ReplicaSet& replicas = viewAgent_.replicas(attempt.key.group());
  tally.majority = majorityOf(replicas.size());
  for (const std::size_t index : replicas) {
    const auto found = attempt.votes.find(viewAgent_.view().members[index].id);
    if (found == attempt.votes.end() || undecided(found->second.vote)) {
      ++tally.undecided;
      continue;
    }
    const ClaimReply& reply = found->second;
    tally.accepted += reply.vote == Vote::kAccepted ? 1 : 0;
    tally.full += reply.vote == Vote::kFull ? 1 : 0;
    tally.tooOld = tally.tooOld || reply.vote == Vote::kKeyTooOld;
    if (reply.vote == Vote::kHeldByOther) {
      tally.held = true;
      tally.heldByEarlier = tally.heldByEarlier || reply.holder < token;
    }
    if (reply.vote == Vote::kCompleted) {
      tally.completed = &reply;
    }
  }
  return tally;
}

std::optional<ClaimVerdict> ClaimProposer::decide(const Tally& tally) const {
  if (tally.accepted >= tally.majority) {
    return ClaimVerdict::kGranted;
  }
  if (tally.completed != nullptr) {
    return ClaimVerdict::kCompleted;
  }
  if (tally.tooOld) {
    return ClaimVerdict::kKeyTooOld;
  }
  const bool majorityPossible = tally.accepted + tally.undecided >= tally.majority;
  // If two attempts split the votes, the earlier one waits for the later one to be released.
  const bool waitsForRelease = tally.held && !tally.heldByEarlier;
  if (majorityPossible || waitsForRelease) {
    return std::nullopt;
  }
  return finalVerdict(tally);
}

ClaimVerdict ClaimProposer::finalVerdict(const Tally& tally) const {
  if (tally.held) {
    return ClaimVerdict::kInProgress;
  }
  if (tally.full > 0 && tally.accepted + tally.full >= tally.majority) {
    return ClaimVerdict::kMemoryFull;
  }
  return ClaimVerdict::kUnavailable;
}

void ClaimProposer::finish(Attempts::iterator attempt, ClaimVerdict verdict, ClockReading now) {
  const AttemptState state = std::move(attempt->second);
  ClaimResult result{verdict, attempt->first, std::nullopt};
  attempts_.erase(attempt);
  if (verdict == ClaimVerdict::kCompleted) {
    for (const auto& entry : state.votes) {
      if (entry.second.vote == Vote::kCompleted) {
        result.outcome = entry.second.outcome;
      }
    }
  }
  if (verdict != ClaimVerdict::kGranted) {
    release(state.key, result.token, now);
  }
  state.done(result);
}

void ClaimProposer::complete(const ClaimKey& key, AttemptToken token, StoredOutcome outcome,
                             ClockReading now) {
  sendNotice(CompletedNotice{key, token, std::move(outcome)}, key, now);
}

void ClaimProposer::release(const ClaimKey& key, AttemptToken token, ClockReading now) {
  sendNotice(ReleaseNotice{key, token}, key, now);
}

void ClaimProposer::sendNotice(const ClaimMessage& message, const ClaimKey& key, ClockReading now) {
  sendToReplicas(message, key);
  notices_.push_back({message, key, kNoticeSends - 1, now.monotonic + settings_.claimRetransmit});
}

void ClaimProposer::sendToReplicas(const ClaimMessage& message, const ClaimKey& key) {
  for (const std::size_t index : viewAgent_.replicas(key.group())) {
    sender_(viewAgent_.endpointOf(viewAgent_.view().members[index]), message);
  }
}

void ClaimProposer::tick(ClockReading now) {
  for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
    const auto next = std::next(attempt);
    AttemptState& state = attempt->second;
    const Tally votes = tally(attempt->first, state);
    if (now.monotonic - state.begin >= settings_.claimTimeout) {
      finish(attempt, finalVerdict(votes), now);
    } else if (now.monotonic - state.lastSent >= settings_.claimRetransmit) {
      if (votes.heldByEarlier) {
        finish(attempt, ClaimVerdict::kInProgress, now);
      } else {
        send(attempt->first, state, now);
      }
    }
    attempt = next;
  }
  for (RepeatedNotice& notice : notices_) {
    if (now.monotonic >= notice.nextTime) {
      sendToReplicas(notice.message, notice.key);
      --notice.remainingSends;
      notice.nextTime = now.monotonic + settings_.claimRetransmit;
    }
  }
  std::erase_if(notices_, [](const RepeatedNotice& notice) { return notice.remainingSends <= 0; });
}

}  // namespace calicodrift::claims
