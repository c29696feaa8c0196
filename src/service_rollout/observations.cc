#include "service_rollout/observations.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace calicodrift::service_rollout {
namespace {

void addCount(std::uint32_t& sum, std::uint32_t more) {
  sum += std::min(more, std::numeric_limits<std::uint32_t>::max() - sum);
}

void addHistogram(RatioHistogram& sum, const RatioHistogram& more) {
  for (std::size_t bucket = 0; bucket < kRatioBuckets; ++bucket) {
    addCount(sum[bucket], more[bucket]);
  }
}

}  // namespace

std::size_t ratioBucket(double ratio) {
  constexpr double kBucketsPerOctave = 2;
  /// Bucket of the ratio 1.
  constexpr double kUnitRatioBucket = 4;
  if (!(ratio > 0)) {
    return 0;
  }
  const double bucket = std::floor(std::log2(ratio) * kBucketsPerOctave + kUnitRatioBucket);
  return static_cast<std::size_t>(std::clamp(bucket, 0.0, double{kRatioBuckets - 1}));
}

RouteSample& RouteSample::operator+=(const RouteSample& other) {
  addCount(answered, other.answered);
  addCount(failed, other.failed);
  addHistogram(start, other.start);
  addHistogram(pace, other.pace);
  return *this;
}

OrderObservations& OrderObservations::operator+=(const OrderObservations& other) {
  age = std::max(age, other.age);
  rejected = rejected || other.rejected;
  reached += other.reached;
  exposed += other.exposed;
  for (const auto& [route, samples] : other.routes) {
    std::array<RouteSample, kTrackCount>& sum = routes[route];
    for (std::size_t track = 0; track < kTrackCount; ++track) {
      sum[track] += samples[track];
    }
  }
  return *this;
}

void addObservations(ObservationTable& sum, const ObservationTable& more) {
  for (const auto& [order, observations] : more) {
    OrderObservations& known = sum[order];
    known.order = order;
    known += observations;
  }
}

}  // namespace calicodrift::service_rollout
