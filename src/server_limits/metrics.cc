#include "server_limits/metrics.h"

namespace calicodrift::server_limits {
namespace {

prometheus::Counter& counter(prometheus::Registry& registry, const std::string& name,
                             const std::string& help,
                             const std::map<std::string, std::string>& labels = {}) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add(labels);
}

}  // namespace

ServerLimitMetrics::ServerLimitMetrics(prometheus::Registry& registry)
    : named_(counter(registry, "calicodrift_server_limits_heads_total",
                     "Heads of answers that changed what is known of a server's limit",
                     {{"change", "named"}})),
      lifted_(
          counter(registry, "calicodrift_server_limits_heads_total", "", {{"change", "lifted"}})),
      unreadable_(counter(registry, "calicodrift_server_limits_heads_total", "",
                          {{"change", "unreadable"}})),
      granted_(counter(registry, "calicodrift_server_limits_units_total",
                       "Units that requests of this node asked for", {{"granted", "true"}})),
      refused_(
          counter(registry, "calicodrift_server_limits_units_total", "", {{"granted", "false"}})),
      issuedPermits_(counter(registry, "calicodrift_server_limits_permits_total",
                             "Permits that requests of this node asked for, by the answer",
                             {{"answer", "issued"}})),
      refusedPermits_(counter(registry, "calicodrift_server_limits_permits_total", "",
                              {{"answer", "refused"}})),
      undecidedPermits_(
          counter(registry, "calicodrift_server_limits_permits_total", "", {{"answer", "none"}})),
      undecided_(counter(registry, "calicodrift_server_limits_undecided_total",
                         "Units asked for while no node that may give them out answered")),
      takenReports_(counter(registry, "calicodrift_server_limits_reports_total",
                            "Reports to neighbours, by whether they were taken",
                            {{"taken", "true"}})),
      failedReports_(
          counter(registry, "calicodrift_server_limits_reports_total", "", {{"taken", "false"}})),
      leavingLearnt_(counter(registry, "calicodrift_server_limits_leaving_learnt_total",
                             "Servers of which another node told that they leave")),
      fullLearnt_(counter(registry, "calicodrift_server_limits_full_learnt_total",
                          "Servers of which another node told that they have no capacity left")),
      probes_(counter(registry, "calicodrift_server_limits_probes_total",
                      "Limited servers asked for their health, as no request asked them")),
      limited_(prometheus::BuildGauge()
                   .Name("calicodrift_server_limits_servers")
                   .Help("Servers with a limit in force")
                   .Register(registry)
                   .Add({})),
      spared_(prometheus::BuildGauge()
                  .Name("calicodrift_server_limits_spared_servers")
                  .Help("Servers that say that they fail if they have to refuse many requests")
                  .Register(registry)
                  .Add({})),
      wait_(prometheus::BuildHistogram()
                .Name("calicodrift_server_limits_wait_seconds")
                .Help("How long a request waited for the answer about a unit")
                .Register(registry)
                .Add({}, metrics::latencyBuckets())) {}

}  // namespace calicodrift::server_limits
