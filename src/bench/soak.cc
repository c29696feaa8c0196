#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>

#include "bench/programs.h"
#include "bench/report.h"
#include "bench/soak_faults.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

struct SoakSettings {
  Endpoint fleet;
  std::int64_t seed = 0;
  std::int64_t seconds = 0;
  std::int64_t callers = 0;
  Milliseconds leaveLimit{0};
  std::string json;
};

settings::SettingsTable<SoakSettings> soakTable() {
  using S = SoakSettings;
  constexpr std::int64_t kLongestSeconds = 86'400;
  constexpr std::int64_t kMaxSeed = 1'000'000'000;
  return {
      {{"fleet", "127.0.0.1:1", 0, 0, "", "control port of the fleet (scripts/soak.sh starts one)"},
       &S::fleet},
      {{"seed", "1", 0, kMaxSeed, "", "seed of the faults and of the requests"}, &S::seed},
      {{"seconds", "60", 1, kLongestSeconds, "s", "how long faults are injected"}, &S::seconds},
      {{"callers", "24", 1, 1000, "count", "callers at once"}, &S::callers},
      {{"leave-limit-ms", "3000", 1, 60'000, "ms", "latest new work for a leaving engine"},
       &S::leaveLimit},
      {{"json", "", 0, 0, "", "file for the result"}, &S::json},
  };
}

/// Everything of one run; all of it on one thread.
struct Soak {
  Soak(asio::io_context& context, const SoakSettings& settings)
      : settings(settings),
        executor(context.get_executor()),
        client(executor),
        control(client, settings.fleet) {}

  const SoakSettings& settings;
  asio::any_io_executor executor;
  http::Client client;
  FleetControl control;
  VersionWatch versions;
  bool watching = true;
  std::size_t watchers = 0;
  /// Version that each node reported last, in the order of the fleet's list.
  std::vector<BundleVersion> lastVersions;
  std::optional<json::object> result;
  bool passed = false;
};

awaitable<void> pause(Milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

awaitable<Result<json::object>> getObject(http::Client& client, Endpoint endpoint,
                                          std::string target) {
  http::Request request;
  request.target = std::move(target);
  constexpr Milliseconds kTimeout{5000};
  http::ExchangeOptions options;
  options.headerTimeout = kTimeout;
  options.bodyTimeout = kTimeout;
  Result<http::Response> response =
      co_await client.exchange(std::move(endpoint), std::move(request), options);
  if (!response) {
    co_return response.error();
  }
  json::error_code code;
  json::value document = json::parse(response.value().body, code);
  if (code || !document.is_object()) {
    co_return fail(ErrorKind::kProtocolViolation, "no JSON object: " + response.value().body);
  }
  co_return std::move(document.get_object());
}

std::uint64_t numberAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_int64() ? static_cast<std::uint64_t>(value->get_int64()) : 0;
}

/// Reads one node's bundle version again and again, in order, so that a fall is seen.
awaitable<void> watchVersion(Soak& soak, SoakRun& run, std::size_t router) {
  constexpr Milliseconds kInterval{100};
  const FleetMember node = run.fleet.routers[router];
  while (soak.watching) {
    const Result<json::object> status =
        co_await getObject(soak.client, node.endpoint, "/admin/bundle");
    if (status) {
      const BundleVersion version(numberAt(status.value(), "bundle_version"));
      if (soak.versions.observe(NodeId(node.id), version)) {
        ++run.counts.configReverts;
        run.remarks.push_back(node.id + " fell back to version " + std::to_string(version.value()));
      }
      soak.lastVersions[router] = version;
    }
    co_await pause(kInterval);
  }
  --soak.watchers;
}

/// Waits until every node reports at least the accepted version; counts those that don't.
awaitable<void> awaitVersionInForce(Soak& soak, SoakRun& run, BundleVersion accepted) {
  constexpr Milliseconds kBound{30000};
  constexpr Milliseconds kInterval{50};
  const MonotonicTime begin = monotonicNow();
  const auto stale = [&] {
    return std::count_if(soak.lastVersions.begin(), soak.lastVersions.end(),
                         [&](BundleVersion version) { return version < accepted; });
  };
  while (stale() > 0 && monotonicNow() - begin < kBound) {
    co_await pause(kInterval);
  }
  run.counts.configStaleNodes = static_cast<std::uint64_t>(stale());
}

void addCounts(const json::object& stats, std::string_view key,
               std::unordered_map<std::string, std::uint64_t>& sums) {
  for (const auto& entry : stats.at(key).as_object()) {
    sums[std::string(entry.key())] += entry.value().to_number<std::uint64_t>();
  }
}

awaitable<ServiceRuns> readRuns(Soak& soak, SoakRun& run) {
  ServiceRuns runs;
  for (const FleetMember& service : run.fleet.services) {
    const Result<json::object> stats = co_await getObject(soak.client, service.endpoint, "/stats");
    if (!stats) {
      ++run.counts.lost;
      run.remarks.push_back("no counts from " + service.id + ": " + stats.error().detail);
      continue;
    }
    addCounts(stats.value(), "runs", runs.byKey);
    addCounts(stats.value(), "runs_by_request", runs.byRequest);
  }
  co_return runs;
}

std::string describe(const OneTimeRecord& record, const ServiceRuns& runs) {
  const auto found = runs.byKey.find(record.key);
  std::string text = "key " + record.key + " ran " +
                     std::to_string(found == runs.byKey.end() ? 0 : found->second) + " times; told";
  for (const OneTimeTry& attempt : record.tries) {
    text += " " + std::string(attempt.told ? toString(*attempt.told) : "nothing");
    text += runs.byRequest.contains(attempt.requestId) ? "(ran)" : "";
  }
  return text;
}

void judge(SoakRun& run, const ServiceRuns& runs, const FaultRunner& faults) {
  for (const OneTimeRecord& record : run.oneTime) {
    const SoakCounts before = run.counts;
    checkOneTime(record, runs, run.counts);
    if (run.counts.violations() > before.violations()) {
      run.remarks.push_back(describe(record, runs));
    }
  }
  const std::vector<BrokenTry> cut = cutByStops(run.broken, faults.stops());
  run.counts.cutByPlannedStop = cut.size();
  for (const BrokenTry& attempt : cut) {
    run.remarks.push_back("cut by the planned stop of " + run.fleet.routers[attempt.router].id +
                          ": " + attempt.detail);
  }
}

json::object toReport(const Soak& soak, const SoakRun& run, const FaultRunner& faults,
                      const std::string& strikes) {
  constexpr double kMsPerSecond = 1000.0;
  const SoakCounts& counts = run.counts;
  json::object injected;
  for (const auto& [name, count] : faults.injected()) {
    injected[name] = count;
  }
  constexpr std::size_t kMostRemarks = 50;
  json::array remarks;
  for (std::size_t index = 0; index < std::min(kMostRemarks, run.remarks.size()); ++index) {
    remarks.emplace_back(run.remarks[index]);
  }
  json::error_code code;
  return json::object{
      {"requests", counts.requests},
      {"lost", counts.lost},
      {"doubled", counts.doubled},
      {"mixed", counts.mixed},
      {"incomplete", counts.incomplete},
      {"out_of_order", counts.outOfOrder},
      {"false_not_run", counts.falseNotRun},
      {"config_reverts", counts.configReverts},
      {"config_stale_nodes", counts.configStaleNodes},
      {"new_work_after_leave_s", toMilliseconds(counts.newWorkAfterLeave) / kMsPerSecond},
      {"cut_by_planned_stop", counts.cutByPlannedStop},
      {"stuck_planned_stops", faults.stuckStops()},
      {"completed", counts.completed},
      {"retries", counts.retries},
      {"resumed_streams", counts.resumedStreams},
      {"one_time_requests", run.oneTime.size()},
      {"one_time_unconfirmed", counts.unconfirmed},
      {"accepted_bundle_version", faults.acceptedVersion().value()},
      {"seed", soak.settings.seed},
      {"seconds", soak.settings.seconds},
      {"deployment", run.fleet.shape},
      {"routers", run.fleet.routers.size()},
      {"engines", run.fleet.engines.size()},
      {"services", run.fleet.services.size()},
      {"faults", injected},
      {"proxy_strikes", json::parse(strikes, code)},
      {"remarks", remarks}};
}

awaitable<void> runSoakOn(Soak& soak) {
  Result<FleetDescription> fleet = co_await soak.control.describe();
  if (!fleet) {
    std::cerr << "no fleet: " << fleet.error().detail << "\n";
    co_return;
  }
  SoakRun run(soak.client, std::move(fleet.value()));
  const auto seed = static_cast<std::uint64_t>(soak.settings.seed);
  const std::chrono::seconds length(soak.settings.seconds);
  soak.lastVersions.resize(run.fleet.routers.size());
  for (std::size_t router = 0; router < run.fleet.routers.size(); ++router) {
    ++soak.watchers;
    asio::co_spawn(soak.executor, watchVersion(soak, run, router), asio::detached);
  }
  startCallers(soak.executor, run, static_cast<std::size_t>(soak.settings.callers), seed);
  FaultRunner faults(soak.executor, run, soak.control);
  co_await faults.runAll(makeSchedule(seed, length, run.fleet.sizes()));
  run.loading = false;
  constexpr Milliseconds kCheckInterval{50};
  while (run.callers > 0) {
    co_await pause(kCheckInterval);
  }
  co_await awaitVersionInForce(soak, run, faults.acceptedVersion());
  const ServiceRuns runs = co_await readRuns(soak, run);
  judge(run, runs, faults);
  const Result<std::string> strikes = co_await soak.control.strikes();
  soak.result = toReport(soak, run, faults, strikes ? strikes.value() : "null");
  soak.passed = run.counts.requests > 0 && run.counts.violations() == 0 &&
                faults.stuckStops() == 0 &&
                run.counts.newWorkAfterLeave <= soak.settings.leaveLimit;
  // The watchers hold references into this frame.
  soak.watching = false;
  while (soak.watchers > 0) {
    co_await pause(kCheckInterval);
  }
}

}  // namespace

int runSoak(int argc, const char* const* argv) {
  const SoakSettings given =
      settings::loadOrExit(argc, argv, "Requests under faults, with a checker", soakTable())
          .settings;
  asio::io_context context(1);
  Soak soak(context, given);
  asio::co_spawn(context, runSoakOn(soak),
                 [&context](const std::exception_ptr&) { context.stop(); });
  context.run();
  if (!soak.result) {
    return settings::kExitFailure;
  }
  const bool written = writeReport(*soak.result, given.json);
  return written && soak.passed ? settings::kExitSuccess : settings::kExitFailure;
}

}  // namespace calicodrift::bench
