#include "bench/soak_load.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "bench/stream_call.h"
#include "claims/claim_key.h"
#include "openai/completion.h"

namespace calicodrift::bench {
namespace {

namespace asio = boost::asio;
using asio::awaitable;

/// How long a caller goes on trying to get an answer; far longer than any fault lasts.
constexpr Milliseconds kPatience{60000};
/// Longest silence that a caller bears within one try.
constexpr Milliseconds kTryTimeout{6000};
constexpr std::size_t kMostOneTimeTries = 6;
constexpr const char* kCompletionDeadlineMs = "20000";
constexpr const char* kServiceDeadlineMs = "3000";

std::string makeKey(std::mt19937_64& random) {
  const auto sinceEpoch = std::chrono::duration_cast<Milliseconds>(wallNow().time_since_epoch());
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  return claims::makeUuidV7(static_cast<claims::WallMilliseconds>(sinceEpoch.count()), high, low);
}

/// Whether the table of errors advises to come back.
bool mayTryAgain(const std::string& errorKind) {
  for (std::size_t index = 0; index < static_cast<std::size_t>(ErrorKind::kCount); ++index) {
    const ErrorRow& row = errorRow(static_cast<ErrorKind>(index));
    if (row.name == errorKind) {
      return row.retry != RetryAdvice::kNever;
    }
  }
  return false;
}

std::string fieldOf(const std::string& body, std::string_view name) {
  boost::json::error_code code;
  const boost::json::value document = boost::json::parse(body, code);
  if (code || !document.is_object()) {
    return "";
  }
  const boost::json::value* value = document.get_object().if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

bool patienceLeft(MonotonicTime begin) {
  return monotonicNow() - begin < kPatience;
}

http::ExchangeOptions callerOptions() {
  http::ExchangeOptions options;
  // A connection of its own shows for each try whether it was sent.
  options.connection = http::ConnectionUse::kFresh;
  options.connectTimeout = kTryTimeout;
  options.headerTimeout = kTryTimeout;
  options.bodyTimeout = kTryTimeout;
  return options;
}

}  // namespace

awaitable<void> SoakCaller::runUntilStopped() {
  constexpr std::uint64_t kLongestThinkMs = 30;
  constexpr std::uint64_t kAll = 10;
  constexpr std::uint64_t kStreams = 4;
  constexpr std::uint64_t kBodies = 6;
  constexpr std::uint64_t kReads = 7;
  while (run_.loading) {
    ++run_.counts.requests;
    const std::uint64_t sort = pick(1, kAll);
    if (sort <= kStreams) {
      co_await completeAsStream();
    } else if (sort <= kBodies) {
      co_await completeInOneBody();
    } else if (sort <= kReads) {
      co_await readFromService();
    } else {
      co_await submitOnce();
    }
    const Milliseconds think(static_cast<std::int64_t>(pick(0, kLongestThinkMs)));
    asio::steady_timer timer(co_await asio::this_coro::executor, think);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

awaitable<void> SoakCaller::completeInOneBody() {
  const CompletionCall call = makeCall();
  const MonotonicTime begin = monotonicNow();
  for (;;) {
    http::Request request = toHttpRequest(call);
    request.headers.set(http::kDeadlineHeader, kCompletionDeadlineMs);
    const Result<http::Response> response = co_await exchange(nextRouter(), std::move(request));
    if (response && response.value().status == 200) {
      const auto content = openai::parseCompletionBody(response.value().body);
      noteText(call, content ? content.value().text : "not a completion", "one body");
      ++run_.counts.completed;
      co_return;
    }
    if (!patienceLeft(begin)) {
      ++run_.counts.lost;
      run_.remarks.push_back("lost completion: " +
                             (response ? response.value().body : response.error().detail));
      co_return;
    }
    ++run_.counts.retries;
    co_await pauseBeforeRetry();
  }
}

awaitable<void> SoakCaller::completeAsStream() {
  const CompletionCall call = makeCall();
  const MonotonicTime begin = monotonicNow();
  StreamState state;
  for (;;) {
    const std::size_t router = nextRouter();
    const MonotonicTime tryBegin = monotonicNow();
    const std::size_t held = state.nextIndex;
    const StreamPart part = co_await readStream(run_.client, run_.fleet.routers[router].endpoint,
                                                call, state, callerOptions());
    if (held > 0 && state.nextIndex > held) {
      ++run_.counts.resumedStreams;
    }
    if (part.failure) {
      noteFailure(router, tryBegin, *part.failure);
    }
    if (state.outOfOrder) {
      ++run_.counts.outOfOrder;
      run_.remarks.push_back("out of order after " + state.lastEventId);
      co_return;
    }
    if (state.closed) {
      noteText(call, state.text, "stream " + state.lastEventId);
      ++run_.counts.completed;
      co_return;
    }
    const bool silentEnd = part.status == 200 && !part.failure && part.errorBody.empty();
    if (silentEnd) {
      ++run_.counts.incomplete;
      run_.remarks.push_back("stream ended without end or error event after " + state.lastEventId);
      co_return;
    }
    if (!patienceLeft(begin)) {
      ++run_.counts.lost;
      run_.remarks.push_back("lost stream after '" + state.lastEventId +
                             "': " + (part.failure ? part.failure->detail : part.errorBody));
      co_return;
    }
    ++run_.counts.retries;
    co_await pauseBeforeRetry();
  }
}

awaitable<void> SoakCaller::readFromService() {
  const std::string path = run_.fleet.servicePath + "index/" + std::to_string(random_());
  const MonotonicTime begin = monotonicNow();
  for (;;) {
    const Result<http::Response> response =
        co_await exchange(nextRouter(), serviceRequest("GET", path));
    if (response && response.value().status == 200) {
      if (fieldOf(response.value().body, "path") != path) {
        ++run_.counts.mixed;
        run_.remarks.push_back("read of " + path + " gave " + response.value().body);
      }
      ++run_.counts.completed;
      co_return;
    }
    if (!patienceLeft(begin)) {
      ++run_.counts.lost;
      run_.remarks.push_back("lost read: " +
                             (response ? response.value().body : response.error().detail));
      co_return;
    }
    ++run_.counts.retries;
    co_await pauseBeforeRetry();
  }
}

awaitable<void> SoakCaller::submitOnce() {
  constexpr std::uint64_t kTwiceOneIn = 8;
  OneTimeRecord& record = run_.oneTime.emplace_back();
  record.key = makeKey(random_);
  const std::string body = "turn " + record.key;
  if (pick(1, kTwiceOneIn) == 1) {
    // An impatient caller: the same key through two routers at once.
    const std::size_t router = nextRouter();
    ++run_.callers;
    const auto second = [](SoakRun& run, std::uint64_t seed, OneTimeRecord& shared,
                           std::string text, std::size_t target) -> awaitable<void> {
      SoakCaller caller(run, seed);
      const bool again = co_await caller.submitTry(shared, std::move(text), target);
      static_cast<void>(again);
      --run.callers;
    };
    asio::co_spawn(co_await asio::this_coro::executor,
                   second(run_, random_(), record, body, router), asio::detached);
  }
  co_await submitUntilAnswered(record, body);
}

awaitable<void> SoakCaller::submitUntilAnswered(OneTimeRecord& record, std::string body) {
  const MonotonicTime begin = monotonicNow();
  for (;;) {
    const bool again = co_await submitTry(record, body, nextRouter());
    const bool triesLeft = record.tries.size() < kMostOneTimeTries || record.answered() == 0;
    if (!again || !triesLeft || !patienceLeft(begin)) {
      ++run_.counts.completed;
      co_return;
    }
    ++run_.counts.retries;
    co_await pauseBeforeRetry();
  }
}

awaitable<bool> SoakCaller::submitTry(OneTimeRecord& record, std::string body, std::size_t router) {
  http::Request request = serviceRequest("POST", run_.fleet.servicePath + "downloads");
  request.headers.set(http::kIdempotencyKeyHeader, record.key);
  request.headers.set(http::kNotRepeatableHeader, "true");
  request.body = body;
  // An id for each try shows which of them ran.
  const std::size_t number = record.tries.size();
  record.tries.push_back({record.key + "-" + std::to_string(number), std::nullopt});
  request.headers.set(http::kRequestIdHeader, record.tries.back().requestId);
  const Result<http::Response> response = co_await exchange(router, std::move(request));
  if (!response) {
    co_return true;
  }
  record.tries[number].told = parseRunStatement(response.value().headers.get(http::kRunHeader));
  if (response.value().status != 200) {
    co_return mayTryAgain(response.value().headers.get(http::kErrorKindHeader));
  }
  if (fieldOf(response.value().body, "echo") != body) {
    ++run_.counts.mixed;
    run_.remarks.push_back("submit of " + record.key + " gave " + response.value().body);
  }
  co_return false;
}

awaitable<Result<http::Response>> SoakCaller::exchange(std::size_t router, http::Request request) {
  const MonotonicTime begin = monotonicNow();
  Result<http::Response> response = co_await run_.client.exchange(
      run_.fleet.routers[router].endpoint, std::move(request), callerOptions());
  if (!response) {
    noteFailure(router, begin, response.error());
  }
  co_return response;
}

void SoakCaller::noteFailure(std::size_t router, MonotonicTime begin, const Error& error) {
  const bool broke =
      error.kind == ErrorKind::kOutcomeUnknown || error.kind == ErrorKind::kStreamBroken;
  if (broke) {
    run_.broken.push_back({router, begin, monotonicNow(), error.detail});
  }
}

void SoakCaller::noteText(const CompletionCall& call, std::string_view text,
                          const std::string& where) {
  const TextCheck check = checkText(call.prompt, call.maxTokens, text);
  run_.counts.countText(check);
  if (check != TextCheck::kWhole) {
    run_.remarks.push_back("wrong text in " + where + ": " + std::string(text));
  }
}

CompletionCall SoakCaller::makeCall() {
  constexpr std::uint64_t kPrefixes = 8;
  constexpr std::size_t kPrefixBytes = 512;
  constexpr std::uint64_t kMostTokens = 40;
  CompletionCall call;
  call.model = run_.fleet.model;
  call.apiKey = run_.fleet.apiKey;
  call.maxTokens = pick(1, kMostTokens);
  call.prompt = "manifest " + std::to_string(pick(1, kPrefixes)) + " ";
  call.prompt.resize(kPrefixBytes, 'm');
  call.prompt += " question " + std::to_string(random_());
  return call;
}

http::Request SoakCaller::serviceRequest(std::string method, const std::string& path) const {
  http::Request request;
  request.method = std::move(method);
  request.target = path;
  request.headers.set("Authorization", "Bearer " + run_.fleet.apiKey);
  request.headers.set(http::kDeadlineHeader, kServiceDeadlineMs);
  return request;
}

std::size_t SoakCaller::nextRouter() {
  const std::size_t count = run_.fleet.routers.size();
  if (count > 1) {
    lastRouter_ = (lastRouter_ + pick(1, count - 1)) % count;
  }
  return lastRouter_;
}

std::uint64_t SoakCaller::pick(std::uint64_t lowest, std::uint64_t highest) {
  return std::uniform_int_distribution<std::uint64_t>(lowest, highest)(random_);
}

awaitable<void> SoakCaller::pauseBeforeRetry() {
  constexpr std::uint64_t kShortestMs = 50;
  constexpr std::uint64_t kLongestMs = 250;
  const Milliseconds pause(static_cast<std::int64_t>(pick(kShortestMs, kLongestMs)));
  asio::steady_timer timer(co_await asio::this_coro::executor, pause);
  co_await timer.async_wait(asio::use_awaitable);
}

void startCallers(const asio::any_io_executor& executor, SoakRun& run, std::size_t count,
                  std::uint64_t seed) {
  const auto runCaller = [](SoakRun& shared, std::uint64_t callerSeed) -> awaitable<void> {
    SoakCaller caller(shared, callerSeed);
    co_await caller.runUntilStopped();
    --shared.callers;
  };
  run.callers += count;
  for (std::size_t number = 0; number < count; ++number) {
    asio::co_spawn(executor, runCaller(run, seed + number), asio::detached);
  }
}

}  // namespace calicodrift::bench
