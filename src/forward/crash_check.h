#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "forward/protocol.h"
#include "forward/server_calls.h"

namespace calicodrift::forward {

/// Finds out whether a server's process has ended, after an answer of it broke off. Of an answer
/// that was lost, a connection that was reset and a garbled stream it says no.
///
/// The server is asked for its report over a new connection: a refused connection, another server
/// at the address or a later run prove the end. Silence proves nothing, as the path may be cut. All
/// that ask about one run at a time share one question, so that an end costs a node one call.
class CrashCheck {
 public:
  CrashCheck(boost::asio::any_io_executor executor, ServerCalls& calls,
             const ServerProtocol& protocol);

  /// Takes one way there and back on a path that works, kAnswerTimeout at most.
  boost::asio::awaitable<bool> hasEnded(fleet::Server server);

  /// Many ways there and back, over regions too: 100 ms between regions are long.
  static constexpr Milliseconds kAnswerTimeout{200};

 private:
  using Run = std::pair<BackendId, Incarnation>;
  struct Question {
    explicit Question(const boost::asio::any_io_executor& executor) : answered(executor) {}

    std::optional<bool> ended;
    /// Cancelled when the answer is there.
    boost::asio::steady_timer answered;
  };

  boost::asio::awaitable<void> ask(fleet::Server server, std::shared_ptr<Question> question);
  boost::asio::awaitable<bool> probe(fleet::Server server);

  boost::asio::any_io_executor executor_;
  ServerCalls& calls_;
  const ServerProtocol& protocol_;
  std::map<Run, std::shared_ptr<Question>> questions_;
};

}  // namespace calicodrift::forward
