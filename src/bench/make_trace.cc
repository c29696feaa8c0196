#include <fstream>
#include <iostream>

#include "bench/programs.h"
#include "replay/trace_generator.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

constexpr std::int64_t kMillion = 1'000'000;
constexpr double kPercent = 100;

struct MakeTraceSettings {
  std::string deployment;
  std::string shape;
  std::int64_t seed = 0;
  std::int64_t requests = 0;
  std::int64_t loadPercent = 0;
  std::string output;
};

settings::SettingsTable<MakeTraceSettings> makeTraceTable() {
  return {
      {{"deployment", "tatra", 0, 0, "", "site: tatra or trinacria"},
       &MakeTraceSettings::deployment},
      {{"shape", "", 0, 0, "", "reviews, campaigns or flash; by default the site's own"},
       &MakeTraceSettings::shape},
      {{"seed", "1", 0, kMillion * kMillion, "", "equal seeds give equal traces"},
       &MakeTraceSettings::seed},
      {{"requests", "6000", 1, 10 * kMillion, "count", "lines of the trace"},
       &MakeTraceSettings::requests},
      {{"load-percent", "80", 1, 1000, "percent", "load of the site when routed round robin"},
       &MakeTraceSettings::loadPercent},
      {{"output", "", 0, 0, "", "file to write; standard output where absent"},
       &MakeTraceSettings::output},
  };
}

int failUsage(const std::string& message) {
  std::cerr << "make-trace: " << message << "\n";
  return settings::kExitUsage;
}

}  // namespace

int runMakeTrace(int argc, const char* const* argv) {
  const MakeTraceSettings given =
      settings::loadOrExit(argc, argv, "Makes a trace for the replay", makeTraceTable()).settings;
  const auto deployment = replay::findDeployment(given.deployment);
  if (!deployment) {
    return failUsage("--deployment must be tatra or trinacria");
  }
  const auto shape = replay::findShape(given.shape.empty() ? replay::defaultShapeOf(*deployment)
                                                           : std::string_view(given.shape));
  if (!shape) {
    return failUsage("--shape must be reviews, campaigns or flash");
  }
  replay::TraceOrder order{*deployment, *shape, static_cast<std::uint64_t>(given.seed),
                           static_cast<std::size_t>(given.requests),
                           static_cast<double>(given.loadPercent) / kPercent};
  std::ofstream file;
  if (!given.output.empty()) {
    file.open(given.output);
  }
  std::ostream& output = given.output.empty() ? std::cout : file;
  for (const replay::TraceRequest& request : replay::generateTrace(order)) {
    output << replay::toTraceLine(request) << "\n";
  }
  output.flush();
  if (!output) {
    std::cerr << "make-trace: cannot write '" << given.output << "'\n";
    return settings::kExitFailure;
  }
  return settings::kExitSuccess;
}

}  // namespace calicodrift::bench
