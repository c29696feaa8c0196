#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "membership/context.h"
#include "membership/failure_detector.h"
#include "membership/joiner.h"
#include "membership/synchronizer.h"
#include "peer/directory.h"

/// Who the other router nodes are and which of them are alive: a protocol in the manner of SWIM
/// with probes within the zone and sampled ones across zones. docs/design/membership.md says why.
namespace calicodrift::membership {

/// One node's membership: a state machine without I/O. The owner calls tick() once in
/// settings.tickInterval() and passes every message of the channel to receive().
class Membership : public peer::PeerDirectory {
 public:
  /// Called after the table has changed; `record` is the new one. Also called with this node's own
  /// record and kDied when it finds that others had declared it dead.
  using Listener = std::function<void(const MemberRecord& record, MemberChange change)>;

  /// @param self `incarnation` should be the time of the start; it is raised if peers remember a
  ///   later one.
  /// @param seed of the random choices; different on each node.
  Membership(MembershipSettings settings, const peer::PeerInfo& self, peer::Transport& transport,
             std::uint64_t seed);

  void addListener(Listener listener) { listeners_.push_back(std::move(listener)); }
  void tick(MonotonicTime now);
  void receive(MonotonicTime now, const Endpoint& from, std::string_view payload);
  /// Planned stop: tells others at once, and goes on to spread it in later ticks. Not undone.
  void leave(MonotonicTime now);

  const peer::PeerInfo& self() const override { return context_.table.self().info; }
  std::vector<peer::PeerInfo> alivePeers() const override;
  /// All known members with their states, itself included.
  const MemberTable& table() const { return context_.table; }
  const MembershipCounters& counters() const { return context_.counters; }
  const MembershipSettings& settings() const { return context_.settings; }
  /// Changes that this node still spreads.
  std::size_t pendingNews() const { return context_.messenger.news().size(); }
  /// The whole fleet's members have been fetched.
  bool joined() const { return joiner_.done(); }

 private:
  void dispatch(MonotonicTime now, const Endpoint& from, const Envelope& envelope);
  /// Whether a record is passed on to others.
  enum class Spread { kNo, kYes };

  void apply(const MemberRecord& record, MonotonicTime now, Spread spread);
  void applyToSelf(const MemberRecord& record, MonotonicTime now);
  /// Compares the sender's version with the known one: asks for its record or tells it what is
  /// believed of it.
  void checkSender(const Endpoint& from, const Envelope& envelope);
  void store(const MemberRecord& record, MonotonicTime now, Spread spread);
  void count(MemberChange change);
  void notify(const MemberRecord& record, MemberChange change);
  /// Tells so many random members that this node leaves.
  void tellOfLeave(std::size_t members);
  /// Called before anything else is done, so that a process that was stopped and goes on takes
  /// nothing for others' silence and knows that it may have been declared dead.
  void noticePause(MonotonicTime now);
  /// Comes back after a death that others believe in, or that the own pause makes likely.
  void rejoin(const MemberRecord& believed, MonotonicTime now);

  MembershipContext context_;
  FailureDetector detector_;
  Synchronizer synchronizer_;
  Joiner joiner_;
  std::vector<Listener> listeners_;
  bool left_ = false;
  unsigned leaveTicks_ = 0;
  MonotonicTime now_{};
  MonotonicTime lastTick_{};
  MonotonicTime nextForgetting_{};
  MonotonicTime nextNameConflict_{};
};

}  // namespace calicodrift::membership
