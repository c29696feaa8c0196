#include "routing/prefix_heat.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace calicodrift::routing {

PrefixHeat::PrefixHeat(std::size_t prefixes, Milliseconds halfLife)
    : counters_(std::bit_ceil(std::max(prefixes, kWays))),
      setMask_(counters_.size() / kWays - 1),
      halfLife_(halfLife) {}

void PrefixHeat::count(BlockHash prefix, double work, MonotonicTime now) {
  Counter* set = &counters_[(prefix.value() & setMask_) * kWays];
  for (std::size_t way = 0; way < kWays; ++way) {
    if (set[way].prefix == prefix.value()) {
      addTo(set[way], work, now);
      return;
    }
  }
  Counter* coolest = set;
  for (std::size_t way = 1; way < kWays; ++way) {
    if (decayed(set[way], now) < decayed(*coolest, now)) {
      coolest = &set[way];
    }
  }
  *coolest = {prefix.value(), work, now};
}

void PrefixHeat::countTotal(double work, MonotonicTime now) {
  addTo(total_, work, now);
}

double PrefixHeat::shareOf(BlockHash prefix, MonotonicTime now) const {
  constexpr double kVirtualWork = 50;
  constexpr double kNoise = 2;
  const Counter* set = &counters_[(prefix.value() & setMask_) * kWays];
  for (std::size_t way = 0; way < kWays; ++way) {
    if (set[way].prefix == prefix.value()) {
      const double beyondNoise = std::max(0.0, decayed(set[way], now) - kNoise);
      return beyondNoise / (decayed(total_, now) + kVirtualWork);
    }
  }
  return 0;
}

double PrefixHeat::decayed(const Counter& counter, MonotonicTime now) const {
  const double halfLives = toMilliseconds(now - counter.time) / toMilliseconds(halfLife_);
  return counter.work * std::exp2(-halfLives);
}

void PrefixHeat::addTo(Counter& counter, double work, MonotonicTime now) const {
  counter.work = decayed(counter, now) + work;
  counter.time = now;
}

}  // namespace calicodrift::routing
