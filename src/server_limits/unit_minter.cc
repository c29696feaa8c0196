#include "server_limits/unit_minter.h"

#include <algorithm>

namespace calicodrift::server_limits {

double UnitMinter::heldUnits(double perSecond) {
  constexpr double kLeast = 2;
  constexpr double kHeldSeconds = 0.25;
  return kLeast + kHeldSeconds * perSecond;
}

UnitDecision UnitMinter::take(const LimitFact& limit, MonotonicTime settledAt, MonotonicTime now) {
  const auto [found, isNew] = buckets_.try_emplace(limit.server);
  Bucket& bucket = found->second;
  bucket.lastAsked = now;
  bucket.units.setLimit(limit.perSecond, heldUnits(limit.perSecond), now);
  if (isNew) {
    bucket.units.setContent(0, now);
  }
  bucket.unsettled = bucket.unsettled && now < settledAt;
  if (bucket.unsettled) {
    // What refills now is another node's to give.
    bucket.units.setContent(0, now);
    return {false, std::chrono::ceil<Milliseconds>(settledAt - now)};
  }
  if (limit.perSecond > 0 && bucket.units.tryTake(1, 0, now)) {
    bucket.lastGiven = now;
    return {true, Milliseconds(0)};
  }
  const Milliseconds wait = limit.perSecond > 0 ? bucket.units.waitFor(1, now) : kLongestWait;
  return {false, std::clamp(wait, Milliseconds(1), kLongestWait)};
}

void UnitMinter::giveBack(fleet::ServerKey server, MonotonicTime now) {
  const auto found = buckets_.find(server);
  if (found != buckets_.end()) {
    limits::TokenBucket& units = found->second.units;
    units.setContent(units.contentAt(now) + 1, now);
  }
}

const UnitMinter::Bucket* UnitMinter::find(fleet::ServerKey server) const {
  const auto found = buckets_.find(server);
  return found == buckets_.end() ? nullptr : &found->second;
}

std::optional<MonotonicTime> UnitMinter::lastAsked(fleet::ServerKey server) const {
  const Bucket* bucket = find(server);
  return bucket == nullptr ? std::nullopt : bucket->lastAsked;
}

std::optional<MonotonicTime> UnitMinter::lastGiven(fleet::ServerKey server) const {
  const Bucket* bucket = find(server);
  return bucket == nullptr ? std::nullopt : bucket->lastGiven;
}

}  // namespace calicodrift::server_limits
