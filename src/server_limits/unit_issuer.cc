#include "server_limits/unit_issuer.h"

#include <algorithm>

namespace calicodrift::server_limits {

double UnitIssuer::burstCapacity(double perSecond) {
  constexpr double kMinBurst = 2;
  constexpr double kBurstSeconds = 0.25;
  return kMinBurst + kBurstSeconds * perSecond;
}

UnitDecision UnitIssuer::take(const LimitRecord& limit, MonotonicTime settledAt,
                              MonotonicTime now) {
  const auto [found, isNew] = buckets_.try_emplace(limit.server);
  Bucket& bucket = found->second;
  bucket.lastRequested = now;
  bucket.units.setLimit(limit.perSecond, burstCapacity(limit.perSecond), now);
  if (isNew) {
    bucket.units.setContent(0, now);
  }
  bucket.awaitingPredecessor = bucket.awaitingPredecessor && now < settledAt;
  if (bucket.awaitingPredecessor) {
    // Units refilled until then belong to the previous issuer.
    bucket.units.setContent(0, now);
    return {false, std::chrono::ceil<Milliseconds>(settledAt - now)};
  }
  if (limit.perSecond > 0 && bucket.units.tryTake(1, 0, now)) {
    bucket.lastGranted = now;
    return {true, Milliseconds(0)};
  }
  const Milliseconds wait = limit.perSecond > 0 ? bucket.units.waitFor(1, now) : kMaxWait;
  return {false, std::clamp(wait, Milliseconds(1), kMaxWait)};
}

void UnitIssuer::giveBack(fleet::ServerKey server, MonotonicTime now) {
  const auto found = buckets_.find(server);
  if (found != buckets_.end()) {
    limits::TokenBucket& units = found->second.units;
    units.setContent(units.contentAt(now) + 1, now);
  }
}

const UnitIssuer::Bucket* UnitIssuer::find(fleet::ServerKey server) const {
  const auto found = buckets_.find(server);
  return found == buckets_.end() ? nullptr : &found->second;
}

std::optional<MonotonicTime> UnitIssuer::lastRequested(fleet::ServerKey server) const {
  const Bucket* bucket = find(server);
  return bucket == nullptr ? std::nullopt : bucket->lastRequested;
}

std::optional<MonotonicTime> UnitIssuer::lastGranted(fleet::ServerKey server) const {
  const Bucket* bucket = find(server);
  return bucket == nullptr ? std::nullopt : bucket->lastGranted;
}

}  // namespace calicodrift::server_limits
