#include "claims/claim_replica.h"

#include <algorithm>

namespace calicodrift::claims {
namespace {

WallMilliseconds toWallMilliseconds(Milliseconds duration) {
  return static_cast<WallMilliseconds>(duration.count());
}

}  // namespace

void ClaimReplica::startVoteHistory(std::size_t group, WallMilliseconds now) {
  voteHistoryStart_.at(group) = advanceClock(now);
}

ClaimReply ClaimReplica::vote(const ClaimRequest& request, WallMilliseconds now) {
  const WallMilliseconds time = advanceClock(now);
  ClaimReply reply;
  reply.key = request.key;
  reply.token = request.token;
  if (tooOld(request.key, time)) {
    reply.vote = Vote::kKeyTooOld;
    return reply;
  }
  const auto found = records_.find(request.key);
  if (found == records_.end()) {
    reply.vote = voteOnNewAttempt(request, time);
    return reply;
  }
  Record& record = found->second;
  reply.holder = record.holder;
  if (record.holder == request.token) {
    reply.vote = repeatVote(request.key, record);
    return reply;
  }
  switch (record.state) {
    case State::kCompleted:
      reply.vote = Vote::kCompleted;
      reply.outcome = *record.outcome;
      return reply;
    case State::kHeld:
      reply.vote = Vote::kHeldByOther;
      return reply;
    case State::kReleased:
      reply.vote = voteOnNewAttempt(request, time);
      return reply;
  }
  return reply;
}

Vote ClaimReplica::repeatVote(const ClaimKey& key, const Record& record) const {
  if (record.state == State::kReleased) {
    return Vote::kGivenUp;
  }
  // A vote cast before the vote history began belongs to an epoch whose other votes are not known
  // here.
  const bool stale = settings_.rules.abstainAfterRestart && mayPrecedeVoteHistory(key);
  return stale ? Vote::kAbstained : Vote::kAccepted;
}

Vote ClaimReplica::voteOnNewAttempt(const ClaimRequest& request, WallMilliseconds now) {
  if (request.key.time() > now + toWallMilliseconds(settings_.maxClockSkew)) {
    return Vote::kKeyFromFuture;
  }
  if (settings_.rules.abstainAfterRestart && mayPrecedeVoteHistory(request.key)) {
    return Vote::kAbstained;
  }
  const bool known = records_.contains(request.key);
  if (!known && records_.size() >= settings_.maxRecords) {
    return Vote::kFull;
  }
  records_[request.key] = Record{request.token, State::kHeld, nullptr};
  return Vote::kAccepted;
}

void ClaimReplica::release(const ReleaseNotice& notice) {
  const auto found = records_.find(notice.key);
  if (found != records_.end() && found->second.holder == notice.token &&
      found->second.state == State::kHeld) {
    found->second.state = State::kReleased;
  }
}

void ClaimReplica::complete(const CompletedNotice& notice, WallMilliseconds now) {
  const WallMilliseconds time = advanceClock(now);
  const bool known = records_.contains(notice.key);
  const bool room = known || records_.size() < settings_.maxRecords;
  if (tooOld(notice.key, time) || !room) {
    return;
  }
  Record& record = records_[notice.key];
  record.holder = notice.token;
  record.state = State::kCompleted;
  record.outcome = std::make_unique<StoredOutcome>(notice.outcome);
}

void ClaimReplica::prune(WallMilliseconds now) {
  const WallMilliseconds time = advanceClock(now);
  while (!records_.empty() && tooOld(records_.begin()->first, time)) {
    records_.erase(records_.begin());
  }
}

WallMilliseconds ClaimReplica::advanceClock(WallMilliseconds now) {
  latest_ = std::max(latest_, now);
  return latest_;
}

bool ClaimReplica::tooOld(const ClaimKey& key, WallMilliseconds now) const {
  return key.time() + toWallMilliseconds(settings_.retention) <= now;
}

bool ClaimReplica::mayPrecedeVoteHistory(const ClaimKey& key) const {
  return key.time() <=
         voteHistoryStart_.at(key.group()) + 2 * toWallMilliseconds(settings_.maxClockSkew);
}

}  // namespace calicodrift::claims
