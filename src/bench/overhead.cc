#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>

#include "bench/completion_call.h"
#include "bench/programs.h"
#include "bench/report.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

struct OverheadSettings {
  Endpoint engine;
  Endpoint router;
  std::string apiKey;
  std::string model;
  std::int64_t requests = 0;
  std::int64_t concurrency = 0;
  std::int64_t promptBytes = 0;
  std::int64_t maxTokens = 0;
  std::int64_t warmUp = 0;
  std::string json;
};

settings::SettingsTable<OverheadSettings> overheadTable() {
  using S = OverheadSettings;
  constexpr std::int64_t kMillion = 1'000'000;
  return {
      {{"engine", "127.0.0.1:1", 0, 0, "", "address of the engine stand-in"}, &S::engine},
      {{"router", "127.0.0.1:1", 0, 0, "", "address of a router that uses only that engine"},
       &S::router},
      {{"api-key", "", 0, 0, "", "key of a tenant"}, &S::apiKey},
      {{"model", "m", 0, 0, "", "model to ask"}, &S::model},
      {{"requests", "5000", 1, kMillion, "count", "measured calls on each way"}, &S::requests},
      {{"concurrency", "1", 1, 1000, "count", "callers at once, each on connections of its own"},
       &S::concurrency},
      {{"prompt-bytes", "2048", 1, 4 * kMillion, "bytes", "length of each prompt"},
       &S::promptBytes},
      {{"max-tokens", "4", 1, 1000, "tokens", "length of each answer"}, &S::maxTokens},
      {{"warm-up", "200", 0, kMillion, "count", "calls on each way that are not measured"},
       &S::warmUp},
      {{"json", "", 0, 0, "", "file for the result"}, &S::json},
  };
}

/// What all callers of one run share; they run on one thread.
struct OverheadRun {
  const OverheadSettings& settings;
  std::int64_t started = 0;
  std::vector<double> directMs;
  std::vector<double> routerMs;
  std::optional<MonotonicTime> measuredFrom;
  std::size_t failures = 0;
};

awaitable<void> timeOne(OverheadRun& run, http::Client& client, Endpoint endpoint,
                        CompletionCall call, std::vector<double>* samples) {
  const MonotonicTime begin = monotonicNow();
  const Result<void> answered = co_await callAndCheck(client, std::move(endpoint), std::move(call));
  if (!answered) {
    ++run.failures;
    std::cerr << answered.error().detail << "\n";
  } else if (samples != nullptr) {
    samples->push_back(toMilliseconds(monotonicNow() - begin));
  }
}

/// One caller: a direct call and a call through the router in turn, so that whatever slows the
/// machine meanwhile slows both alike. The order changes with each pair.
awaitable<void> runCaller(OverheadRun& run, asio::any_io_executor executor) {
  http::Client client(executor);
  const std::int64_t total = run.settings.warmUp + run.settings.requests;
  while (run.started < total) {
    const std::int64_t number = run.started++;
    const bool measured = number >= run.settings.warmUp;
    if (measured && !run.measuredFrom) {
      run.measuredFrom = monotonicNow();
    }
    CompletionCall call;
    call.model = run.settings.model;
    call.apiKey = run.settings.apiKey;
    call.maxTokens = static_cast<std::size_t>(run.settings.maxTokens);
    call.prompt = "call " + std::to_string(number) + " ";
    call.prompt.resize(static_cast<std::size_t>(run.settings.promptBytes), 'p');
    std::vector<double>* direct = measured ? &run.directMs : nullptr;
    std::vector<double>* routed = measured ? &run.routerMs : nullptr;
    if (number % 2 == 0) {
      co_await timeOne(run, client, run.settings.engine, call, direct);
      co_await timeOne(run, client, run.settings.router, call, routed);
    } else {
      co_await timeOne(run, client, run.settings.router, call, routed);
      co_await timeOne(run, client, run.settings.engine, call, direct);
    }
  }
}

}  // namespace

int runOverhead(int argc, const char* const* argv) {
  const OverheadSettings given =
      settings::loadOrExit(argc, argv, "Latency that a router adds to a call of an engine",
                           overheadTable())
          .settings;
  asio::io_context context(1);
  OverheadRun run{given, 0, {}, {}, std::nullopt, 0};
  for (std::int64_t caller = 0; caller < given.concurrency; ++caller) {
    asio::co_spawn(context, runCaller(run, context.get_executor()), asio::detached);
  }
  context.run();
  const std::chrono::duration<double> elapsed =
      monotonicNow() - run.measuredFrom.value_or(monotonicNow());
  constexpr double kMedian = 0.5;
  constexpr double kTail = 0.99;
  const double rate =
      elapsed.count() > 0 ? static_cast<double>(run.routerMs.size()) / elapsed.count() : 0;
  const boost::json::object result{{"direct_p50_ms", percentile(run.directMs, kMedian)},
                                   {"router_p50_ms", percentile(run.routerMs, kMedian)},
                                   {"direct_p99_ms", percentile(run.directMs, kTail)},
                                   {"router_p99_ms", percentile(run.routerMs, kTail)},
                                   {"requests_per_second", rate},
                                   {"requests", run.routerMs.size()},
                                   {"concurrency", given.concurrency},
                                   {"failures", run.failures}};
  const bool written = writeReport(result, given.json);
  return written && run.failures == 0 ? settings::kExitSuccess : settings::kExitFailure;
}

}  // namespace calicodrift::bench
