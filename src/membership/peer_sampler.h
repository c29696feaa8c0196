#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "membership/member.h"

namespace calicodrift::membership {

/// Members in shuffled order, shuffled anew after each round: every member comes once a round, so
/// the time until a given one is probed has a bound.
class ProbeSchedule {
 public:
  explicit ProbeSchedule(std::mt19937_64& random) : random_(random) {}
  void add(MemberKey member);
  void remove(MemberKey member);
  std::optional<MemberKey> next();
  const std::vector<MemberKey>& members() const { return order_; }

 private:
  std::mt19937_64& random_;
  std::vector<MemberKey> order_;
  std::size_t position_ = 0;
};

/// The present members other than self, in the own zone and in all others.
class PeerSampler {
 public:
  explicit PeerSampler(std::mt19937_64& random);

  void add(MemberKey member, bool sameZone);
  void remove(MemberKey member);
  ProbeSchedule& zone() { return zone_; }
  ProbeSchedule& remote() { return remote_; }
  std::size_t size() const { return zone_.members().size() + remote_.members().size(); }
  /// At most `count` different members other than `excluded`, chosen at random from all zones.
  std::vector<MemberKey> sample(std::size_t count, MemberKey excluded) const;

 private:
  MemberKey at(std::size_t index) const;

  std::mt19937_64& random_;
  ProbeSchedule zone_;
  ProbeSchedule remote_;
};

}  // namespace calicodrift::membership
