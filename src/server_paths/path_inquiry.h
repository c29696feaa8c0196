#pragma once

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <optional>

#include "server_paths/server_paths.h"

// Internal to src/server_paths.
namespace calicodrift::server_paths {

/// Questions to one server on both paths. Shared by the check and the coroutines that ask.
struct ServerPaths::PathInquiry {
  explicit PathInquiry(const boost::asio::any_io_executor& executor) : changed(executor) {}

  struct Question {
    /// When the question, or its latest step, began.
    MonotonicTime stepAt{};
    /// Empty while the question is outstanding.
    std::optional<bool> answered;
    MonotonicTime endedAt{};
    /// Nobody has answered or refused it.
    bool timedOut = false;

    bool failed() const { return answered == false; }
  };
  struct Round {
    Question direct;
    /// Asked later than the direct one.
    Question relayed;
  };

  bool answeredDirectly() const {
    return std::any_of(rounds.begin(), rounds.end(),
                       [](const Round& round) { return round.direct.answered == true; });
  }
  void begin(Question& question) { question.stepAt = monotonicNow(); }
  void passStep(Question& question) {
    question.stepAt = monotonicNow();
    changed.cancel();
  }
  void end(Question& question, bool answered, Milliseconds timeout) {
    question.answered = answered;
    question.endedAt = monotonicNow();
    question.timedOut = !answered && question.endedAt - question.stepAt >= timeout;
    changed.cancel();
  }
  /// Waits for the next change, until `until` at most.
  boost::asio::awaitable<void> wait(MonotonicTime until) {
    changed.expires_at(until);
    co_await changed.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  std::array<Round, 2> rounds;
  boost::asio::steady_timer changed;
};

}  // namespace calicodrift::server_paths
