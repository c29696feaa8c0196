#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "common/clock.h"
#include "common/strong_type.h"
#include "fleet/track.h"
#include "service_rollout/order.h"

namespace calicodrift::service_rollout {

using fleet::kTrackCount;
using fleet::Track;

/// Compact identifier of a route in messages between nodes: the hash of its name.
using RouteKey = StrongType<struct RouteKeyTag, std::uint64_t>;

/// Histogram of the ratio of an answer's time to the expected time of its work, in steps of a
/// factor of the square root of two: bucket i counts ratios from 2^((i-4)/2) on; the first and last
/// bucket are unbounded.
inline constexpr std::size_t kRatioBuckets = 16;
using RatioHistogram = std::array<std::uint32_t, kRatioBuckets>;
std::size_t ratioBucket(double ratio);

/// Answers of one version on one route since the order was accepted. Counts of several nodes can be
/// added.
struct RouteSample {
  std::uint32_t answered = 0;
  /// Failures answered by the server itself, and streams that it broke off while it stayed alive.
  std::uint32_t failed = 0;
  /// Time to the response head or first event, relative to queue, prefill and base time.
  RatioHistogram start{};
  /// Time between the events of a stream, relative to the usual pace at its load.
  RatioHistogram pace{};

  RouteSample& operator+=(const RouteSample& other);
  bool operator==(const RouteSample&) const = default;
};

/// Combined observations of several nodes for one order.
struct OrderObservations {
  OrderKey order;
  /// Time since the operator's write; the greatest value known to any of the nodes.
  Milliseconds age{0};
  /// Whether any node has found the candidate to be bad. Never reset.
  bool rejected = false;
  /// Requests sent to either version, and to the candidate; retries are included.
  std::uint64_t reached = 0;
  std::uint64_t exposed = 0;
  std::map<RouteKey, std::array<RouteSample, kTrackCount>> routes;

  /// Adds other nodes' observations of the same order.
  OrderObservations& operator+=(const OrderObservations& other);
};

/// Observations by order; at most a few services are rolled out at once.
using ObservationTable = std::map<OrderKey, OrderObservations>;
void addObservations(ObservationTable& sum, const ObservationTable& more);

/// One answer as observed in the data path.
struct AnswerObservation {
  RouteKey route;
  Track track = Track::kStable;
  bool failed = false;
  /// Empty if the answer is not indicative of speed: its server warms up or loads weights.
  std::optional<double> startRatio;
  std::optional<double> paceRatio;
};

}  // namespace calicodrift::service_rollout
