#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <string>
#include <vector>

#include "http/client.h"

namespace calicodrift::testing {

/// What the callers of one tenant met.
struct Tally {
  std::size_t completed = 0;
  std::size_t refused = 0;
  /// Answers that are neither complete nor a refusal in due form.
  std::size_t wrong = 0;
  std::vector<double> completedMs;
  std::vector<double> refusedMs;

  void add(const Result<http::Response>& answer, double milliseconds) {
    if (answer && answer.value().status == 200U) {
      ++completed;
      completedMs.push_back(milliseconds);
    } else if (answer && isRefusal(answer.value())) {
      ++refused;
      refusedMs.push_back(milliseconds);
    } else {
      ++wrong;
    }
  }

  /// A refusal of the limits: not run, with the time to come back.
  static bool isRefusal(const http::Response& answer) {
    const std::string kind = answer.headers.get(http::kErrorKindHeader);
    const bool limited =
        kind == "rate_limited" || kind == "overloaded" || kind == "deadline_unreachable";
    return limited && answer.headers.get(http::kRunHeader) == "no" &&
           !answer.headers.get("Retry-After").empty();
  }
};

/// The sample below which a part (0 to 1) of them lies; 0 without samples.
inline double sampleAt(std::vector<double> samples, double part) {
  std::sort(samples.begin(), samples.end());
  return samples.empty()
             ? 0
             : samples[static_cast<std::size_t>(static_cast<double>(samples.size() - 1) * part)];
}

/// One caller that asks again and again with a pause, whatever the answers; those from `begin` on
/// count.
inline boost::asio::awaitable<void> callRepeatedly(http::Client& client, Endpoint router,
                                                   http::Request request, Milliseconds pause,
                                                   MonotonicTime begin, MonotonicTime end,
                                                   Tally& tally) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  while (monotonicNow() < end) {
    const MonotonicTime sent = monotonicNow();
    const Result<http::Response> answer = co_await client.exchange(router, request);
    if (sent >= begin) {
      tally.add(answer, toMilliseconds(monotonicNow() - sent));
    }
    timer.expires_after(pause);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

}  // namespace calicodrift::testing
