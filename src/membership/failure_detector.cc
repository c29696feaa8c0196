#include "membership/failure_detector.h"

#include <algorithm>
#include <cmath>

namespace calicodrift::membership {
namespace {

/// Suspected members that are pinged each period besides the scheduled ones.
constexpr std::size_t kSuspectsPerRound = 4;
/// A dead member or a missing seed is pinged once in so many rounds.
constexpr std::uint64_t kRoundsPerReconnect = 10;

}  // namespace

void FailureDetector::tick(MonotonicTime now) {
  std::erase_if(relays_, [now](const auto& relay) { return relay.second.expires <= now; });
  checkProbes(now);
  checkSuspicions(now);
  if (nextRound_ == MonotonicTime{}) {
    // Nodes that start together must not go on in step.
    std::uniform_int_distribution<std::int64_t> phase(0, context_.settings.probeInterval.count());
    nextRound_ = now + Milliseconds(phase(context_.random));
  }
  if (now >= nextRound_) {
    nextRound_ = now + context_.settings.probeInterval;
    startRound(now);
  }
}

void FailureDetector::forgivePause(Milliseconds pause) {
  probes_.clear();
  for (auto& [member, deadline] : suspicions_) {
    deadline += pause;
  }
}

void FailureDetector::startRound(MonotonicTime now) {
  ++rounds_;
  for (ProbeSchedule* schedule : {&context_.sampler.zone(), &context_.sampler.remote()}) {
    if (const std::optional<MemberKey> target = schedule->next()) {
      startProbe(*target, now);
    }
  }
  std::size_t extra = 0;
  for (const auto& [member, deadline] : suspicions_) {
    if (++extra > kSuspectsPerRound) {
      break;
    }
    startProbe(member, now);
  }
  if (rounds_ % kRoundsPerReconnect == 0) {
    reconnect();
  }
}

void FailureDetector::startProbe(MemberKey target, MonotonicTime now) {
  const MemberRecord* record = context_.table.find(target);
  if (record == nullptr || !record->present()) {
    return;
  }
  ++context_.counters.probes;
  const std::uint32_t sequence = nextSequence_++;
  probes_[sequence] = Probe{target, now + context_.settings.probeTimeout,
                            now + context_.settings.probeInterval, false};
  std::vector<MemberRecord> first;
  if (record->state == MemberState::kSuspect) {
    first.push_back(*record);
  }
  context_.messenger.send(record->info.endpoint, Ping{sequence}, first);
}

void FailureDetector::askOthers(std::uint32_t sequence, const Probe& probe) {
  const MemberRecord* target = context_.table.find(probe.target);
  if (target == nullptr) {
    return;
  }
  const std::size_t count = context_.settings.indirectProbes;
  for (const MemberKey helper : context_.sampler.sample(count, probe.target)) {
    ++context_.counters.indirectProbes;
    context_.messenger.send(context_.table.find(helper)->info.endpoint,
                            PingRequest{sequence, target->info.endpoint});
  }
}

void FailureDetector::checkProbes(MonotonicTime now) {
  std::vector<MemberKey> failed;
  for (auto position = probes_.begin(); position != probes_.end();) {
    Probe& probe = position->second;
    if (now >= probe.finalDeadline) {
      failed.push_back(probe.target);
      position = probes_.erase(position);
      continue;
    }
    if (now >= probe.directDeadline && !probe.indirectSent) {
      probe.indirectSent = true;
      askOthers(position->first, probe);
    }
    ++position;
  }
  for (const MemberKey member : failed) {
    ++context_.counters.failedProbes;
    report(member, MemberState::kSuspect);
  }
}

void FailureDetector::checkSuspicions(MonotonicTime now) {
  std::vector<MemberKey> expired;
  for (const auto& [member, deadline] : suspicions_) {
    if (now >= deadline) {
      expired.push_back(member);
    }
  }
  for (const MemberKey member : expired) {
    report(member, MemberState::kDead);
  }
}

void FailureDetector::report(MemberKey member, MemberState state) {
  const MemberRecord* known = context_.table.find(member);
  if (known == nullptr || !known->present()) {
    return;
  }
  MemberRecord record = *known;
  record.state = state;
  report_(record);
}

Milliseconds FailureDetector::suspicionTime() const {
  const double scale = std::max(1.0, std::log10(context_.table.presentCount()));
  const auto base = static_cast<double>(context_.settings.suspicionTimeout.count());
  return Milliseconds(static_cast<std::int64_t>(base * scale));
}

void FailureDetector::onChange(MemberKey member, MemberChange change, MonotonicTime now) {
  if (change == MemberChange::kSuspected) {
    suspicions_.insert_or_assign(member, now + suspicionTime());
  } else {
    suspicions_.erase(member);
  }
}

void FailureDetector::reconnect() {
  std::vector<Endpoint> missing;
  for (const MemberKey member : context_.table.dead()) {
    missing.push_back(context_.table.find(member)->info.endpoint);
  }
  // Few seeds, once in many rounds: asking the whole table is cheap enough.
  std::vector<Endpoint> seeds = context_.settings.seeds;
  context_.table.forEachPresent(
      [&seeds](const MemberRecord& record) { std::erase(seeds, record.info.endpoint); });
  missing.insert(missing.end(), seeds.begin(), seeds.end());
  if (missing.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> index(0, missing.size() - 1);
  context_.messenger.send(missing[index(context_.random)], Ping{nextSequence_++});
}

void FailureDetector::onPingRequest(const Endpoint& from, const PingRequest& request,
                                    MonotonicTime now) {
  const std::uint32_t sequence = nextSequence_++;
  relays_[sequence] = Relay{from, request.sequence, now + context_.settings.probeInterval};
  context_.messenger.send(request.target, Ping{sequence});
}

void FailureDetector::onAck(const Sender& sender, const Ack& ack) {
  const auto relay = relays_.find(ack.sequence);
  if (relay != relays_.end()) {
    context_.messenger.send(relay->second.requester, RelayedAck{relay->second.sequence, sender.id});
    relays_.erase(relay);
    return;
  }
  confirm(ack.sequence, keyOf(sender.id));
}

void FailureDetector::onRelayedAck(const RelayedAck& ack) {
  confirm(ack.sequence, keyOf(ack.target));
}

void FailureDetector::confirm(std::uint32_t sequence, MemberKey sender) {
  const auto probe = probes_.find(sequence);
  // Another node may answer at the address of a gone one; that proves nothing of the target.
  if (probe != probes_.end() && probe->second.target == sender) {
    probes_.erase(probe);
  }
}

}  // namespace calicodrift::membership
