#include "quarantine/metrics.h"

namespace calicodrift::quarantine {
namespace {

prometheus::Counter& counter(prometheus::Registry& registry, const std::string& name,
                             const std::string& help,
                             const std::map<std::string, std::string>& labels = {}) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add(labels);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

QuarantineMetrics::QuarantineMetrics(prometheus::Registry& registry)
    : crashes_(
          counter(registry, "calicodrift_quarantine_ends_total",
                  "Servers' processes that ended under a request of this node, one a request")),
      barredRefusals_(
          counter(registry, "calicodrift_quarantine_refusals_total",
                  "Requests refused here, as barred or as another attempt was under way",
                  {{"cause", "barred"}})),
      barredPartRefusals_(
          counter(registry, "calicodrift_quarantine_refusals_total", "", {{"cause", "part"}})),
      trialRefusals_(
          counter(registry, "calicodrift_quarantine_refusals_total", "", {{"cause", "trial"}})),
      trials_(counter(registry, "calicodrift_quarantine_trials_total",
                      "Attempts of suspects that were admitted")),
      takenReports_(counter(registry, "calicodrift_quarantine_reports_total",
                            "Reports to neighbours, by whether they were taken",
                            {{"taken", "true"}})),
      failedReports_(
          counter(registry, "calicodrift_quarantine_reports_total", "", {{"taken", "false"}})),
      writes_(counter(registry, "calicodrift_quarantine_writes_total",
                      "Writes of records to the store", {{"written", "true"}})),
      failedWrites_(
          counter(registry, "calicodrift_quarantine_writes_total", "", {{"written", "false"}})),
      tracked_(gauge(registry, "calicodrift_quarantine_requests",
                     "Requests under which a server has ended")),
      barred_(gauge(registry, "calicodrift_quarantine_barred", "Requests that are sent nowhere")),
      evicted_(gauge(registry, "calicodrift_quarantine_forgotten",
                     "Requests that were forgotten as there was no room")),
      trackedParts_(gauge(registry, "calicodrift_quarantine_parts",
                          "Parts of prompts of requests under which a server has crashed")),
      barredParts_(gauge(registry, "calicodrift_quarantine_parts_barred",
                         "Parts of prompts whose requests are sent nowhere")),
      evictedParts_(gauge(registry, "calicodrift_quarantine_parts_forgotten",
                          "Parts of prompts that were evicted as there was no room")) {}

void QuarantineMetrics::set(const LedgerSizes& sizes) {
  tracked_.Set(static_cast<double>(sizes.tracked));
  barred_.Set(static_cast<double>(sizes.barred));
  evicted_.Set(static_cast<double>(sizes.evicted));
}

void QuarantineMetrics::setParts(const LedgerSizes& sizes) {
  trackedParts_.Set(static_cast<double>(sizes.tracked));
  barredParts_.Set(static_cast<double>(sizes.barred));
  evictedParts_.Set(static_cast<double>(sizes.evicted));
}

}  // namespace calicodrift::quarantine
