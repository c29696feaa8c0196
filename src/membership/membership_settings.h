#pragma once

#include <cstddef>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"

namespace calicodrift::membership {

/// Periods and bounds of the protocol; the same on all nodes of a fleet.
struct MembershipSettings {
  /// Nodes to join by. Own address may be among them.
  std::vector<Endpoint> seeds;
  /// Each node pings one member of its zone and one of another zone in this period.
  Milliseconds probeInterval{1000};
  /// Without an Ack after this, others are asked to ping the member.
  Milliseconds probeTimeout{300};
  /// How many others are asked.
  std::size_t indirectProbes = 3;
  /// Time to contradict a suspicion in a fleet of 10; grows with log10 of the size.
  Milliseconds suspicionTimeout{3000};
  /// How long the records of gone members are kept and dead ones are pinged now and then. Should
  /// exceed the longest partition that heals without seeds.
  Milliseconds tombstoneRetention{7'200'000};
  /// First pause between two requests to seeds; doubles up to 16 times, with jitter.
  Milliseconds joinRetry{500};

  /// Time between two calls of Membership::tick().
  Milliseconds tickInterval() const {
    constexpr int kTicksPerProbe = 5;
    return probeInterval / kTicksPerProbe;
  }
};

}  // namespace calicodrift::membership
