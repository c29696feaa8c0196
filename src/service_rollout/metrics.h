#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "metrics/metrics.h"
#include "service_rollout/observations.h"
#include "service_rollout/order.h"
#include "service_rollout/service_record.h"
#include "service_rollout/traffic_rules.h"

namespace calicodrift::service_rollout {

/// One series per service with value 1, whose labels describe the state of its roll-out at this
/// node.
inline constexpr std::string_view kRolloutInfoMetric = "calicodrift_service_rollout_info";
inline constexpr std::string_view kRolloutReachedMetric = "calicodrift_service_rollout_reached";
inline constexpr std::string_view kRolloutExposedMetric = "calicodrift_service_rollout_exposed";
inline constexpr std::string_view kRolloutEvidenceMetric = "calicodrift_service_rollout_evidence";
inline constexpr std::string_view kRolloutAgeMetric = "calicodrift_service_rollout_age_seconds";

/// What one node knows of a service's roll-out; shown to operators.
struct RolloutStatus {
  std::string service;
  SoftwareVersion stable;
  /// From the record of the order in progress; empty if there is none.
  SoftwareVersion candidate;
  Phase phase = Phase::kSteady;
  /// Which requests this node currently sends to the candidate.
  CandidateUse use = CandidateUse::kNothing;
  /// Target and state of the order as the operator reads them; empty and kNew without an order.
  SoftwareVersion target;
  OrderState state = OrderState::kNew;
  std::string verdict;
  /// Logarithm of the likelihood ratio against the candidate, from this node's canary analyzer.
  double evidence = 0;
  /// Requests to either version and to the candidate since the order, over all nodes.
  std::uint64_t reached = 0;
  std::uint64_t exposed = 0;
  Milliseconds age{0};
};

/// Metrics of the module. They have one series per service with an order or a record.
class RolloutMetrics {
 public:
  explicit RolloutMetrics(prometheus::Registry& registry);

  /// Replaces the status shown for all services.
  void setStatuses(const std::vector<RolloutStatus>& services);
  /// Counts a request sent by this node while an order was in progress.
  void countSent(const std::string& service, Track track);
  /// Counts a candidate that this node rejected itself or learned to be rejected.
  void countRejection(const std::string& service);
  /// Counts a write of a record or a state by this node, and whether it succeeded.
  void countWrite(const std::string& object, bool written);

 private:
  /// A metric family and its current series.
  struct Gauges {
    prometheus::Family<prometheus::Gauge>* family;
    std::vector<prometheus::Gauge*> series;

    void clear();
    void add(const prometheus::Labels& labels, double value);
  };

  Gauges info_;
  Gauges reached_;
  Gauges exposed_;
  Gauges age_;
  Gauges evidence_;
  prometheus::Family<prometheus::Counter>& sent_;
  prometheus::Family<prometheus::Counter>& rejections_;
  prometheus::Family<prometheus::Counter>& writes_;
};

}  // namespace calicodrift::service_rollout
