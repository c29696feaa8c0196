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
  std::size_t connections = 0;
  bool stopping = false;
};

namespace {

/// One connection: reads requests in turn and runs the handler on each.
class Connection : public ResponseWriter, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Tcp::socket socket, const ServerLimits& limits, const Handler& handler,
             std::size_t& active, const bool& stopping)
      : stream_(std::move(socket)),
        limits_(limits),
        handler_(handler),
        active_(active),
        stopping_(stopping) {
    beast::error_code ignored;
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
  }

  awaitable<void> run() {
    bool more = true;
    while (more) {
      more = co_await serveOne();
    }
    beast::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

  awaitable<void> refuse(const Error& error) {
    keepAlive_ = false;
    Response response = errorResponse(error);
    co_await http::respond(*this, std::move(response));
  }

  awaitable<Result<void>> send(Response response) override {
    answered_ = true;
    bhttp::response<bhttp::string_body> message{static_cast<bhttp::status>(response.status), 11};
    copyHeaders(response, message);
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive_ && !stopping_);
    message.prepare_payload();
    stream_.expires_after(limits_.writeTimeout);
    auto [code, bytes] = co_await bhttp::async_write(stream_, message, kAwait);
    co_return outcomeOfWrite(code);
  }

  awaitable<Result<void>> startStream(Response response) override {
    answered_ = true;
    streamStarted_ = true;
    bhttp::response<bhttp::empty_body> message{static_cast<bhttp::status>(response.status), 11};
    copyHeaders(response, message);
    message.keep_alive(keepAlive_ && !stopping_);
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
  }
  bool callerGone() const override { return gone_; }
  bool streamStarted() const override { return streamStarted_; }

 private:
  awaitable<bool> serveOne() {
    bhttp::request_parser<bhttp::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
    parser.body_limit(limits_.maxBodyBytes);
    if (buffer_.size() == 0) {
      stream_.expires_after(limits_.idleTimeout);
      auto [idleCode, count] =
          co_await stream_.async_read_some(buffer_.prepare(kFirstReadBytes), kAwait);
      if (idleCode) {
        co_return false;
      }
      buffer_.commit(count);
    }
    stream_.expires_after(limits_.readTimeout);
    auto [code, bytes] = co_await bhttp::async_read(stream_, buffer_, parser, kAwait);
    if (code) {
      if (!connectionLost(code)) {
        const Error error = readError(code);
        co_await refuse(error);
      }
      co_return false;
    }
    keepAlive_ = parser.get().keep_alive();
    Request request = toRequest(parser.release());
    stream_.expires_never();
    co_await handle(request);
    co_return keepAlive_ && !gone_ && !stopping_;
  }

  awaitable<void> handle(Request& request) {
    answered_ = false;
    streamStarted_ = false;
    goneCallback_ = nullptr;
    watchForDisconnect();
    ++active_;
    try {
      co_await handler_(request, *this);
    } catch (const std::exception& exception) {
      internalDetail_ = exception.what();
    }
    if (!answered_) {
      const Error error = fail(ErrorKind::kInternal, "no answer was made: " + internalDetail_);
      co_await refuse(error);
    }
    --active_;
    goneCallback_ = nullptr;
    disconnectWatch_.emit(asio::cancellation_type::terminal);
  }

  /// Waits until the socket is readable while the handler runs: readable without a byte means that
  /// the caller has closed. A byte means a pipelined request; then the watch ends.
  void watchForDisconnect() {
    auto onReadable = [self = shared_from_this()](beast::error_code code) {
      if (code) {
        return;
      }
      char byte = 0;
      const auto count =
          ::recv(self->stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (count <= 0) {
        self->markGone();
      }
    };
    stream_.socket().async_wait(
        Tcp::socket::wait_read,
        asio::bind_cancellation_slot(disconnectWatch_.slot(), std::move(onReadable)));
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

  static constexpr std::size_t kFirstReadBytes = 4096;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  const ServerLimits& limits_;
  const Handler& handler_;
  std::size_t& active_;
  const bool& stopping_;
  asio::cancellation_signal disconnectWatch_;
  std::function<void()> goneCallback_;
  std::string internalDetail_;
  bool keepAlive_ = true;
  bool gone_ = false;
  bool answered_ = false;
  bool streamStarted_ = false;
};

awaitable<void> runConnection(Tcp::socket socket, std::shared_ptr<ServerState> server) {
  ++server->connections;
  auto connection = std::make_shared<Connection>(std::move(socket), server->limits, server->handler,
                                                 server->active, server->stopping);
  if (server->connections > server->limits.maxConnections) {
    const Error error = fail(ErrorKind::kTooManyConnections, "the connection limit is reached");
    co_await connection->refuse(error);
  } else {
    co_await connection->run();
  }
  --server->connections;
}

awaitable<void> acceptLoop(std::shared_ptr<ServerState> server) {
  while (!server->stopping) {
    auto [code, socket] = co_await server->acceptor.async_accept(kAwait);
    if (server->stopping || code == asio::error::operation_aborted) {
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
  stopAccepting();
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

void Server::stopAccepting() {
  state_->stopping = true;
  beast::error_code ignored;
  state_->acceptor.close(ignored);
}

std::size_t Server::activeRequests() const {
  return state_->active;
}
std::size_t Server::openConnections() const {
  return state_->connections;
}

}  // namespace calicodrift::http
