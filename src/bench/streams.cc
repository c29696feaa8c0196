#include <algorithm>
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <iostream>
#include <sstream>

#include "bench/programs.h"
#include "bench/report.h"
#include "bench/stream_call.h"
#include "settings/table.h"

namespace calicodrift::bench {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

struct StreamsSettings {
  Endpoint router;
  std::string apiKey;
  std::string model;
  std::int64_t count = 0;
  std::int64_t promptBytes = 0;
  std::int64_t maxTokens = 0;
  Milliseconds sampleInterval{0};
  std::string json;
};

settings::SettingsTable<StreamsSettings> streamsTable() {
  using S = StreamsSettings;
  constexpr std::int64_t kMillion = 1'000'000;
  return {
      {{"router", "127.0.0.1:1", 0, 0, "", "address of the router"}, &S::router},
      {{"api-key", "", 0, 0, "", "key of a tenant"}, &S::apiKey},
      {{"model", "m", 0, 0, "", "model to ask"}, &S::model},
      {{"count", "2000", 1, kMillion, "count", "streams at once"}, &S::count},
      {{"prompt-bytes", "1024", 1, 4 * kMillion, "bytes", "length of each prompt"},
       &S::promptBytes},
      {{"max-tokens", "100", 1, 100'000, "tokens", "length of each answer"}, &S::maxTokens},
      {{"sample-interval-ms", "100", 1, 60'000, "ms", "pause between reads of the router's memory"},
       &S::sampleInterval},
      {{"json", "", 0, 0, "", "file for the result"}, &S::json},
  };
}

/// What all streams of one run share; they run on one thread.
struct StreamsRun {
  explicit StreamsRun(asio::io_context& context) : ended(context) {}

  std::size_t running = 0;
  std::size_t mostOpen = 0;
  std::size_t complete = 0;
  std::size_t failed = 0;
  std::vector<double> memoryBytes;
  asio::steady_timer ended;
};

awaitable<void> runStream(StreamsRun& run, http::Client& client, Endpoint router,
                          CompletionCall call) {
  StreamState state;
  const StreamPart part = co_await readStream(client, std::move(router), call, state);
  if (holdsWholeAnswer(call, state)) {
    ++run.complete;
  } else {
    ++run.failed;
    std::cerr << "incomplete stream: status " << part.status << ", " << state.nextIndex
              << " tokens, " << (part.failure ? part.failure->detail : part.errorBody) << "\n";
  }
  if (--run.running == 0) {
    run.ended.cancel();
  }
}

/// Value of an unlabelled sample in a Prometheus text page; 0 where it is absent.
double sampleOf(const std::string& page, const std::string& name) {
  std::istringstream lines(page);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

awaitable<void> sampleOnce(StreamsRun& run, http::Client& client, const Endpoint& router) {
  http::Request request;
  request.target = "/metrics";
  const Result<http::Response> page = co_await client.exchange(router, std::move(request));
  if (page) {
    run.memoryBytes.push_back(sampleOf(page.value().body, "process_resident_memory_bytes"));
    // The read of the page is a request itself.
    const double active = sampleOf(page.value().body, "calicodrift_active_requests") - 1;
    run.mostOpen = std::max(run.mostOpen, static_cast<std::size_t>(std::max(active, 0.0)));
  }
}

awaitable<void> runAll(StreamsRun& run, http::Client& client, const StreamsSettings& settings) {
  constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
  co_await sampleOnce(run, client, settings.router);
  const auto executor = co_await asio::this_coro::executor;
  run.running = static_cast<std::size_t>(settings.count);
  for (std::int64_t number = 0; number < settings.count; ++number) {
    CompletionCall call;
    call.model = settings.model;
    call.apiKey = settings.apiKey;
    call.maxTokens = static_cast<std::size_t>(settings.maxTokens);
    call.prompt = "stream " + std::to_string(number) + " ";
    call.prompt.resize(static_cast<std::size_t>(settings.promptBytes), 'p');
    asio::co_spawn(executor, runStream(run, client, settings.router, call), asio::detached);
  }
  while (run.running > 0) {
    run.ended.expires_after(settings.sampleInterval);
    co_await run.ended.async_wait(kAwait);
    co_await sampleOnce(run, client, settings.router);
  }
}

}  // namespace

int runStreams(int argc, const char* const* argv) {
  const StreamsSettings given =
      settings::loadOrExit(argc, argv, "Many streams at once through one router", streamsTable())
          .settings;
  asio::io_context context(1);
  http::Client client(context.get_executor());
  StreamsRun run(context);
  const MonotonicTime begin = monotonicNow();
  asio::co_spawn(context, runAll(run, client, given), asio::detached);
  context.run();
  constexpr double kMebibyte = 1024.0 * 1024.0;
  const double before = run.memoryBytes.empty() ? 0 : run.memoryBytes.front();
  const double most = run.memoryBytes.empty()
                          ? 0
                          : *std::max_element(run.memoryBytes.begin(), run.memoryBytes.end());
  const boost::json::object result{
      {"streams", given.count},
      {"complete", run.complete},
      {"failed", run.failed},
      {"most_streams_at_once", run.mostOpen},
      {"router_memory_before_mib", before / kMebibyte},
      {"router_memory_most_mib", most / kMebibyte},
      {"memory_per_stream_kib",
       run.mostOpen == 0 ? 0 : (most - before) / 1024.0 / static_cast<double>(run.mostOpen)},
      {"seconds", toMilliseconds(monotonicNow() - begin) / 1000.0}};
  const bool written = writeReport(result, given.json);
  return written && run.failed == 0 ? settings::kExitSuccess : settings::kExitFailure;
}

}  // namespace calicodrift::bench
