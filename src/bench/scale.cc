#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <iostream>

#include "bench/linear_fit.h"
#include "bench/programs.h"
#include "bench/report.h"
#include "bench/scale_run.h"
#include "log/log.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

namespace json = boost::json;

struct ScaleSettings {
  std::vector<std::string> nodes;
  std::int64_t zones = 0;
  std::int64_t threads = 0;
  std::int64_t seed = 0;
  std::int64_t tenants = 0;
  std::int64_t models = 0;
  std::int64_t changes = 0;
  std::int64_t failures = 0;
  std::int64_t leaves = 0;
  std::int64_t extrapolateTo = 0;
  Milliseconds joinBound{0};
  Milliseconds settleBound{0};
  Milliseconds steadyTime{0};
  Milliseconds noticeBound{0};
  Milliseconds probeInterval{0};
  Milliseconds probeTimeout{0};
  Milliseconds suspicionTimeout{0};
  std::string json;
};

settings::SettingsTable<ScaleSettings> scaleTable() {
  using S = ScaleSettings;
  constexpr std::int64_t kHour = 3'600'000;
  constexpr std::int64_t kMost = 1'000'000;
  return {
      {{"nodes", "100,300,1000", 0, 0, "", "sizes to run one after the other"}, &S::nodes},
      {{"zones", "27", 1, 1000, "count", "zones that the nodes are spread over"}, &S::zones},
      {{"threads", "4", 1, 64, "count", "threads that run the hollow nodes"}, &S::threads},
      {{"seed", "1", 0, kMost, "", "of the nodes' random choices"}, &S::seed},
      {{"tenants", "340", 1, kMost, "count", "tenants of the configuration"}, &S::tenants},
      {{"models", "34", 1, kMost, "count", "models of the configuration"}, &S::models},
      {{"changes", "5", 1, 1000, "count", "changes of configuration, one in 3.6 s"}, &S::changes},
      {{"failures", "5", 1, 100, "count", "nodes that fail at once"}, &S::failures},
      {{"leaves", "3", 1, 100, "count", "nodes that leave at once, after the failures"},
       &S::leaves},
      {{"extrapolate-to", "3800", 1, kMost, "count", "size for which the fits are worked out"},
       &S::extrapolateTo},
      {{"join-bound-ms", "90000", 100, kHour, "ms", "longest wait until all know all"},
       &S::joinBound},
      {{"settle-bound-ms", "120000", 0, kHour, "ms", "longest wait until no change is spread"},
       &S::settleBound},
      {{"steady-ms", "10000", 100, kHour, "ms", "window for processor time and traffic"},
       &S::steadyTime},
      {{"notice-bound-ms", "45000", 100, kHour, "ms", "longest wait until all have noticed"},
       &S::noticeBound},
      {{"member-probe-interval-ms", "1000", 20, kHour, "ms", "as of the router"},
       &S::probeInterval},
      {{"member-probe-timeout-ms", "300", 5, kHour, "ms", "as of the router"}, &S::probeTimeout},
      {{"member-suspicion-timeout-ms", "3000", 50, kHour, "ms", "as of the router"},
       &S::suspicionTimeout},
      {{"json", "", 0, 0, "", "file for the result"}, &S::json},
  };
}

/// One measured quantity over the sizes.
struct Metric {
  std::string_view name;
  double (*value)(const ScaleResult&);
};

constexpr std::array kMetrics{
    Metric{"cpu_percent_per_node", [](const ScaleResult& result) { return result.cpuPercent; }},
    Metric{"resident_bytes_per_node",
           [](const ScaleResult& result) { return result.residentBytes; }},
    Metric{"sent_bytes_per_node_s",
           [](const ScaleResult& result) { return result.bytesPerSecond; }},
    Metric{"sent_messages_per_node_s",
           [](const ScaleResult& result) { return result.messagesPerSecond; }},
    Metric{"join_s", [](const ScaleResult& result) { return result.joinSeconds; }},
    Metric{"join_bytes_per_node_s",
           [](const ScaleResult& result) { return result.joinBytesPerSecond; }},
    Metric{"change_p50_ms", [](const ScaleResult& result) { return result.change.p50Ms; }},
    Metric{"change_p99_ms", [](const ScaleResult& result) { return result.change.p99Ms; }},
    Metric{"change_last_ms", [](const ScaleResult& result) { return result.change.lastMs; }},
    Metric{"failure_p50_ms", [](const ScaleResult& result) { return result.failure.p50Ms; }},
    Metric{"failure_p99_ms", [](const ScaleResult& result) { return result.failure.p99Ms; }},
    Metric{"failure_last_ms", [](const ScaleResult& result) { return result.failure.lastMs; }},
    Metric{"leave_p50_ms", [](const ScaleResult& result) { return result.leave.p50Ms; }},
    Metric{"leave_p99_ms", [](const ScaleResult& result) { return result.leave.p99Ms; }},
    Metric{"leave_last_ms", [](const ScaleResult& result) { return result.leave.lastMs; }},
};

Result<std::vector<std::size_t>> parseSizes(const ScaleSettings& given) {
  const auto gone = static_cast<std::size_t>(given.failures + given.leaves);
  std::vector<std::size_t> sizes;
  for (const std::string& text : given.nodes) {
    std::size_t size = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), size);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || size <= gone) {
      return fail(ErrorKind::kSettingsInvalid,
                  "--nodes: '" + text + "' is no size above failures + leaves");
    }
    sizes.push_back(size);
  }
  if (sizes.empty()) {
    return fail(ErrorKind::kSettingsInvalid, "--nodes names no size");
  }
  return sizes;
}

