#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

/// Prometheus registry and its text form. Each module declares all of its counters in one header
/// of its own (`<module>/metrics.h`) and registers them here.
namespace calicodrift::metrics {

/// The Prometheus text page of everything in `registry`.
std::string renderText(const prometheus::Registry& registry);

/// Bucket bounds in seconds for latencies from 0.1 ms to 60 s.
const prometheus::Histogram::BucketBoundaries& latencyBuckets();

}  // namespace calicodrift::metrics
