#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"

namespace calicodrift::routing {

/// Measures the share of a router's recent work that each prefix has. Counts halve with every
/// half-life, so a prefix that is no longer requested cools automatically. Bounded: a new prefix
/// replaces the coolest one of a small set, so only relevant prefixes are kept.
class PrefixHeat {
 public:
  PrefixHeat(std::size_t prefixes, Milliseconds halfLife);

  /// Counts work for the prefix; called once per request and prefix, after countTotal().
  void count(BlockHash prefix, double work, MonotonicTime now);
  void countTotal(double work, MonotonicTime now);
  /// Returns the share, from 0 to 1, biased low while little has been counted: a few requests for a
  /// prefix are no evidence of heat, so a number of virtual requests for other prefixes is added to
  /// the total.
  double shareOf(BlockHash prefix, MonotonicTime now) const;

 private:
  struct Counter {
    std::uint64_t prefix = 0;
    double work = 0;
    MonotonicTime time;
  };
  static constexpr std::size_t kWays = 4;

  double decayed(const Counter& counter, MonotonicTime now) const;
  void addTo(Counter& counter, double work, MonotonicTime now) const;

  std::vector<Counter> counters_;
  std::size_t setMask_;
  Milliseconds halfLife_;
  Counter total_;
};

}  // namespace calicodrift::routing
