#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "forward/server_calls.h"

namespace calicodrift::forward {

/// State of one run of a server.
enum class RunState {
  /// It has answered a question that was asked after the check began.
  kRunning,
  kEnded,
  /// No answer in time, or the question could not be sent. A later question may find out more.
  kSilent,
  /// The answer does not show which run gave it.
  kUnidentified,
};
/// Whether the state says if the run has ended.
inline bool isDecided(RunState state) {
  return state == RunState::kRunning || state == RunState::kEnded;
}

/// Finds out whether the process of a server's run is alive, by querying its report on a new
/// connection. The process has ended if the connection is refused at this node and at another one,
/// if another server answers, or if a later run of this server does. Checks of one run that begin
/// while a question is under way share the next one: the answer to an earlier question may have
/// been given before the process ended.
class CrashCheck {
 public:
  /// Called when a server reports a later run than the known one.
  using LaterRunListener = std::function<void(const BackendId&, const ServerReport&)>;

  CrashCheck(boost::asio::any_io_executor executor, ServerCalls& calls,
             const ServerProtocol& protocol, LaterRunListener onLaterRun);

  /// Takes one round trip if the network path works and no question is under way, and at most twice
  /// kAnswerTimeout.
  boost::asio::awaitable<RunState> stateOf(fleet::Server server);

  /// Least time between two questions for a run that were not answered.
  static constexpr Milliseconds kMinInterval{50};
  /// Several round trips, also between regions, where 100 ms is a long one.
  static constexpr Milliseconds kAnswerTimeout{200};

 private:
  using RunKey = std::pair<BackendId, Incarnation>;
  struct Probe {
    explicit Probe(const boost::asio::any_io_executor& executor) : answered(executor) {
      answered.expires_at(MonotonicTime::max());
    }

    std::optional<RunState> state;
    /// Cancelled when the result is available.
    boost::asio::steady_timer answered;
  };

  /// Asks until no check waits for a further question.
  boost::asio::awaitable<void> runProbes(fleet::Server server);
  boost::asio::awaitable<RunState> checkReport(fleet::Server server);
  RunState stateFrom(const fleet::Server& server, const http::Response& answer) const;

  boost::asio::any_io_executor executor_;
  ServerCalls& calls_;
  const ServerProtocol& protocol_;
  LaterRunListener onLaterRun_;
  /// By run, the probe that is to be sent next; null while one is under way that nobody waits
  /// behind.
  std::map<RunKey, std::shared_ptr<Probe>> next_;
};

}  // namespace calicodrift::forward
