#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

#include "bench/overload_simulation.h"
#include "bench/programs.h"
#include "bench/report.h"
#include "limits/water_fill.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

namespace json = boost::json;

struct OverloadSettings {
  std::int64_t seed = 1;
  std::int64_t routers = 0;
  std::int64_t engines = 0;
  Milliseconds duration{0};
  std::string jsonFile;
};

settings::SettingsTable<OverloadSettings> overloadTable() {
  using S = OverloadSettings;
  return {
      {{"seed", "1", 0, 1'000'000'000, "", "the same seed gives the same run"}, &S::seed},
      {{"routers", "3", 1, 1000, "count", "routers in virtual time"}, &S::routers},
      {{"engines", "6", 1, 1000, "count", "engines in virtual time"}, &S::engines},
      {{"duration-ms", "60000", 1000, 3'600'000, "ms", "virtual time of each run"}, &S::duration},
      {{"json", "", 0, 0, "", "file for the result"}, &S::jsonFile},
  };
}

/// Part of the completed tokens that weighted max-min fairness would give each tenant.
std::vector<double> fairShares(const OverloadResult& result) {
  std::vector<limits::Demand> demands;
  demands.reserve(result.tenants.size());
  for (const GroupResult& tenant : result.tenants) {
    demands.push_back({tenant.offeredTokens, tenant.weight});
  }
  const double total = result.all.completedTokens;
  const double level = limits::fairLevel(demands, total);
  std::vector<double> shares;
  shares.reserve(demands.size());
  for (const limits::Demand& demand : demands) {
    shares.push_back(total > 0 ? std::min(demand.amount, level * demand.weight) / total : 0);
  }
  return shares;
}

json::object toJson(const GroupResult& group) {
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  std::vector<double> samples = group.firstTokenMs;
  return {{"offered", group.offered},
          {"completed", group.completed},
          {"refusals", group.refusals},
          {"timeouts", group.timeouts},
          {"ttft_p50_ms", percentile(samples, kMedian)},
          {"ttft_p99_ms", percentile(samples, kTail)}};
}

json::object toJson(const OverloadScenario& scenario, double factor, const OverloadResult& result) {
  json::object tenants;
  const std::vector<double> fair = fairShares(result);
  for (std::size_t index = 0; index < result.tenants.size(); ++index) {
    const GroupResult& tenant = result.tenants[index];
    json::object entry = toJson(tenant);
    entry["weight"] = tenant.weight;
    entry["share"] = tenant.completedTokens / std::max(1.0, result.all.completedTokens);
    entry["fair_share"] = fair[index];
    tenants[tenant.name] = entry;
  }
  json::object priorities;
  for (const GroupResult& priority : result.priorities) {
    priorities[priority.name] = toJson(priority);
  }
  constexpr double kMsPerSecond = 1000.0;
  const double seconds = toMilliseconds(scenario.duration) / kMsPerSecond;
  json::object entry = toJson(result.all);
  entry["load"] = factor;
  entry["limits"] = scenario.limits;
  entry["goodput_per_second"] = static_cast<double>(result.all.completed) / seconds;
  entry["refused_overloaded"] = result.refusedOverloaded;
  entry["refused_deadline_unreachable"] = result.refusedDeadline;
  entry["wasted_tokens"] = result.wastedTokens;
  entry["tenants"] = tenants;
  entry["priorities"] = priorities;
  return entry;
}

void printGroup(const std::string& name, const json::object& group) {
  const auto count = [&group](std::string_view key) { return group.at(key).to_number<double>(); };
  std::cout << "    " << std::left << std::setw(10) << name << std::right << std::setw(8)
            << count("offered") << std::setw(10) << count("completed") << std::setw(10)
            << count("refusals") << std::setw(9) << count("timeouts") << std::setw(9)
            << count("ttft_p50_ms") << std::setw(9) << count("ttft_p99_ms");
  if (group.contains("share")) {
    std::cout << std::setw(9) << std::setprecision(3) << count("share") << std::setw(9)
              << count("fair_share") << std::setprecision(0);
  }
  std::cout << "\n";
}

void printRun(const json::object& run) {
  std::cout << std::fixed << std::setprecision(1) << run.at("load").to_number<double>() << "x, "
            << (run.at("limits").as_bool() ? "with" : "without") << " limits: goodput "
            << run.at("goodput_per_second").to_number<double>() << "/s\n"
            << std::setprecision(0)
            << "    group      offered completed  refusals timeouts  p50 ms   p99 ms"
               "    share     fair\n";
  printGroup("all", run);
  for (const std::string_view list : {"priorities", "tenants"}) {
    for (const auto& entry : run.at(list).as_object()) {
      printGroup(entry.key(), entry.value().as_object());
    }
  }
}

}  // namespace

int runOverload(int argc, const char* const* argv) {
  const OverloadSettings given =
      settings::loadOrExit(argc, argv, "Admission and fairness under overload, in virtual time",
                           overloadTable())
          .settings;
  OverloadScenario scenario;
  scenario.seed = static_cast<std::uint64_t>(given.seed);
  scenario.routers = static_cast<std::size_t>(given.routers);
  scenario.engines = static_cast<std::size_t>(given.engines);
  scenario.duration = given.duration;
  const double capacity = measureCapacity(scenario);
  std::cout << std::fixed << std::setprecision(1) << "capacity " << capacity
            << " requests/s (closed loop, full batches)\n";
  json::array runs;
  for (const double factor : {0.8, 1.0, 1.5, 3.0}) {
    for (const bool limits : {false, true}) {
      scenario.offeredPerSecond = capacity * factor;
      scenario.limits = limits;
      json::object run = toJson(scenario, factor, runOverloadSimulation(scenario));
      printRun(run);
      runs.push_back(std::move(run));
    }
  }
  const json::object document{{"seed", given.seed},
                              {"routers", given.routers},
                              {"engines", given.engines},
                              {"capacity_per_second", capacity},
                              {"runs", runs}};
  return writeReport(document, given.jsonFile) ? settings::kExitSuccess : settings::kExitFailure;
}

}  // namespace calicodrift::bench
