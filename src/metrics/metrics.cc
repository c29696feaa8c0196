#include "metrics/metrics.h"

#include <prometheus/text_serializer.h>

namespace calicodrift::metrics {

std::string renderText(const prometheus::Registry& registry) {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry.Collect());
}

const prometheus::Histogram::BucketBoundaries& latencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets{
      0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 0.88, 1.5, 3, 6, 15, 30, 60};
  return buckets;
}

}  // namespace calicodrift::metrics
