#include "http/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "http/open_connection.h"
#include "http/peer_close.h"
#include "http/tunnel.h"
#include "log/log.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
using asio::awaitable;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kFirstReadBytes = 4096;
constexpr Milliseconds kLingerTime{1000};
constexpr std::size_t kLingerBytes = 67'108'864;
constexpr std::size_t kLingerPieceBytes = 65'536;
/// Interval between looks for a close that the event loop does not report.
constexpr Milliseconds kCloseCheckInterval{50};
using RequestParser = bhttp::request_parser<bhttp::string_body>;

Error writeError(beast::error_code code) {
  if (code == beast::error::timeout) {
    Error error = fail(ErrorKind::kCallerGone, "the caller took the answer too slowly");
    error.reason = kCallerTooSlow;
    return error;
  }
  return fail(ErrorKind::kCallerGone, "the caller closed the connection");
}

template <typename BeastMessage>
void copyHeaders(const Response& response, BeastMessage& message) {
  for (const Header& header : response.headers.all()) {
    message.insert(header.name, header.value);
  }
}

Request toRequest(bhttp::request<bhttp::string_body>&& message) {
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.add(std::string(field.name_string()), std::string(field.value()));
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

Connection::Connection(Tcp::socket socket, std::shared_ptr<ServerState> server)
    : stream_(std::move(socket)),
      server_(std::move(server)),
      limits_(server_->limits),
      readTimer_(stream_.get_executor()),
      closeCheckTimer_(stream_.get_executor()) {
  beast::error_code ignored;
  stream_.socket().set_option(Tcp::no_delay(true), ignored);
}

awaitable<void> Connection::run() {
  bool more = true;
  while (more) {
    more = co_await serveOne();
  }
}

awaitable<void> Connection::refuse(const Error& error) {
  keepAlive_ = false;
  Response response = errorResponse(error);
  co_await http::respond(*this, std::move(response));
}

awaitable<void> Connection::linger() {
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

awaitable<Result<void>> Connection::send(Response response) {
  bhttp::response<bhttp::string_body> message{static_cast<bhttp::status>(response.status), 11};
  copyHeaders(response, message);
  message.body() = std::move(response.body);
  message.keep_alive(keepsAlive());
  message.prepare_payload();
  if (headOnly_) {
    // The length stays, as it is what GET would give.
    message.body().clear();
  }
  answered_ = true;
  stream_.expires_after(limits_.writeTimeout);
  auto [code, bytes] = co_await bhttp::async_write(stream_, message, kAwait);
  co_return outcomeOfWrite(code);
}

awaitable<Result<void>> Connection::startStream(Response response) {
  bhttp::response<bhttp::empty_body> message{static_cast<bhttp::status>(response.status), 11};
  copyHeaders(response, message);
  message.keep_alive(keepsAlive());
  message.chunked(true);
  bhttp::response_serializer<bhttp::empty_body> serializer{message};
  answered_ = true;
  streamStarted_ = true;
  streamOpen_ = true;
  stream_.expires_after(limits_.writeTimeout);
  auto [code, bytes] = co_await bhttp::async_write_header(stream_, serializer, kAwait);
  co_return outcomeOfWrite(code);
}

awaitable<Result<void>> Connection::writeChunk(std::string_view bytes) {
  stream_.expires_after(limits_.writeTimeout);
  const auto chunk = bhttp::make_chunk(asio::buffer(bytes.data(), bytes.size()));
  auto [code, written] = co_await asio::async_write(stream_, chunk, kAwait);
  co_return outcomeOfWrite(code);
}

awaitable<Result<void>> Connection::endStream() {
  streamOpen_ = false;
  stream_.expires_after(limits_.writeTimeout);
  const auto chunk = bhttp::make_chunk_last();
  auto [code, written] = co_await asio::async_write(stream_, chunk, kAwait);
  co_return outcomeOfWrite(code);
}

awaitable<Result<TunnelTotals>> Connection::tunnel(ClientConnection server, TunnelOptions options) {
  answered_ = true;
  keepAlive_ = false;
  stopWatching();
  bhttp::response<bhttp::empty_body> message{bhttp::status::ok, 11};
  stream_.expires_after(limits_.writeTimeout);
  auto [code, bytes] = co_await bhttp::async_write(stream_, message, kAwait);
  if (code) {
    co_return outcomeOfWrite(code).error();
  }
  std::string early = beast::buffers_to_string(buffer_.data());
  buffer_.clear();
  const TunnelTotals totals =
      co_await passBytes(stream_, std::move(early), server.open().stream, std::move(options));
  markGone();
  co_return totals;
}

void Connection::abort() {
  keepAlive_ = false;
  stream_.close();
}

void Connection::onCallerGone(std::function<void()> callback) {
  goneCallback_ = std::move(callback);
  if (gone_ && goneCallback_) {
    const auto callNow = std::exchange(goneCallback_, nullptr);
    callNow();
  }
}

bool Connection::callerHasClosed() {
  return gone_ || peerHasClosed(stream_.socket().native_handle());
}

bool Connection::keepsAlive() {
  keepAlive_ = keepAlive_ && !server_->closing;
  return keepAlive_;
}

awaitable<bool> Connection::serveOne() {
  // A stream whose head promised to keep the connection may end after the server began to stop.
  const bool ended = server_->stopping && served_ > 0 && buffer_.size() == 0;
  const bool arrived = !ended && co_await waitForFirstByte();
  if (!arrived) {
    co_return false;
  }
  const CountGuard busy(server_->busy);
  const MonotonicTime begun = monotonicNow();
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.maxHeaderBytes));
  parser.body_limit(limits_.maxBodyBytes);
  HeldBytes held(server_->heldBodyBytes);
  const beast::error_code code = co_await readRequest(parser, held);
  if (code) {
    if (overBudget_ || !connectionLost(code)) {
      const Error error = refusalOf(code);
      co_await refuse(error);
      co_await linger();
    }
    co_return false;
  }
  ++served_;
  keepAlive_ = parser.get().keep_alive();
  headOnly_ = parser.get().method() == bhttp::verb::head;
  Request request = toRequest(parser.release());
  request.begun = begun;
  co_await handle(request);
  const bool more = keepAlive_ && !gone_;
  if (!more && !gone_) {
    co_await linger();
  }
  co_return more;
}

