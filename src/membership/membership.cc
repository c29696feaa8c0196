#include "membership/membership.h"

#include <algorithm>

#include "peer/codec.h"

namespace calicodrift::membership {
namespace {

/// Members that are told of a planned stop at once.
constexpr std::size_t kLeaveFanOut = 8;
/// Members that are told in each of the next ticks, while the process still runs.
constexpr std::size_t kLeaveTickFanOut = 2;
constexpr unsigned kLeaveTicks = 25;
constexpr Milliseconds kForgettingInterval{30'000};

}  // namespace

Membership::Membership(MembershipSettings settings, const peer::PeerInfo& self,
                       peer::Transport& transport, std::uint64_t seed)
    : context_(std::move(settings), MemberRecord{self, 0, MemberState::kAlive}, transport, seed),
      detector_(context_,
                [this](const MemberRecord& record) { apply(record, now_, Spread::kYes); }),
      synchronizer_(context_),
      joiner_(context_) {
  context_.messenger.news().add(context_.table.selfKey());
}

void Membership::tick(MonotonicTime now) {
  now_ = now;
  noticePause(now);
  lastTick_ = now;
  if (left_) {
    if (leaveTicks_ < kLeaveTicks) {
      ++leaveTicks_;
      tellOfLeave(kLeaveTickFanOut);
    }
    return;
  }
  joiner_.tick(now);
  detector_.tick(now);
  if (now >= nextForgetting_) {
    nextForgetting_ = now + kForgettingInterval;
    context_.table.forgetTombstones(now, context_.settings.tombstoneRetention);
  }
}

void Membership::noticePause(MonotonicTime now) {
  const auto pause = std::chrono::duration_cast<Milliseconds>(now - lastTick_);
  if (lastTick_ == MonotonicTime{} || pause <= context_.settings.probeInterval) {
    return;
  }
  lastTick_ = now;
  ++context_.counters.pauses;
  detector_.forgivePause(pause);
  if (pause >= context_.settings.suspicionTimeout && !left_) {
    rejoin(context_.table.self(), now);
  }
}

void Membership::rejoin(const MemberRecord& believed, MonotonicTime now) {
  MemberRecord contradiction = context_.table.self();
  contradiction.refutations = believed.refutations + 1;
  MemberRecord death = believed;
  death.state = MemberState::kDead;
  ++context_.counters.declaredDead;
  store(contradiction, now, Spread::kYes);
  notify(death, MemberChange::kDied);
}

void Membership::receive(MonotonicTime now, const Endpoint& from, std::string_view payload) {
  now_ = now;
  noticePause(now);
  const Result<Envelope> decoded = peer::decode<Envelope>(payload);
  if (!decoded) {
    ++context_.counters.malformed;
    return;
  }
  const Envelope& envelope = decoded.value();
  if (envelope.sender.id == self().id && from == self().endpoint) {
    return;
  }
  const Spread spread = spreadsRecords(envelope.body) ? Spread::kYes : Spread::kNo;
  for (const MemberRecord& record : envelope.records) {
    apply(record, now, spread);
  }
  checkSender(from, envelope);
  dispatch(now, from, envelope);
  if (joiner_.done() && !left_) {
    joiner_.onDigest(envelope.digest, now);
    synchronizer_.onDigest(from, envelope.digest, now);
  }
}

void Membership::dispatch(MonotonicTime now, const Endpoint& from, const Envelope& envelope) {
  const Body& body = envelope.body;
  if (const auto* ping = std::get_if<Ping>(&body)) {
    context_.messenger.send(from, Ack{ping->sequence});
  } else if (const auto* ack = std::get_if<Ack>(&body)) {
    detector_.onAck(envelope.sender, *ack);
  } else if (const auto* pingRequest = std::get_if<PingRequest>(&body)) {
    detector_.onPingRequest(from, *pingRequest, now);
  } else if (const auto* relayed = std::get_if<RelayedAck>(&body)) {
    detector_.onRelayedAck(*relayed);
  } else if (std::holds_alternative<Join>(body)) {
    joiner_.onJoin(from, envelope.sender);
  } else if (const auto* pageRequest = std::get_if<PageRequest>(&body)) {
    joiner_.onPageRequest(from, *pageRequest);
  } else if (const auto* page = std::get_if<Page>(&body)) {
    joiner_.onPage(*page, now);
  } else if (const auto* summaries = std::get_if<ZoneSummaries>(&body)) {
    synchronizer_.onZoneSummaries(from, *summaries);
  } else if (const auto* keys = std::get_if<KeyPages>(&body)) {
    synchronizer_.onKeyPages(from, *keys);
  } else if (const auto* request = std::get_if<RecordRequest>(&body)) {
    synchronizer_.onRecordRequest(from, *request);
  }
}

void Membership::checkSender(const Endpoint& from, const Envelope& envelope) {
  const Sender& sender = envelope.sender;
  const MemberRecord* known = context_.table.find(keyOf(sender.id));
  const auto version = std::tie(sender.incarnation, sender.refutations);
  if (known == nullptr || version > std::tie(known->info.incarnation, known->refutations)) {
    context_.messenger.send(from, RecordRequest{{keyOf(sender.id)}});
    return;
  }
  // Gossip gets no answer, so that two nodes can't go on telling each other the same.
  const bool outdated = version < std::tie(known->info.incarnation, known->refutations);
  const bool doubted = known->state != MemberState::kAlive;
  if ((outdated || doubted) && !std::holds_alternative<Gossip>(envelope.body)) {
    context_.messenger.send(from, Gossip{}, {*known});
  }
}

void Membership::apply(const MemberRecord& record, MonotonicTime now, Spread spread) {
  if (record.info.id == self().id) {
    applyToSelf(record, now);
  } else {
    store(record, now, spread);
  }
}

void Membership::applyToSelf(const MemberRecord& record, MonotonicTime now) {
  const MemberRecord& own = context_.table.self();
  if (left_ || !record.supersedes(own)) {
    return;
  }
  ++context_.counters.refutations;
  MemberRecord contradiction = own;
  if (record.info.incarnation > own.info.incarnation) {
    // Either this node's clock was set back between its last start and this one, or another
    // process has the same name. The pause keeps two such processes from racing each other up.
    if (now < nextNameConflict_) {
      return;
    }
    nextNameConflict_ = now + context_.settings.suspicionTimeout;
    ++context_.counters.nameConflicts;
    contradiction.info.incarnation = Incarnation(record.info.incarnation.value() + 1);
    contradiction.refutations = 0;
  } else if (record.present()) {
    contradiction.refutations = record.refutations + 1;
  } else {
    rejoin(record, now);
    return;
  }
  store(contradiction, now, Spread::kYes);
}

void Membership::store(const MemberRecord& record, MonotonicTime now, Spread spread) {
  const std::optional<MemberChange> change = context_.table.apply(record, now);
  if (!change) {
    return;
  }
  const MemberKey key = keyOf(record.info.id);
  if (spread == Spread::kYes) {
    context_.messenger.news().add(key);
  }
  if (key == context_.table.selfKey()) {
    return;
  }
  if (record.present()) {
    context_.sampler.add(key, record.info.zone == self().zone);
  } else {
    context_.sampler.remove(key);
  }
  detector_.onChange(key, *change, now);
  count(*change);
  notify(*context_.table.find(key), *change);
}

void Membership::count(MemberChange change) {
  MembershipCounters& counters = context_.counters;
  switch (change) {
    case MemberChange::kJoined:
      ++counters.joins;
      break;
    case MemberChange::kRestarted:
      ++counters.restarts;
      break;
    case MemberChange::kSuspected:
      ++counters.suspicions;
      break;
    case MemberChange::kDied:
      ++counters.deaths;
      break;
    case MemberChange::kLeft:
      ++counters.leaves;
      break;
    case MemberChange::kRefuted:
    case MemberChange::kUpdated:
      break;
  }
}

void Membership::notify(const MemberRecord& record, MemberChange change) {
  for (const Listener& listener : listeners_) {
    listener(record, change);
  }
}

void Membership::leave(MonotonicTime now) {
  if (left_) {
    return;
  }
  now_ = now;
  left_ = true;
  MemberRecord record = context_.table.self();
  record.state = MemberState::kLeft;
  store(record, now, Spread::kYes);
  tellOfLeave(kLeaveFanOut);
}

void Membership::tellOfLeave(std::size_t members) {
  for (const MemberKey member : context_.sampler.sample(members, context_.table.selfKey())) {
    context_.messenger.send(context_.table.find(member)->info.endpoint, Gossip{},
                            {context_.table.self()});
  }
}

std::vector<peer::PeerInfo> Membership::alivePeers() const {
  std::vector<peer::PeerInfo> peers;
  peers.reserve(context_.table.presentCount());
  context_.table.forEachPresent([this, &peers](const MemberRecord& record) {
    if (record.info.id != self().id) {
      peers.push_back(record.info);
    }
  });
  return peers;
}

}  // namespace calicodrift::membership
