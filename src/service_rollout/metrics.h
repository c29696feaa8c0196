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

/// One series a service with value 1, whose labels say how its roll-out stands at this node.
inline constexpr std::string_view kRolloutInfoMetric = "calicodrift_service_rollout_info";
inline constexpr std::string_view kRolloutReachedMetric = "calicodrift_service_rollout_reached";
inline constexpr std::string_view kRolloutExposedMetric = "calicodrift_service_rollout_exposed";
inline constexpr std::string_view kRolloutEvidenceMetric = "calicodrift_service_rollout_evidence";
inline constexpr std::string_view kRolloutAgeMetric = "calicodrift_service_rollout_age_seconds";

/// What one node knows of a service's roll-out, for operators.
struct RolloutStatus {
  std::string service;
  SoftwareVersion stable;
  /// Of the record under way; empty where there is none.
  SoftwareVersion candidate;
  Phase phase = Phase::kSteady;
  /// What this node sends to the candidate now.
  CandidateUse use = CandidateUse::kNothing;
  /// Target and state of the order as the operator reads it; empty and kNew without one.
  SoftwareVersion target;
  OrderState state = OrderState::kNew;
  std::string verdict;
  /// Logarithm of the likelihood ratio against the candidate, as the judge at this node has it.
  double evidence = 0;
  /// Over all nodes since the order: requests to either version, and those to the candidate.
  std::uint64_t reached = 0;
  std::uint64_t exposed = 0;
  Milliseconds age{0};
};

/// All counters and gauges of the module. By service: as many as have an order or a record.
class RolloutMetrics {
 public:
  explicit RolloutMetrics(prometheus::Registry& registry);

  /// Replaces what is shown of all services.
  void show(const std::vector<RolloutStatus>& services);
  /// A request was sent by this node while an order was under way.
  void countSent(const std::string& service, Track track);
  /// This node found, or heard, a candidate to be bad.
  void countRejection(const std::string& service);
  /// A record or a state was written by this node, or could not be.
  void countWrite(const std::string& object, bool written);

 private:
  /// A family, and its series that are shown now.
  struct Gauges {
    prometheus::Family<prometheus::Gauge>* family;
    std::vector<prometheus::Gauge*> shown;

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
