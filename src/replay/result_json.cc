#include "replay/result_json.h"

#include <boost/json.hpp>
#include <cstdio>

namespace calicodrift::replay {
namespace {

namespace json = boost::json;
constexpr double kMedian = 50;
constexpr double kTail = 95;
constexpr double kFarTail = 99;

json::object percentiles(const LatencySample& sample) {
  return {{"count", sample.count()},
          {"ttft_p50_ms", sample.percentile(kMedian)},
          {"ttft_p95_ms", sample.percentile(kTail)},
          {"ttft_p99_ms", sample.percentile(kFarTail)}};
}

json::object toJson(const Measures& measures) {
  json::object byTenant;
  for (const auto& [tenant, sample] : measures.firstTokenByTenant) {
    byTenant[tenant] = percentiles(sample);
  }
  json::object byPriority;
  for (const auto& [priority, sample] : measures.firstTokenByPriority) {
    byPriority[toString(priority)] = percentiles(sample);
  }
  return {{"prefix_hit_rate", measures.prefixHitRate()},
          {"oracle_hit_rate", measures.oracleHitRate},
          {"ttft_p50_ms", measures.firstToken.percentile(kMedian)},
          {"ttft_p95_ms", measures.firstToken.percentile(kTail)},
          {"ttft_p99_ms", measures.firstToken.percentile(kFarTail)},
          {"wasted_recompute_tokens", measures.wastedTokens},
          {"prefilled_tokens", measures.prefilledTokens},
          {"completed", measures.completed},
          {"refused", measures.refused},
          {"retries", measures.retries},
          {"events_received", measures.eventsReceived},
          {"engine_load", measures.engineLoad},
          {"by_tenant", std::move(byTenant)},
          {"by_priority", std::move(byPriority)}};
}

}  // namespace

std::string resultJson(const ReplaySettings& settings, const PolicyResults& results) {
  json::object policies;
  for (const auto& [name, measures] : results) {
    policies[name] = toJson(measures);
  }
  const json::object faults{{"event_delay_ms", settings.eventDelay.count()},
                            {"event_loss", settings.eventLoss},
                            {"index", toString(settings.index)},
                            {"crashes", settings.crashes}};
  const json::object document{{"seed", settings.seed},
                              {"deployment", settings.deployment.name},
                              {"routers", settings.routers},
                              {"load_factor", settings.loadFactor},
                              {"faults", faults},
                              {"policies", std::move(policies)}};
  return json::serialize(document) + "\n";
}

std::string resultTable(const PolicyResults& results) {
  constexpr std::size_t kLineBytes = 200;
  std::string table;
  char line[kLineBytes];
  std::snprintf(line, sizeof(line), "%-24s %8s %8s %9s %9s %9s %12s %9s %7s %6s\n", "policy", "hit",
                "oracle", "p50 ms", "p95 ms", "p99 ms", "wasted tok", "completed", "refused",
                "load");
  table += line;
  for (const auto& [name, measures] : results) {
    std::snprintf(line, sizeof(line),
                  "%-24s %8.4f %8.4f %9.1f %9.1f %9.1f %12llu %9llu %7llu %6.3f\n", name.c_str(),
                  measures.prefixHitRate(), measures.oracleHitRate,
                  measures.firstToken.percentile(kMedian), measures.firstToken.percentile(kTail),
                  measures.firstToken.percentile(kFarTail),
                  static_cast<unsigned long long>(measures.wastedTokens),
                  static_cast<unsigned long long>(measures.completed),
                  static_cast<unsigned long long>(measures.refused), measures.engineLoad);
    table += line;
  }
  return table;
}

}  // namespace calicodrift::replay
