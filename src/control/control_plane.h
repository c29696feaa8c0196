#pragma once

#include <cstdint>
#include <functional>

#include "membership/membership.h"
#include "peer/transport.h"

namespace calicodrift::control {

struct ControlPlaneSettings {
  peer::PeerInfo self;
  membership::MembershipSettings membership;
  /// Of random choices; different on each node.
  std::uint64_t seed = 0;
};

/// A node's control side on one peer transport: what the real router and the hollow nodes of the
/// capacity measurement both run. Without I/O of its own: the owner calls tick() once in
/// tickInterval().
class ControlPlane {
 public:
  using Clock = std::function<MonotonicTime()>;

  ControlPlane(ControlPlaneSettings settings, peer::Transport& transport, Clock clock);

  void tick();
  Milliseconds tickInterval() const { return membership_.settings().tickInterval(); }
  /// Planned stop.
  void leave() { membership_.leave(clock_()); }

  membership::Membership& membership() { return membership_; }
  const membership::Membership& membership() const { return membership_; }

 private:
  Clock clock_;
  membership::Membership membership_;
};

}  // namespace calicodrift::control
