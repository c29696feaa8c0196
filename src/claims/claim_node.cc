#include "claims/claim_node.h"

#include <utility>

namespace calicodrift::claims {
namespace {

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

ClaimNode::ClaimNode(const ClaimSettings& settings, peer::Transport& transport,
                     const peer::PeerDirectory& directory, ViewStore& store, ClaimMetrics& metrics,
                     Clock clock, std::uint64_t seed)
    : settings_(settings),
      transport_(transport),
      directory_(directory),
      metrics_(metrics),
      clock_(std::move(clock)),
      replica_(settings_),
      viewAgent_(
          settings_, directory, store,
          [this](const Endpoint& to, const ClaimMessage& message) { send(to, message); },
          [this](std::size_t group, ClockReading now) {
            replica_.startVoteHistory(group, now.wall);
          },
          clock_()),
      proposer_(
          settings_, viewAgent_,
          [this](const Endpoint& to, const ClaimMessage& message) { send(to, message); }, seed) {
  transport_.setReceiver(
      peer::Channel::kClaims,
      [this](const Endpoint& from, std::string_view payload) { receive(from, payload); });
}

void ClaimNode::tick() {
  const ClockReading now = clock_();
  viewAgent_.tick(now);
  proposer_.tick(now);
  replica_.prune(now.wall);
  deliverLocalMessages();
  metrics_.setState(view(), votingGroups(), records());
}

void ClaimNode::claim(const ClaimKey& key, ClaimProposer::Done done) {
  auto counted = [this, done = std::move(done)](const ClaimResult& result) {
    metrics_.countVerdict(result.verdict);
    done(result);
  };
  proposer_.claim(key, clock_(), std::move(counted));
  deliverLocalMessages();
}

void ClaimNode::complete(const ClaimKey& key, AttemptToken token, StoredOutcome outcome) {
  proposer_.complete(key, token, std::move(outcome), clock_());
  deliverLocalMessages();
}

void ClaimNode::release(const ClaimKey& key, AttemptToken token) {
  proposer_.release(key, token, clock_());
  deliverLocalMessages();
}

void ClaimNode::send(const Endpoint& to, const ClaimMessage& message) {
  if (to == directory_.self().endpoint) {
    localMessages_.push_back(message);
    return;
  }
  transport_.send(to, peer::Channel::kClaims, peer::encode(message));
}

void ClaimNode::receive(const Endpoint& from, std::string_view payload) {
  const Result<ClaimMessage> message = peer::decode<ClaimMessage>(payload);
  if (!message) {
    metrics_.countMalformed();
    return;
  }
  dispatch(from, message.value());
  deliverLocalMessages();
}

void ClaimNode::deliverLocalMessages() {
  if (delivering_) {
    return;
  }
  delivering_ = true;
  while (!localMessages_.empty()) {
    const ClaimMessage message = std::move(localMessages_.front());
    localMessages_.pop_front();
    dispatch(directory_.self().endpoint, message);
  }
  delivering_ = false;
}

void ClaimNode::dispatch(const Endpoint& from, const ClaimMessage& message) {
  const ClockReading now = clock_();
  const Overloaded handlers{
      [&](const ClaimRequest& request) {
        viewAgent_.observeEpoch(from, request.epoch);
        const ClaimReply reply = voteOn(request);
        metrics_.countVote(reply.vote);
        send(from, reply);
      },
      [&](const ClaimReply& reply) {
        viewAgent_.observeEpoch(from, reply.epoch);
        proposer_.handle(reply, now);
      },
      [&](const ReleaseNotice& notice) { replica_.release(notice); },
      [&](const CompletedNotice& notice) { replica_.complete(notice, now.wall); },
      [&](const ViewRequest& request) { viewAgent_.handle(from, request); },
      [&](const ViewNotice& notice) { viewAgent_.handle(from, notice, now); },
      [&](const JoinRequest& request) { viewAgent_.handle(from, request, now); },
      [&](const JoinReply& reply) { viewAgent_.handle(from, reply, now); },
  };
  std::visit(handlers, message);
}

ClaimReply ClaimNode::voteOn(const ClaimRequest& request) {
  ClaimReply reply;
  reply.key = request.key;
  reply.token = request.token;
  const bool otherEpoch = request.epoch != viewAgent_.epoch() && settings_.rules.checkEpoch;
  if (otherEpoch) {
    reply.vote = Vote::kOtherEpoch;
  } else if (!viewAgent_.votes(request.key.group())) {
    reply.vote = Vote::kAbstained;
  } else {
    reply = replica_.vote(request, clock_().wall);
  }
  reply.epoch = viewAgent_.epoch();
  reply.replica = directory_.self().id;
  return reply;
}

}  // namespace calicodrift::claims
