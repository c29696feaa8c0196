#include "quota/metrics.h"

namespace calicodrift::quota {
namespace {

prometheus::Family<prometheus::Counter>& counterFamily(prometheus::Registry& registry,
                                                       const std::string& name,
                                                       const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

}  // namespace

QuotaMetrics::QuotaMetrics(prometheus::Registry& registry)
    : admitted_(counterFamily(registry, "calicodrift_quota_admitted_units_total",
                              "Units let through here under a tenant's limit, by tenant")),
      refused_(counterFamily(registry, "calicodrift_quota_refused_units_total",
                             "Units refused here as over a tenant's limit, by tenant")),
      unreached_(counterFamily(registry, "calicodrift_quota_unreached_total",
                               "Claims that no other node answered")
                     .Add({})),
      answeredBatches_(
          counterFamily(registry, "calicodrift_quota_batches_total",
                        "Batches of claims sent to another node, by whether it answered")
              .Add({{"answered", "true"}})),
      unansweredBatches_(counterFamily(registry, "calicodrift_quota_batches_total", "")
                             .Add({{"answered", "false"}})),
      borrowed_(counterFamily(registry, "calicodrift_quota_borrowed_units_total",
                              "Units borrowed from roots of other groups")
                    .Add({})),
      wait_(prometheus::BuildHistogram()
                .Name("calicodrift_quota_wait_seconds")
                .Help("Time for which a request waited for its tenant's limit")
                .Register(registry)
                .Add({}, metrics::latencyBuckets())) {}

void QuotaMetrics::countAdmitted(const std::string& tenant, double units) {
  admitted_.Add({{"tenant", tenant}}).Increment(units);
}

void QuotaMetrics::countRefused(const std::string& tenant, double units) {
  refused_.Add({{"tenant", tenant}}).Increment(units);
}

void QuotaMetrics::countBatch(bool answered) {
  (answered ? answeredBatches_ : unansweredBatches_).Increment();
}

}  // namespace calicodrift::quota
