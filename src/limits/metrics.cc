#include "limits/metrics.h"

namespace calicodrift::limits {
namespace {

prometheus::Family<prometheus::Counter>& counterFamily(prometheus::Registry& registry,
                                                       const std::string& name,
                                                       const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& gaugeFamily(prometheus::Registry& registry,
                                                   const std::string& name,
                                                   const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

}  // namespace

LimitsMetrics::LimitsMetrics(prometheus::Registry& registry)
    : admitted_(counterFamily(registry, "calicodrift_limits_admitted_total",
                              "Requests admitted, by tenant and priority")),
      refused_(counterFamily(registry, "calicodrift_limits_refused_total",
                             "Requests refused at once, by tenant, priority and kind")),
      shares_(gaugeFamily(registry, "calicodrift_limits_share_requests_per_second",
                          "Part of a tenant's rate that this node may use")),
      grants_(counterFamily(registry, "calicodrift_limits_share_grants_total",
                            "Shares handed out as owner of a tenant's rate")
                  .Add({})),
      windows_(gaugeFamily(registry, "calicodrift_limits_window_tokens",
                           "Tokens that may be outstanding at a model's engines")),
      outstanding_(gaugeFamily(registry, "calicodrift_limits_outstanding_tokens",
                               "Tokens outstanding at a model's engines")),
      windowCuts_(gaugeFamily(registry, "calicodrift_limits_window_cuts",
                              "Times a window shrank because first tokens came late")),
      retriesRefused_(counterFamily(registry, "calicodrift_limits_retries_refused_total",
                                    "Retries that the retry budget did not allow")
                          .Add({})) {}

void LimitsMetrics::countAdmitted(const std::string& tenant, Priority priority) {
  admitted_.Add({{"tenant", tenant}, {"priority", std::string(toString(priority))}}).Increment();
}

void LimitsMetrics::countRefused(const std::string& tenant, Priority priority, ErrorKind kind) {
  refused_
      .Add({{"tenant", tenant},
            {"priority", std::string(toString(priority))},
            {"kind", std::string(errorRow(kind).name)}})
      .Increment();
}

void LimitsMetrics::setShare(const std::string& tenant, double requestsPerSecond) {
  shares_.Add({{"tenant", tenant}}).Set(requestsPerSecond);
}

void LimitsMetrics::setModel(const std::string& model, double windowTokens,
                             double outstandingTokens, std::size_t windowCuts) {
  windows_.Add({{"model", model}}).Set(windowTokens);
  outstanding_.Add({{"model", model}}).Set(outstandingTokens);
  windowCuts_.Add({{"model", model}}).Set(static_cast<double>(windowCuts));
}

}  // namespace calicodrift::limits
