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

using fleet::kTracks;
using fleet::Track;

/// Names a route between nodes in few bytes: the hash of its name.
using RouteKey = StrongType<struct RouteKeyTag, std::uint64_t>;

/// How long answers took against what their work should take, in steps of a factor of the square
/// root of two: bucket i counts ratios from 2^((i-4)/2) on; the first and last are open.
inline constexpr std::size_t kRatioBuckets = 16;
using RatioHistogram = std::array<std::uint32_t, kRatioBuckets>;
std::size_t ratioBucket(double ratio);

/// Answers of one version on one route since the order was accepted. Counts of nodes add up.
struct RouteSample {
  std::uint32_t answered = 0;
  /// Failures that the server answered itself, and streams that it broke off while it lived on.
  std::uint32_t failed = 0;
  /// Time to the head or first event, against queue, prefill and base time.
  RatioHistogram start{};
  /// Time between the events of a stream, against the pace that is usual for its load.
  RatioHistogram pace{};

  RouteSample& operator+=(const RouteSample& other);
  bool operator==(const RouteSample&) const = default;
};

/// What some nodes together have seen of one order.
struct OrderObservations {
  OrderKey order;
  /// Since the operator's write, as far as any of the nodes knows.
  Milliseconds age{0};
  /// One of the nodes has found the candidate to be bad. Never taken back.
  bool rejected = false;
  /// Requests sent to either version, and those to the candidate; second tries count as well.
  std::uint64_t reached = 0;
  std::uint64_t exposed = 0;
  std::map<RouteKey, std::array<RouteSample, kTracks>> routes;

  /// Adds what other nodes saw of the same order.
  OrderObservations& operator+=(const OrderObservations& other);
};

/// By order; at most a few services roll at once.
using ObservationTable = std::map<OrderKey, OrderObservations>;
void addObservations(ObservationTable& sum, const ObservationTable& more);

/// One answer, as the data path saw it.
struct AnswerObservation {
  RouteKey route;
  Track track = Track::kStable;
  bool failed = false;
  /// Nothing where the answer says nothing of speed: its server warms up or loads weights.
  std::optional<double> startRatio;
  std::optional<double> paceRatio;
};

}  // namespace calicodrift::service_rollout
