#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "http/message.h"

namespace calicodrift::http {

/// Bounds that keep one caller from harming the process.
struct ServerLimits {
  std::size_t maxHeaderBytes = 16'384;
  std::size_t maxBodyBytes = 8'388'608;
  /// Of the requests that are being read or handled, all connections together. A request beyond it
  /// is refused.
  std::size_t maxHeldBodyBytes = 1'073'741'824;
  std::size_t maxConnections = 10000;
  /// Delay of the event loop from which new connections are closed unread; 0: never.
  Milliseconds maxLoopDelay{0};
  /// For the whole request once its first byte has come.
  Milliseconds readTimeout{30000};
  /// Between requests on one connection.
  Milliseconds idleTimeout{60000};
  /// For each write; a caller that reads more slowly is cut off.
  Milliseconds writeTimeout{30000};
};

class ClientConnection;

/// Reason of a kCallerGone: no bytes of the answer could be written within
/// ServerLimits::writeTimeout.
inline constexpr std::string_view kCallerTooSlow = "caller_too_slow";

/// Bytes that a tunnel has passed.
struct TunnelTotals {
  std::uint64_t fromCaller = 0;
  std::uint64_t fromServer = 0;
};

struct TunnelOptions {
  /// A tunnel on which nothing passes for so long is closed.
  Milliseconds idleTimeout{0};
  /// Called when the server has ended its side cleanly, before the caller is told so.
  std::function<void()> onServerEnd;
};

/// The answering side of one request. A handler calls either send() once, or startStream(),
/// writeChunk() any number of times and endStream(), or tunnel(). All of them fail with kCallerGone
/// after the caller has left.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  virtual boost::asio::awaitable<Result<void>> send(Response response) = 0;
  /// Sends status and headers; the body follows in chunks. `response.body` is ignored.
  virtual boost::asio::awaitable<Result<void>> startStream(Response response) = 0;
  /// Returns once the socket has taken the bytes, so that a slow caller slows its back end.
  virtual boost::asio::awaitable<Result<void>> writeChunk(std::string_view bytes) = 0;
  virtual boost::asio::awaitable<Result<void>> endStream() = 0;
  /// Accepts a CONNECT request: from now on the caller's connection is one to `server`, until
  /// either side ends it or it is idle for too long. Fails with kInternal if the writer has no
  /// connection of its own.
  virtual boost::asio::awaitable<Result<TunnelTotals>> tunnel(ClientConnection server,
                                                              TunnelOptions options);
  /// Closes the connection without an end mark, so that the caller sees an incomplete body.
  virtual void abort() = 0;
  /// Called at most once, when the caller closes its connection before the answer is complete; at
  /// once if it already has.
  virtual void onCallerGone(std::function<void()> callback) = 0;
  virtual bool callerGone() const = 0;
  /// Whether the caller has closed its side by now, even if the event loop has not reported it yet.
  virtual bool callerHasClosed() { return callerGone(); }
  virtual bool streamStarted() const = 0;
};

/// Writes the last chunk and the end mark, for a caller who may have gone meanwhile.
boost::asio::awaitable<void> closeStream(ResponseWriter& writer, std::string lastChunk);

/// Sends a whole response. A caller that has gone needs no answer, so nothing is reported back.
boost::asio::awaitable<void> respond(ResponseWriter& writer, Response response);

using Handler = std::function<boost::asio::awaitable<void>(Request&, ResponseWriter&)>;

struct ServerState;

/// HTTP/1.1 server on one executor; a coroutine per connection. All members are called on the
/// executor's one thread.
class Server {
 public:
  Server(const boost::asio::any_io_executor& executor, ServerLimits limits, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Starts to accept; port 0 lets the system choose. Fails with kSettingsInvalid where the address
  /// can't be bound.
  Result<Endpoint> listen(const Endpoint& endpoint);
  /// Replaces the limits, for requests that begin from now on.
  void setLimits(const ServerLimits& limits);
  /// Goes on serving, but every connection closes after its next answer and says so in it.
  void closeAfterAnswers();
  /// Closes the connections on which no request has begun.
  void closeIdle();
  /// Stops accepting, after taking what the system has accepted already. Open connections go on,
  /// and close after their next answer.
  void stopAccepting();
  /// Requests that a handler is working on.
  std::size_t activeRequests() const;
  /// Connections that were closed unread because the event loop was late.
  std::size_t refusedConnections() const;
  /// Requests whose handler ended with an exception.
  std::size_t failedHandlers() const;
  /// Connections that are within a request: from its first byte until the answer is delivered.
  std::size_t busyConnections() const;
  std::size_t openConnections() const;
  /// Bytes of the bodies that are held; see ServerLimits::maxHeldBodyBytes.
  std::size_t heldBodyBytes() const;

 private:
  std::shared_ptr<ServerState> state_;
};

}  // namespace calicodrift::http
