#include "http/server.h"

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
using asio::awaitable;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

Error callerGoneError() {
  return fail(ErrorKind::kCallerGone, "the caller closed the connection");
}

template <typename BeastMessage>
void copyHeaders(const Response& response, BeastMessage& message) {
  for (const Header& header : response.headers.all()) {
    message.set(header.name, header.value);
  }
}

Request toRequest(bhttp::request<bhttp::string_body>&& message) {
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.set(std::string(field.name_string()), std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

Error readError(beast::error_code code) {
  if (code == bhttp::error::header_limit) {
    return fail(ErrorKind::kHeaderTooLarge, "the headers are larger than this router takes");
  }
  if (code == bhttp::error::body_limit) {
    return fail(ErrorKind::kBodyTooLarge, "the body is larger than this router takes");
  }
  if (code == beast::error::timeout) {
    return fail(ErrorKind::kRequestTimeout, "the request did not arrive in time");
  }
  return fail(ErrorKind::kMalformedRequest, "not an HTTP/1.1 request: " + code.message());
}

/// Whether the error is one of the connection (nobody is left to answer) and not of the content.
bool connectionLost(beast::error_code code) {
  return code == bhttp::error::end_of_stream || code == asio::error::eof ||
         code == asio::error::connection_reset || code == asio::error::operation_aborted ||
         code == asio::error::broken_pipe || code == bhttp::error::partial_message;
}

}  // namespace

/// Shared by the server and its coroutines, which may outlive it.
struct ServerState {
  ServerState(const asio::any_io_executor& executor, ServerLimits limits, Handler handler)
      : acceptor(executor), limits(limits), handler(std::move(handler)) {}

  Tcp::acceptor acceptor;
  const ServerLimits limits;
  const Handler handler;
  std::size_t active = 0;
  std::size_t busy = 0;
  std::size_t connections = 0;
  /// Connections close after their next answer.
  bool closing = false;
  bool stopping = false;
};

namespace {

constexpr std::size_t kFirstReadBytes = 4096;
constexpr Milliseconds kLingerTime{1000};
constexpr std::size_t kLingerBytes = 67'108'864;
constexpr std::size_t kLingerPieceBytes = 65'536;
using RequestParser = bhttp::request_parser<bhttp::string_body>;

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

/// One connection: reads requests in turn and runs the handler on each.
class Connection : public ResponseWriter, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Tcp::socket socket, std::shared_ptr<ServerState> server)
      : stream_(std::move(socket)),
        server_(std::move(server)),
        limits_(server_->limits),
        readTimer_(stream_.get_executor()) {
    beast::error_code ignored;
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
  }

  awaitable<void> run() {
    bool more = true;
    while (more) {
      more = co_await serveOne();
    }
  }

  awaitable<void> refuse(const Error& error) {
    keepAlive_ = false;
    Response response = errorResponse(error);
    co_await http::respond(*this, std::move(response));
  }

  /// Ends the connection so that the last answer arrives: closing a socket that still holds unread
  /// bytes resets the connection, and the reset may overtake the answer. So what the caller still
  /// sends is read and dropped, for a bounded time and size, until the caller closes.
  awaitable<void> linger() {
    beast::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    stream_.expires_after(kLingerTime);
    std::size_t dropped = 0;
    while (dropped < kLingerBytes) {
      buffer_.clear();
      auto [code, count] =
          co_await stream_.async_read_some(buffer_.prepare(kLingerPieceBytes), kAwait);
      if (code) {
        co_return;
      }
      dropped += count;
    }
  }

  awaitable<Result<void>> send(Response response) override {
    answered_ = true;
    bhttp::response<bhttp::string_body> message{static_cast<bhttp::status>(response.status), 11};
    copyHeaders(response, message);
    message.body() = std::move(response.body);
    message.keep_alive(keepsAlive());
    message.prepare_payload();
    if (headOnly_) {
      // The length stays, as it is what GET would give.
      message.body().clear();
    }
    stream_.expires_after(limits_.writeTimeout);
    auto [code, bytes] = co_await bhttp::async_write(stream_, message, kAwait);
    co_return outcomeOfWrite(code);
  }

  awaitable<Result<void>> startStream(Response response) override {
    answered_ = true;
    streamStarted_ = true;
    bhttp::response<bhttp::empty_body> message{static_cast<bhttp::status>(response.status), 11};
    copyHeaders(response, message);
    message.keep_alive(keepsAlive());
    message.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer{message};
    stream_.expires_after(limits_.writeTimeout);
    auto [code, bytes] = co_await bhttp::async_write_header(stream_, serializer, kAwait);
    co_return outcomeOfWrite(code);
  }

  awaitable<Result<void>> writeChunk(std::string_view bytes) override {
    stream_.expires_after(limits_.writeTimeout);
    const auto chunk = bhttp::make_chunk(asio::buffer(bytes.data(), bytes.size()));
    auto [code, written] = co_await asio::async_write(stream_, chunk, kAwait);
    co_return outcomeOfWrite(code);
  }

  awaitable<Result<void>> endStream() override {
    stream_.expires_after(limits_.writeTimeout);
    const auto chunk = bhttp::make_chunk_last();
    auto [code, written] = co_await asio::async_write(stream_, chunk, kAwait);
    co_return outcomeOfWrite(code);
  }

  void abort() override {
    keepAlive_ = false;
    stream_.close();
  }

  void onCallerGone(std::function<void()> callback) override {
    goneCallback_ = std::move(callback);
    if (gone_ && goneCallback_) {
      const auto callNow = std::exchange(goneCallback_, nullptr);
      callNow();
    }
  }
  bool callerGone() const override { return gone_; }
  bool streamStarted() const override { return streamStarted_; }

 private:
  /// Whether the connection may serve another request; false once an answer has said that it won't.
  bool keepsAlive() {
    keepAlive_ = keepAlive_ && !server_->closing;
    return keepAlive_;
  }

  awaitable<bool> serveOne() {
    const bool arrived = co_await waitForFirstByte();
    if (!arrived) {
      co_return false;
    }
    const CountGuard busy(server_->busy);
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
    parser.body_limit(limits_.maxBodyBytes);
    const beast::error_code code = co_await readRequest(parser);
    if (code) {
      if (!connectionLost(code)) {
        const Error error = readError(code);
        co_await refuse(error);
        co_await linger();
      }
      co_return false;
    }
    keepAlive_ = parser.get().keep_alive();
    headOnly_ = parser.get().method() == bhttp::verb::head;
    Request request = toRequest(parser.release());
    co_await handle(request);
    const bool more = keepAlive_ && !gone_;
    if (!more && !gone_) {
      co_await linger();
    }
    co_return more;
  }

  awaitable<bool> waitForFirstByte() {
    if (buffer_.size() > 0) {
      co_return true;
    }
    stream_.expires_after(limits_.idleTimeout);
    auto [code, count] = co_await stream_.async_read_some(buffer_.prepare(kFirstReadBytes), kAwait);
    if (code) {
      co_return false;
    }
    buffer_.commit(count);
    co_return true;
  }

  /// Reads header and body within the read timeout. The timeout stops the reading only, where the
  /// stream's own would close the connection and leave no way to answer.
  awaitable<beast::error_code> readRequest(RequestParser& parser) {
    stream_.expires_never();
    timedOut_ = false;
    readTimer_.expires_after(limits_.readTimeout);
    readTimer_.async_wait([self = shared_from_this()](beast::error_code code) {
      if (!code && self->reading_) {
        self->timedOut_ = true;
        self->stream_.cancel();
      }
    });
    reading_ = true;
    beast::error_code code = co_await readHeaderAndBody(parser);
    reading_ = false;
    readTimer_.cancel();
    if (timedOut_) {
      code = beast::error::timeout;
    }
    co_return code;
  }

  awaitable<beast::error_code> readHeaderAndBody(RequestParser& parser) {
    auto [headerCode, headerBytes] =
        co_await bhttp::async_read_header(stream_, buffer_, parser, kAwait);
    if (headerCode) {
      co_return headerCode;
    }
    if (beast::iequals(parser.get()[bhttp::field::expect], "100-continue") && !parser.is_done()) {
      static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
      auto [writeCode, written] =
          co_await asio::async_write(stream_, asio::buffer(kContinue), kAwait);
      if (writeCode) {
        co_return writeCode;
      }
    }
    auto [bodyCode, bodyBytes] = co_await bhttp::async_read(stream_, buffer_, parser, kAwait);
    co_return bodyCode;
  }

  awaitable<void> handle(Request& request) {
    answered_ = false;
    streamStarted_ = false;
    goneCallback_ = nullptr;
    watchForDisconnect();
    {
      const CountGuard active(server_->active);
      try {
        co_await server_->handler(request, *this);
      } catch (const std::exception& exception) {
        internalDetail_ = exception.what();
      }
      if (!answered_) {
        const Error error = fail(ErrorKind::kInternal, "no answer was made: " + internalDetail_);
        co_await refuse(error);
      }
    }
    goneCallback_ = nullptr;
    ++watchNumber_;
    disconnectWatch_.emit(asio::cancellation_type::terminal);
  }

  /// Waits until the socket is readable while the handler runs. A wait whose number is outdated
  /// belongs to an earlier request and does nothing.
  void watchForDisconnect() {
    const std::uint64_t number = ++watchNumber_;
    auto onReadable = [self = shared_from_this(), number](beast::error_code code) {
      if (!code && number == self->watchNumber_) {
        self->takeEarlyBytes();
      }
    };
    stream_.socket().async_wait(
        Tcp::socket::wait_read,
        asio::bind_cancellation_slot(disconnectWatch_.slot(), std::move(onReadable)));
  }

  /// Readable without a byte means that the caller has closed. Bytes are of a pipelined request
  /// and are kept for it; the watch ends when they are more than a header may have.
  void takeEarlyBytes() {
    if (buffer_.size() >= limits_.maxHeaderBytes) {
      return;
    }
    const auto space = buffer_.prepare(kFirstReadBytes);
    const auto count =
        ::recv(stream_.socket().native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    const bool nothingYet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (count <= 0 && !nothingYet) {
      markGone();
      return;
    }
    buffer_.commit(count > 0 ? static_cast<std::size_t>(count) : 0);
    watchForDisconnect();
  }

  void markGone() {
    if (gone_) {
      return;
    }
    gone_ = true;
    keepAlive_ = false;
    if (goneCallback_) {
      const auto callback = std::exchange(goneCallback_, nullptr);
      callback();
    }
  }

  Result<void> outcomeOfWrite(beast::error_code code) {
    if (code) {
      markGone();
      return callerGoneError();
    }
    return boost::outcome_v2::success();
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  const std::shared_ptr<ServerState> server_;
  const ServerLimits& limits_;
  asio::steady_timer readTimer_;
  asio::cancellation_signal disconnectWatch_;
  std::uint64_t watchNumber_ = 0;
  std::function<void()> goneCallback_;
  std::string internalDetail_;
  bool reading_ = false;
  bool timedOut_ = false;
  bool keepAlive_ = true;
  bool headOnly_ = false;
  bool gone_ = false;
  bool answered_ = false;
  bool streamStarted_ = false;
};

awaitable<void> runConnection(Tcp::socket socket, std::shared_ptr<ServerState> server) {
  const CountGuard counted(server->connections);
  auto connection = std::make_shared<Connection>(std::move(socket), server);
  if (server->connections > server->limits.maxConnections) {
    const Error error = fail(ErrorKind::kTooManyConnections, "the connection limit is reached");
    co_await connection->refuse(error);
    co_await connection->linger();
  } else {
    co_await connection->run();
  }
}

/// Takes the connections that the system has already accepted, which closing would reset.
void acceptPending(const std::shared_ptr<ServerState>& server) {
  beast::error_code code;
  server->acceptor.non_blocking(true, code);
  while (!code) {
    Tcp::socket socket(server->acceptor.get_executor());
    server->acceptor.accept(socket, code);
    if (!code) {
      const auto executor = server->acceptor.get_executor();
      asio::co_spawn(executor, runConnection(std::move(socket), server), asio::detached);
    }
  }
}

awaitable<void> acceptLoop(std::shared_ptr<ServerState> server) {
  while (!server->stopping) {
    auto [code, socket] = co_await server->acceptor.async_accept(kAwait);
    if (code && !server->acceptor.is_open()) {
      co_return;
    }
    if (code) {
      // Out of file descriptors, as a rule: wait for connections to close.
      constexpr Milliseconds kPause{50};
      asio::steady_timer timer(server->acceptor.get_executor(), kPause);
      co_await timer.async_wait(kAwait);
      continue;
    }
    const auto executor = server->acceptor.get_executor();
    asio::co_spawn(executor, runConnection(std::move(socket), server), asio::detached);
  }
}

}  // namespace

awaitable<void> respond(ResponseWriter& writer, Response response) {
  const Result<void> sent = co_await writer.send(std::move(response));
  static_cast<void>(sent);
}

awaitable<void> closeStream(ResponseWriter& writer, std::string lastChunk) {
  const Result<void> written = co_await writer.writeChunk(lastChunk);
  if (!written) {
    co_return;
  }
  const Result<void> ended = co_await writer.endStream();
  static_cast<void>(ended);
}

Server::Server(const asio::any_io_executor& executor, ServerLimits limits, Handler handler)
    : state_(std::make_shared<ServerState>(executor, limits, std::move(handler))) {}

Server::~Server() {
  state_->stopping = true;
  beast::error_code ignored;
  state_->acceptor.close(ignored);
}

Result<Endpoint> Server::listen(const Endpoint& endpoint) {
  const Tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
  beast::error_code code;
  state_->acceptor.open(address.protocol(), code);
  if (!code) {
    state_->acceptor.set_option(asio::socket_base::reuse_address(true), code);
  }
  if (!code) {
    state_->acceptor.bind(address, code);
  }
  if (!code) {
    state_->acceptor.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return fail(ErrorKind::kSettingsInvalid,
                "cannot listen on " + endpoint.toString() + ": " + code.message());
  }
  asio::co_spawn(state_->acceptor.get_executor(), acceptLoop(state_), asio::detached);
  return Endpoint{endpoint.address, state_->acceptor.local_endpoint().port()};
}

void Server::closeAfterAnswers() {
  state_->closing = true;
}

void Server::stopAccepting() {
  state_->closing = true;
  state_->stopping = true;
  if (state_->acceptor.is_open()) {
    acceptPending(state_);
  }
  beast::error_code ignored;
  state_->acceptor.close(ignored);
}

std::size_t Server::activeRequests() const {
  return state_->active;
}
std::size_t Server::busyConnections() const {
  return state_->busy;
}
std::size_t Server::openConnections() const {
  return state_->connections;
}

}  // namespace calicodrift::http
