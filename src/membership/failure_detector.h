#pragma once

#include <functional>
#include <map>

#include "membership/context.h"

namespace calicodrift::membership {

/// Finds failed members: direct ping, pings through others, suspicion, death.
///
/// A member is called dead only after it had the suspicion time to contradict. One member of the
/// own zone and one of another zone is pinged a period; the second kind finds the loss of whole
/// zones, which have nobody left to report it.
class FailureDetector {
 public:
  /// Called with a record that says suspect or dead.
  using Reporter = std::function<void(const MemberRecord&)>;

  FailureDetector(MembershipContext& context, Reporter report)
      : context_(context), report_(std::move(report)) {}

  void tick(MonotonicTime now);
  /// After a pause of this process: forgets open probes, as their Acks may wait unread, and gives
  /// the suspected ones their time again.
  void forgivePause(Milliseconds pause);
  /// The table has changed for `member`.
  void onChange(MemberKey member, MemberChange change, MonotonicTime now);

  void onPingRequest(const Endpoint& from, const PingRequest& request, MonotonicTime now);
  /// Handles an Ack by `sender`, the own ones and those to pass on.
  void onAck(const Sender& sender, const Ack& ack);
  void onRelayedAck(const RelayedAck& ack);

 private:
  struct Probe {
    MemberKey target = 0;
    MonotonicTime directDeadline;
    MonotonicTime finalDeadline;
    bool indirectSent = false;
  };
  struct Relay {
    Endpoint requester;
    std::uint32_t sequence = 0;
    MonotonicTime expires;
  };

  void checkProbes(MonotonicTime now);
  void checkSuspicions(MonotonicTime now);
  void startRound(MonotonicTime now);
  void startProbe(MemberKey target, MonotonicTime now);
  void askOthers(std::uint32_t sequence, const Probe& probe);
  void reconnect();
  void confirm(std::uint32_t sequence, MemberKey sender);
  void report(MemberKey member, MemberState state);
  Milliseconds suspicionTime() const;

  MembershipContext& context_;
  Reporter report_;
  std::map<std::uint32_t, Probe> probes_;
  std::map<std::uint32_t, Relay> relays_;
  /// Until when each suspected member may contradict.
  std::map<MemberKey, MonotonicTime> suspicions_;
  std::uint32_t nextSequence_ = 1;
  std::uint64_t rounds_ = 0;
  MonotonicTime nextRound_{};
};

}  // namespace calicodrift::membership
