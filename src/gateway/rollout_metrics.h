#pragma once

#include <string>

#include "metrics/metrics.h"
#include "service_rollout/judge.h"
#include "service_rollout/observations.h"
#include "service_rollout/traffic_rules.h"

namespace calicodrift::gateway {

/// All counters and gauges of roll-outs of services, as this node sees them.
class RolloutMetrics {
 public:
  explicit RolloutMetrics(prometheus::Registry& registry);

  /// Requests of the service that this node sent to one of the two versions.
  void countSent(const std::string& service, service_rollout::Track track);
  /// 0: nothing, 1: canary, 2: everything.
  void setUse(const std::string& service, service_rollout::CandidateUse use);
  /// Over all nodes: requests that reached the service since the order, those that reached the
  /// candidate, the judge's evidence against it and its verdict (0 undecided, 1 sound, 2 bad).
  void setSeen(const std::string& service, const service_rollout::OrderObservations& seen,
               double evidence, service_rollout::Verdict verdict);
  void countRejection(const std::string& service);
  /// @param outcome "written", "conflict" or "failed".
  void countWrite(const std::string& what, const std::string& outcome);

 private:
  prometheus::Family<prometheus::Counter>& sent_;
  prometheus::Family<prometheus::Gauge>& use_;
  prometheus::Family<prometheus::Gauge>& reached_;
  prometheus::Family<prometheus::Gauge>& exposed_;
  prometheus::Family<prometheus::Gauge>& evidence_;
  prometheus::Family<prometheus::Gauge>& verdict_;
  prometheus::Family<prometheus::Counter>& rejections_;
  prometheus::Family<prometheus::Counter>& writes_;
};

}  // namespace calicodrift::gateway
