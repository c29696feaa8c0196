#pragma once

#include <random>

#include "membership/membership_settings.h"
#include "membership/messenger.h"
#include "membership/metrics.h"
#include "membership/peer_sampler.h"

namespace calicodrift::membership {

/// What the parts of one node's membership share. Owned by Membership.
struct MembershipContext {
  MembershipContext(MembershipSettings givenSettings, const MemberRecord& self,
                    peer::Transport& transport, std::uint64_t seed)
      : settings(std::move(givenSettings)),
        random(seed),
        table(self),
        sampler(random),
        messenger(transport, table) {}
  MembershipContext(const MembershipContext&) = delete;
  MembershipContext& operator=(const MembershipContext&) = delete;

  /// `period` times a random factor between 0.5 and 1.5, so that nodes don't act in step.
  Milliseconds jittered(Milliseconds period) {
    std::uniform_int_distribution<std::int64_t> span(period.count() / 2,
                                                     period.count() + period.count() / 2);
    return Milliseconds(span(random));
  }

  MembershipSettings settings;
  std::mt19937_64 random;
  MemberTable table;
  PeerSampler sampler;
  Messenger messenger;
  MembershipCounters counters;
};

}  // namespace calicodrift::membership