ScaleRunSettings runSettings(const ScaleSettings& given, std::size_t size) {
  ScaleRunSettings run;
  run.fleet.nodes = size;
  run.fleet.zones = static_cast<std::size_t>(given.zones);
  run.fleet.threads = static_cast<std::size_t>(given.threads);
  run.fleet.seed = static_cast<std::uint64_t>(given.seed);
  run.fleet.membership.probeInterval = given.probeInterval;
  run.fleet.membership.probeTimeout = given.probeTimeout;
  run.fleet.membership.suspicionTimeout = given.suspicionTimeout;
  run.joinBound = given.joinBound;
  run.settleBound = given.settleBound;
  run.steadyTime = given.steadyTime;
  run.noticeBound = given.noticeBound;
  run.bundle.tenants = static_cast<std::size_t>(given.tenants);
  run.bundle.models = static_cast<std::size_t>(given.models);
  run.changes = static_cast<std::size_t>(given.changes);
  run.failures = static_cast<std::size_t>(given.failures);
  run.leaves = static_cast<std::size_t>(given.leaves);
  return run;
}

json::object toJson(const ScaleResult& result) {
  json::object object{
      {"nodes", result.nodes}, {"joined", result.joined}, {"settled", result.settled}};
  for (const Metric& metric : kMetrics) {
    object[metric.name] = metric.value(result);
  }
  json::object channels;
  for (const ChannelRate& rate : result.channels) {
    channels[rate.channel] = json::object{{"bytes_per_s", rate.bytesPerSecond},
                                          {"messages_per_s", rate.messagesPerSecond}};
  }
  object["channels"] = std::move(channels);
  object["suspicions_without_cause"] = result.suspicions;
  object["deaths_without_cause"] = result.falseDeaths;
  object["bundle_bytes"] = result.bundleBytes;
  object["change_not_in_force"] = result.change.missed;
  object["failure_not_noticed"] = result.failure.missed;
  object["leave_not_noticed"] = result.leave.missed;
  return object;
}

json::object fitToJson(const LinearFit& fit, double x) {
  return {{"intercept", fit.intercept},
          {"slope", fit.slope},
          {"r_squared", fit.rSquared},
          {"extrapolated", fit.at(x)}};
}

json::object fitsToJson(const std::vector<ScaleResult>& results, double target) {
  json::object fits;
  for (const Metric& metric : kMetrics) {
    std::vector<double> sizes;
    std::vector<double> logarithms;
    std::vector<double> values;
    for (const ScaleResult& result : results) {
      sizes.push_back(static_cast<double>(result.nodes));
      logarithms.push_back(std::log2(static_cast<double>(result.nodes)));
      values.push_back(metric.value(result));
    }
    fits[metric.name] =
        json::object{{"by_log2_n", fitToJson(fitLine(logarithms, values), std::log2(target))},
                     {"by_n", fitToJson(fitLine(sizes, values), target)}};
  }
  return fits;
}

void printTable(const std::vector<ScaleResult>& results) {
  constexpr int kNameWidth = 28;
  constexpr int kValueWidth = 12;
  std::cout << std::left << std::setw(kNameWidth) << "nodes" << std::right;
  for (const ScaleResult& result : results) {
    std::cout << std::setw(kValueWidth) << result.nodes;
  }
  std::cout << "\n" << std::fixed << std::setprecision(3);
  for (const Metric& metric : kMetrics) {
    std::cout << std::left << std::setw(kNameWidth) << metric.name << std::right;
    for (const ScaleResult& result : results) {
      std::cout << std::setw(kValueWidth) << metric.value(result);
    }
    std::cout << "\n";
  }
}

}  // namespace

int runScale(int argc, const char* const* argv) {
  const ScaleSettings given =
      settings::loadOrExit(argc, argv,
                           "Measures the control side at several sizes, with hollow nodes that run "
                           "in this process over UDP on loopback",
                           scaleTable())
          .settings;
  const Result<std::vector<std::size_t>> sizes = parseSizes(given);
  if (!sizes) {
    std::cerr << sizes.error().detail << "\n";
    return settings::kExitUsage;
  }
  log::silence();
  std::vector<ScaleResult> results;
  json::array rows;
  bool complete = true;
  for (const std::size_t size : sizes.value()) {
    const Result<ScaleResult> result = runScaleSize(runSettings(given, size));
    if (!result) {
      std::cerr << size << " nodes: " << result.error().detail << "\n";
      return settings::kExitFailure;
    }
    results.push_back(result.value());
    rows.push_back(toJson(results.back()));
    complete = complete && results.back().joined && results.back().change.missed == 0 &&
               results.back().failure.missed == 0 && results.back().leave.missed == 0;
  }
  printTable(results);
  const json::object report{{"sizes", std::move(rows)},
                            {"extrapolated_to", given.extrapolateTo},
                            {"fits", fitsToJson(results, static_cast<double>(given.extrapolateTo))},
                            {"complete", complete}};
  const bool written = writeReport(report, given.json);
  return written && complete ? settings::kExitSuccess : settings::kExitFailure;
}

}  // namespace calicodrift::bench
