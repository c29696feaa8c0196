#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "bench/programs.h"
#include "replay/report.h"
#include "replay/result_json.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

constexpr std::int64_t kMillion = 1'000'000;
constexpr double kPercent = 100;

struct ReplayFlags {
  std::string trace;
  std::string deployment;
  std::vector<std::string> policies;
  std::int64_t routers = 0;
  std::int64_t seed = 0;
  Milliseconds eventDelay{0};
  std::int64_t eventLossPercent = 0;
  std::string index;
  std::int64_t crashes = 0;
  std::int64_t loadFactorPercent = 0;
  std::string json;
  std::string report;
};

settings::SettingsTable<ReplayFlags> replayTable() {
  return {
      {{"trace", "", 0, 0, "", "trace file, JSON lines"}, &ReplayFlags::trace},
      {{"deployment", "tatra", 0, 0, "", "site: tatra or trinacria"}, &ReplayFlags::deployment},
      {{"policy", "", 0, 0, "", "names of policies, separated by commas; all where absent"},
       &ReplayFlags::policies},
      {{"routers", "4", 1, 1000, "count", "routers, each with a policy instance of its own"},
       &ReplayFlags::routers},
      {{"seed", "1", 0, kMillion * kMillion, "", "equal seeds give equal results"},
       &ReplayFlags::seed},
      {{"event-delay-ms", "0", 0, kMillion, "ms", "added to the way of each cache event"},
       &ReplayFlags::eventDelay},
      {{"event-loss", "0", 0, 100, "percent", "cache events that never arrive"},
       &ReplayFlags::eventLossPercent},
      {{"index", "broadcast", 0, 0, "", "who hears cache events: broadcast, local or sharded"},
       &ReplayFlags::index},
      {{"crashes", "0", 0, kMillion, "count", "engine crashes in the course of the trace"},
       &ReplayFlags::crashes},
      {{"load-factor", "100", 1, 10000, "percent", "speed of arrivals relative to the trace"},
       &ReplayFlags::loadFactorPercent},
      {{"json", "", 0, 0, "", "file for the result"}, &ReplayFlags::json},
      {{"report", "", 0, 0, "", "folder for the page index.html with plots"}, &ReplayFlags::report},
  };
}

int failUsage(const std::string& message) {
  std::cerr << "replay: " << message << "\n";
  return settings::kExitUsage;
}

int listPolicies() {
  for (const std::string_view name : routing::policyNames()) {
    std::cout << name << "\n";
  }
  return settings::kExitSuccess;
}

std::vector<std::string> wantedPolicies(const ReplayFlags& flags) {
  if (!flags.policies.empty()) {
    return flags.policies;
  }
  const auto& all = routing::policyNames();
  return {all.begin(), all.end()};
}

replay::ReplaySettings toReplaySettings(const ReplayFlags& flags,
                                        const replay::Deployment& deployment) {
  replay::ReplaySettings settings;
  settings.deployment = deployment;
  settings.routers = static_cast<std::size_t>(flags.routers);
  settings.seed = static_cast<std::uint64_t>(flags.seed);
  settings.eventDelay = flags.eventDelay;
  settings.eventLoss = static_cast<double>(flags.eventLossPercent) / kPercent;
  settings.index = replay::parseIndexPlacement(flags.index).value();
  settings.crashes = static_cast<std::size_t>(flags.crashes);
  settings.loadFactor = static_cast<double>(flags.loadFactorPercent) / kPercent;
  return settings;
}

bool writeFile(const std::string& path, const std::string& content) {
  std::ofstream file(path, std::ios::binary);
  file << content;
  file.flush();
  return static_cast<bool>(file);
}

}  // namespace

int runReplay(int argc, const char* const* argv) {
  if (std::any_of(argv, argv + argc,
                  [](std::string_view word) { return word == "--list-policies"; })) {
    return listPolicies();
  }
  const ReplayFlags flags =
      settings::loadOrExit(argc, argv,
                           "Replays a trace in virtual time against routing policies; "
                           "--list-policies prints their names",
                           replayTable())
          .settings;
  const auto deployment = replay::findDeployment(flags.deployment);
  if (!deployment) {
    return failUsage("--deployment must be tatra or trinacria");
  }
  if (!replay::parseIndexPlacement(flags.index)) {
    return failUsage("--index must be broadcast, local or sharded");
  }
  const std::vector<std::string> policies = wantedPolicies(flags);
  for (const std::string& name : policies) {
    if (!routing::makePolicy(name, 0)) {
      return failUsage("unknown policy '" + name + "'; see --list-policies");
    }
  }
  std::ifstream file(flags.trace);
  if (!file) {
    return failUsage("cannot read the trace '" + flags.trace + "'; name it with --trace");
  }
  const Result<replay::Trace> trace = replay::readTrace(file);
  if (!trace) {
    return failUsage(flags.trace + ": " + trace.error().detail);
  }
  const replay::ReplaySettings settings = toReplaySettings(flags, *deployment);
  replay::PolicyResults results;
  for (const std::string& name : policies) {
    results.emplace_back(name, replay::Simulation(settings, trace.value(), name).run());
  }
  std::cout << replay::resultTable(results);
  if (!flags.json.empty() && !writeFile(flags.json, replay::resultJson(settings, results))) {
    std::cerr << "replay: cannot write '" << flags.json << "'\n";
    return settings::kExitFailure;
  }
  if (!flags.report.empty()) {
    std::error_code ignored;
    std::filesystem::create_directories(flags.report, ignored);
    const std::string path = flags.report + "/index.html";
    if (!writeFile(path, replay::reportPage(settings, flags.trace, results))) {
      std::cerr << "replay: cannot write '" << path << "'\n";
      return settings::kExitFailure;
    }
  }
  return settings::kExitSuccess;
}

}  // namespace calicodrift::bench
