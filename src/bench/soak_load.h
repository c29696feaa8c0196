#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "bench/completion_call.h"
#include "bench/soak_checker.h"
#include "bench/soak_fleet.h"
#include "http/client.h"

namespace calicodrift::bench {

/// What all callers of one run share; they run on one thread.
struct SoakRun {
  SoakRun(http::Client& client, FleetDescription fleet) : client(client), fleet(std::move(fleet)) {}

  http::Client& client;
  FleetDescription fleet;
  SoakCounts counts;
  /// A deque, so that callers keep references to their records.
  std::deque<OneTimeRecord> oneTime;
  std::vector<BrokenTry> broken;
  /// Callers begin new requests while this is set.
  bool loading = true;
  std::size_t callers = 0;
  /// One line for each violation that a caller saw, for people.
  std::vector<std::string> remarks;
};

/// One caller: sends requests of all sorts, one at a time, through any router, tries again through
/// another one as the answers allow, and checks what it gets. The same seed gives the same
/// requests.
class SoakCaller {
 public:
  SoakCaller(SoakRun& run, std::uint64_t seed) : run_(run), random_(seed) {}

  /// Sends requests until the run stops loading, and ends the last one.
  boost::asio::awaitable<void> runUntilStopped();

 private:
  boost::asio::awaitable<void> completeInOneBody();
  boost::asio::awaitable<void> completeAsStream();
  boost::asio::awaitable<void> readFromService();
  /// A request that must run at most once, with an idempotency key.
  boost::asio::awaitable<void> submitOnce();
  boost::asio::awaitable<void> submitUntilAnswered(OneTimeRecord& record, std::string body);
  /// @return whether the caller should try again with the same key.
  boost::asio::awaitable<bool> submitTry(OneTimeRecord& record, std::string body,
                                         std::size_t router);

  boost::asio::awaitable<Result<http::Response>> exchange(std::size_t router,
                                                          http::Request request);
  void noteFailure(std::size_t router, MonotonicTime begin, const Error& error);
  void noteText(const CompletionCall& call, std::string_view text, const std::string& where);
  CompletionCall makeCall();
  http::Request serviceRequest(std::string method, const std::string& path) const;
  /// Another router than the last one.
  std::size_t nextRouter();
  std::uint64_t pick(std::uint64_t lowest, std::uint64_t highest);
  boost::asio::awaitable<void> pauseBeforeRetry();

  SoakRun& run_;
  std::mt19937_64 random_;
  std::size_t lastRouter_ = 0;
};

/// Starts `count` callers; `run.callers` falls to 0 once all have ended.
void startCallers(const boost::asio::any_io_executor& executor, SoakRun& run, std::size_t count,
                  std::uint64_t seed);

}  // namespace calicodrift::bench
