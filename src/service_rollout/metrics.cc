#include "service_rollout/metrics.h"

namespace calicodrift::service_rollout {
namespace {

prometheus::Family<prometheus::Gauge>* gaugeFamily(prometheus::Registry& registry,
                                                   std::string_view name, const std::string& help) {
  return &prometheus::BuildGauge().Name(std::string(name)).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter>& counterFamily(prometheus::Registry& registry,
                                                       const std::string& name,
                                                       const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Labels infoLabels(const RolloutStatus& status) {
  return {{"service", status.service},
          {"stable", status.stable.value()},
          {"candidate", status.candidate.value()},
          {"phase", std::string(toString(status.phase))},
          {"use", std::string(toString(status.use))},
          {"target", status.target.value()},
          {"state", std::string(toString(status.state))},
          {"verdict", status.verdict}};
}

}  // namespace

void RolloutMetrics::Gauges::clear() {
  for (prometheus::Gauge* gauge : series) {
    family->Remove(gauge);
  }
  series.clear();
}

void RolloutMetrics::Gauges::add(const prometheus::Labels& labels, double value) {
  prometheus::Gauge& gauge = family->Add(labels);
  gauge.Set(value);
  series.push_back(&gauge);
}

RolloutMetrics::RolloutMetrics(prometheus::Registry& registry)
    : info_{gaugeFamily(registry, kRolloutInfoMetric, "How a service's roll-out stands here"), {}},
      reached_{gaugeFamily(registry, kRolloutReachedMetric,
                           "Requests to a service since its order, over all nodes"),
               {}},
      exposed_{gaugeFamily(registry, kRolloutExposedMetric,
                           "Requests to the candidate since its order, over all nodes"),
               {}},
      age_{gaugeFamily(registry, kRolloutAgeMetric, "Time since the order under way was written"),
           {}},
      evidence_{gaugeFamily(registry, kRolloutEvidenceMetric,
                            "Logarithm of the likelihood ratio against the candidate"),
                {}},
      sent_(counterFamily(registry, "calicodrift_service_rollout_sent_total",
                          "Requests sent by this node while an order was under way, by version")),
      rejections_(counterFamily(registry, "calicodrift_service_rollout_rejections_total",
                                "Candidates that this node found, or heard, to be bad")),
      writes_(counterFamily(registry, "calicodrift_service_rollout_writes_total",
                            "Writes of records and states by this node, by outcome")) {}

void RolloutMetrics::countSent(const std::string& service, Track track) {
  const std::string version = track == Track::kCandidate ? "candidate" : "stable";
  sent_.Add({{"service", service}, {"version", version}}).Increment();
}

void RolloutMetrics::countRejection(const std::string& service) {
  rejections_.Add({{"service", service}}).Increment();
}

void RolloutMetrics::countWrite(const std::string& object, bool written) {
  writes_.Add({{"object", object}, {"outcome", written ? "written" : "failed"}}).Increment();
}

void RolloutMetrics::setStatuses(const std::vector<RolloutStatus>& services) {
  for (Gauges* gauges : {&info_, &reached_, &exposed_, &age_, &evidence_}) {
    gauges->clear();
  }
  for (const RolloutStatus& status : services) {
    info_.add(infoLabels(status), 1);
    const bool inProgress = status.phase != Phase::kSteady;
    if (inProgress) {
      const prometheus::Labels labels{{"service", status.service}};
      reached_.add(labels, static_cast<double>(status.reached));
      exposed_.add(labels, static_cast<double>(status.exposed));
      evidence_.add(labels, status.evidence);
      age_.add(labels, std::chrono::duration<double>(status.age).count());
    }
  }
}

}  // namespace calicodrift::service_rollout
