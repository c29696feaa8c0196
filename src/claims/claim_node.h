#pragma once

#include <deque>
#include <functional>

#include "claims/claim_proposer.h"
#include "claims/claim_replica.h"
#include "claims/metrics.h"
#include "claims/view_agent.h"
#include "peer/transport.h"

namespace calicodrift::claims {

/// Claims module of one node: replica, view agent and proposer over one transport channel. Performs
/// no I/O of its own and is not thread-safe.
class ClaimNode {
 public:
  using Clock = std::function<ClockReading()>;

  /// @param seed makes attempt tokens unique; must differ for every node and every process start.
  ClaimNode(const ClaimSettings& settings, peer::Transport& transport,
            const peer::PeerDirectory& directory, ViewStore& store, ClaimMetrics& metrics,
            Clock clock, std::uint64_t seed);
  ClaimNode(const ClaimNode&) = delete;
  ClaimNode& operator=(const ClaimNode&) = delete;

  /// Drives timeouts and retransmissions; must be called every few milliseconds.
  void tick();
  /// Calls `done` exactly once, within the claim timeout: synchronously, from tick() or when a
  /// message is received.
  void claim(const ClaimKey& key, ClaimProposer::Done done);
  void complete(const ClaimKey& key, AttemptToken token, StoredOutcome outcome);
  void release(const ClaimKey& key, AttemptToken token);

  const ClaimView& view() const { return viewAgent_.view(); }
  std::size_t votingGroups() const { return viewAgent_.votingGroups(); }
  std::size_t records() const { return replica_.records(); }

 private:
  void send(const Endpoint& to, const ClaimMessage& message);
  void receive(const Endpoint& from, std::string_view payload);
  void dispatch(const Endpoint& from, const ClaimMessage& message);
  /// Handles the messages that this node has sent to itself. Not called from send(), so that
  /// message handlers are not re-entered.
  void deliverLocalMessages();
  ClaimReply voteOn(const ClaimRequest& request);

  const ClaimSettings settings_;
  peer::Transport& transport_;
  const peer::PeerDirectory& directory_;
  ClaimMetrics& metrics_;
  Clock clock_;
  ClaimReplica replica_;
  ViewAgent viewAgent_;
  ClaimProposer proposer_;
  std::deque<ClaimMessage> localMessages_;
  bool delivering_ = false;
};

}  // namespace calicodrift::claims
