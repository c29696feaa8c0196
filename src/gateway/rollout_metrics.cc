#include "gateway/rollout_metrics.h"

namespace calicodrift::gateway {
namespace {

using service_rollout::CandidateUse;
using service_rollout::Track;
using service_rollout::Verdict;

prometheus::Family<prometheus::Gauge>& gauge(prometheus::Registry& registry,
                                             const std::string& name, const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry,
                                                 const std::string& name, const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

}  // namespace

RolloutMetrics::RolloutMetrics(prometheus::Registry& registry)
    : sent_(counter(registry, "calicodrift_rollout_sent_total",
                    "Requests sent by this node while an order was under way, by version")),
      use_(gauge(registry, "calicodrift_rollout_candidate_use",
                 "What the candidate may get: 0 nothing, 1 canary, 2 everything")),
      reached_(gauge(registry, "calicodrift_rollout_reached",
                     "Requests of the order's service since the order, over all nodes")),
      exposed_(gauge(registry, "calicodrift_rollout_exposed",
                     "Requests sent to the candidate, over all nodes")),
      evidence_(gauge(registry, "calicodrift_rollout_evidence",
                      "Logarithm of the likelihood ratio against the candidate")),
      verdict_(gauge(registry, "calicodrift_rollout_verdict",
                     "This node's verdict: 0 undecided, 1 sound, 2 bad")),
      rejections_(counter(registry, "calicodrift_rollout_rejections_total",
                          "Candidates that this node found, or heard, to be bad")),
      writes_(counter(registry, "calicodrift_rollout_writes_total",
                      "Writes of records and states of orders by outcome")) {}

void RolloutMetrics::countSent(const std::string& service, Track track) {
  const std::string version = track == Track::kCandidate ? "candidate" : "stable";
  sent_.Add({{"service", service}, {"version", version}}).Increment();
}

void RolloutMetrics::setUse(const std::string& service, CandidateUse use) {
  use_.Add({{"service", service}}).Set(static_cast<double>(use));
}

void RolloutMetrics::setSeen(const std::string& service,
                             const service_rollout::OrderObservations& seen, double evidence,
                             Verdict verdict) {
  reached_.Add({{"service", service}}).Set(static_cast<double>(seen.reached));
  exposed_.Add({{"service", service}}).Set(static_cast<double>(seen.exposed));
  evidence_.Add({{"service", service}}).Set(evidence);
  verdict_.Add({{"service", service}}).Set(static_cast<double>(verdict));
}

void RolloutMetrics::countRejection(const std::string& service) {
  rejections_.Add({{"service", service}}).Increment();
}

void RolloutMetrics::countWrite(const std::string& what, const std::string& outcome) {
  writes_.Add({{"what", what}, {"outcome", outcome}}).Increment();
}

}  // namespace calicodrift::gateway
