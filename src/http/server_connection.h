#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "http/client.h"
#include "http/connection_admission.h"
#include "http/server.h"

// Internal to src/http: only server*.cc include this file.
namespace calicodrift::http {

class Connection;

/// Shared by the server and its coroutines, which may outlive it.
struct ServerState {
  ServerState(const boost::asio::any_io_executor& executor, ServerLimits limits, Handler handler)
      : acceptor(executor),
        limits(limits),
        handler(std::move(handler)),
        admission(limits.maxLoopDelay) {}

  boost::asio::ip::tcp::acceptor acceptor;
  ServerLimits limits;
  const Handler handler;
  /// Requests within the handler.
  std::size_t active = 0;
  /// Connections from a request's first byte until its answer is delivered.
  std::size_t busy = 0;
  std::size_t connections = 0;
  /// Bodies of requests that are being read or handled.
  std::size_t heldBodyBytes = 0;
  ConnectionAdmission admission;
  /// A task that measures the loop's delay waits to run.
  bool measuresDelay = false;
  std::size_t refusedConnections = 0;
  /// Requests whose handler ended with an exception.
  std::size_t failedHandlers = 0;
  /// Connections that wait for a request's first byte.
  std::set<Connection*> idle;
  /// Connections close after their next answer.
  bool closing = false;
  bool stopping = false;
};

/// Counts one for as long as it lives.
class CountGuard {
 public:
  explicit CountGuard(std::size_t& count) : count_(count) { ++count_; }
  ~CountGuard() { --count_; }
  CountGuard(const CountGuard&) = delete;
  CountGuard& operator=(const CountGuard&) = delete;

 private:
  std::size_t& count_;
};

/// The share of one request in the bytes that are held, for as long as it lives.
class HeldBytes {
 public:
  explicit HeldBytes(std::size_t& total) : total_(total) {}
  ~HeldBytes() { total_ -= own_; }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  /// Replaces the share unless the total would exceed `most`. Returns whether it did.
  bool tryResize(std::size_t bytes, std::size_t most) {
    const std::size_t others = total_ - own_;
    if (bytes > own_ && others + bytes > most) {
      return false;
    }
    total_ = others + bytes;
    own_ = bytes;
    return true;
  }

 private:
  std::size_t& total_;
  std::size_t own_ = 0;
};

/// One connection: reads requests in turn and runs the handler on each.
class Connection : public ResponseWriter, public std::enable_shared_from_this<Connection> {
 public:
  using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  Connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerState> server);
  /// Serves requests until either side ends the connection.
  boost::asio::awaitable<void> run();
  /// Ends the wait for a request's first byte, and so the connection.
  void endIdleWait() { stream_.cancel(); }
  /// Answers with an error and keeps the connection for no other request.
  boost::asio::awaitable<void> refuse(const Error& error);
  /// Ends the connection so that the last answer arrives: closing a socket that still holds unread
  /// bytes resets the connection, and the reset may overtake the answer. So what the caller still
  /// sends is read and dropped, for a bounded time and size, until the caller closes.
  boost::asio::awaitable<void> linger();
  boost::asio::awaitable<Result<void>> send(Response response) override;
  boost::asio::awaitable<Result<void>> startStream(Response response) override;
  boost::asio::awaitable<Result<void>> writeChunk(std::string_view bytes) override;
  boost::asio::awaitable<Result<void>> endStream() override;
  boost::asio::awaitable<Result<TunnelTotals>> tunnel(ClientConnection server,
                                                      TunnelOptions options) override;
  void abort() override;
  void onCallerGone(std::function<void()> callback) override;
  bool callerGone() const override { return gone_; }
  bool callerHasClosed() override;
  bool streamStarted() const override { return streamStarted_; }

 private:
  /// Whether the connection may serve another request; false once an answer has said that it won't.
  bool keepsAlive();
  /// True if another request may follow.
  boost::asio::awaitable<bool> serveOne();
  /// False if none came within the idle timeout, or the caller closed.
  boost::asio::awaitable<bool> waitForFirstByte();
  /// Reads header and body within the read timeout. The timeout stops the reading only, where the
  /// stream's own would close the connection and leave no way to answer.
  boost::asio::awaitable<boost::beast::error_code> readRequest(RequestParser& parser,
                                                               HeldBytes& held);
  boost::asio::awaitable<boost::beast::error_code> readHeaderAndBody(RequestParser& parser,
                                                                     HeldBytes& held);
  /// Ends early, with `overBudget_`, if the server holds too many bytes of bodies.
  boost::asio::awaitable<boost::beast::error_code> readBody(RequestParser& parser, HeldBytes& held);
  /// The refusal of a request that was not read.
  Error refusalOf(boost::beast::error_code code) const;
  boost::asio::awaitable<void> handle(Request& request);

  /// Waits until the socket is readable while the handler runs. A wait whose number is outdated
  /// belongs to an earlier request and does nothing.
  void watchForDisconnect();
  void stopWatching();
  /// Readable without a byte means that the caller has closed. Bytes are of a pipelined request
  /// and are kept for it, as many as a header may have.
  void takeEarlyBytes();
  /// Watches for the caller's close behind bytes that stay unread, which make the socket readable
  /// all the time.
  void watchBehindEarlyBytes();
  void markGone();
  Result<void> outcomeOfWrite(boost::beast::error_code code);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  const std::shared_ptr<ServerState> server_;
  const ServerLimits& limits_;
  boost::asio::steady_timer readTimer_;
  boost::asio::steady_timer closeCheckTimer_;
  boost::asio::cancellation_signal disconnectWatch_;
  std::uint64_t watchNumber_ = 0;
  /// Requests that were read.
  std::size_t served_ = 0;
  std::function<void()> goneCallback_;
  std::string internalDetail_;
  bool reading_ = false;
  bool timedOut_ = false;
  bool overBudget_ = false;
  bool keepAlive_ = true;
  bool headOnly_ = false;
  bool gone_ = false;
  bool answered_ = false;
  bool streamStarted_ = false;
  /// A stream's head has been sent, and endStream() has not been called.
  bool streamOpen_ = false;
};

}  // namespace calicodrift::http