awaitable<bool> Connection::waitForFirstByte() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  stream_.expires_after(limits_.idleTimeout);
  server_->idle.insert(this);
  auto [code, count] = co_await stream_.async_read_some(buffer_.prepare(kFirstReadBytes), kAwait);
  server_->idle.erase(this);
  if (code) {
    co_return false;
  }
  buffer_.commit(count);
  co_return true;
}

awaitable<beast::error_code> Connection::readRequest(RequestParser& parser, HeldBytes& held) {
  stream_.expires_never();
  timedOut_ = false;
  overBudget_ = false;
  readTimer_.expires_after(limits_.readTimeout);
  readTimer_.async_wait([self = shared_from_this()](beast::error_code code) {
    if (!code && self->reading_) {
      self->timedOut_ = true;
      self->stream_.cancel();
    }
  });
  reading_ = true;
  beast::error_code code = co_await readHeaderAndBody(parser, held);
  reading_ = false;
  readTimer_.cancel();
  if (timedOut_) {
    code = beast::error::timeout;
  }
  co_return code;
}

awaitable<beast::error_code> Connection::readHeaderAndBody(RequestParser& parser, HeldBytes& held) {
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
  co_return co_await readBody(parser, held);
}

awaitable<beast::error_code> Connection::readBody(RequestParser& parser, HeldBytes& held) {
  const std::size_t announced = parser.content_length().value_or(0);
  for (;;) {
    const std::size_t bytes = std::max<std::size_t>(announced, parser.get().body().size());
    if (!held.tryResize(bytes, limits_.maxHeldBodyBytes)) {
      overBudget_ = true;
      co_return asio::error::no_buffer_space;
    }
    if (parser.is_done()) {
      co_return beast::error_code();
    }
    auto [code, count] = co_await bhttp::async_read_some(stream_, buffer_, parser, kAwait);
    if (code) {
      co_return code;
    }
  }
}

Error Connection::refusalOf(beast::error_code code) const {
  if (!overBudget_) {
    return readError(code);
  }
  Error error = fail(ErrorKind::kOverloaded,
                     "the bodies of other requests fill the memory that this router has for them");
  error.reason = "held_bodies";
  return error;
}

awaitable<void> Connection::handle(Request& request) {
  answered_ = false;
  streamStarted_ = false;
  streamOpen_ = false;
  goneCallback_ = nullptr;
  watchForDisconnect();
  {
    const CountGuard active(server_->active);
    try {
      co_await server_->handler(request, *this);
    } catch (const std::exception& exception) {
      internalDetail_ = exception.what();
      ++server_->failedHandlers;
      log::write(log::Level::kError, "request_handler_failed", {{"detail", internalDetail_}});
    }
    if (!answered_) {
      const Error error = fail(ErrorKind::kInternal, "no answer was made: " + internalDetail_);
      co_await refuse(error);
    }
    if (streamOpen_) {
      // Its caller would wait for the rest.
      abort();
    }
  }
  goneCallback_ = nullptr;
  stopWatching();
}

void Connection::stopWatching() {
  ++watchNumber_;
  disconnectWatch_.emit(asio::cancellation_type::terminal);
  closeCheckTimer_.cancel();
}

void Connection::watchForDisconnect() {
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

void Connection::takeEarlyBytes() {
  if (buffer_.size() >= limits_.maxHeaderBytes) {
    watchBehindEarlyBytes();
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

void Connection::watchBehindEarlyBytes() {
  closeCheckTimer_.expires_after(kCloseCheckInterval);
  closeCheckTimer_.async_wait(
      [self = shared_from_this(), number = watchNumber_](beast::error_code code) {
        if (code || number != self->watchNumber_) {
          return;
        }
        if (self->callerHasClosed()) {
          self->markGone();
        } else {
          self->watchBehindEarlyBytes();
        }
      });
}

void Connection::markGone() {
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

Result<void> Connection::outcomeOfWrite(beast::error_code code) {
  if (code) {
    markGone();
    return writeError(code);
  }
  return boost::outcome_v2::success();
}

}  // namespace calicodrift::http
