#include "http/client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>

#include "http/status.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
using asio::awaitable;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxIdleConnections = 64;
constexpr std::chrono::seconds kIdleLifetime{30};
constexpr std::chrono::seconds kSweepInterval{5};
/// Of a connection that was not used after all: no answer has said how long the server keeps it.
constexpr Milliseconds kUnusedLifetime{1000};
constexpr std::size_t kBodyPieceBytes = 16'384;
/// A connection is not used so shortly before the other side closes it: the request would cross the
/// close.
constexpr Milliseconds kCloseMargin{500};

/// For how long an idle connection is kept: what its last answer promised, less a margin.
Milliseconds idleLifetime(std::string_view keepAlive) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::size_t found = keepAlive.find(kTimeout);
  int seconds = 0;
  if (found == std::string_view::npos) {
    return kIdleLifetime;
  }
  const std::string_view text = keepAlive.substr(found + kTimeout.size());
  const auto parsed = std::from_chars(text.begin(), text.end(), seconds);
  if (parsed.ec != std::errc{}) {
    return kIdleLifetime;
  }
  return std::max(Milliseconds(0), Milliseconds(std::chrono::seconds(seconds)) - kCloseMargin);
}

/// An idle connection that the other side has closed, or that holds unasked bytes, is readable.
bool stillUsable(Tcp::socket& socket) {
  char byte = 0;
  const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

using StreamPointer = std::shared_ptr<beast::tcp_stream>;

/// Pool of idle connections; outlives the client while responses are being read.
struct ClientState {
  struct IdleConnection {
    StreamPointer stream;
    MonotonicTime usableUntil;
  };

  ClientState(asio::any_io_executor executor, Client::AddressMap addressOf)
      : executor(std::move(executor)), addressOf(std::move(addressOf)) {}

  StreamPointer takeIdle(const Endpoint& endpoint) {
    std::vector<IdleConnection>& connections = idle[endpoint];
    while (!connections.empty()) {
      const IdleConnection connection = std::move(connections.back());
      connections.pop_back();
      const bool fresh = monotonicNow() < connection.usableUntil;
      if (fresh && stillUsable(connection.stream->socket())) {
        return connection.stream;
      }
    }
    return nullptr;
  }

  /// @param drops of the address when the connection was made or taken.
  void giveBack(const Endpoint& endpoint, StreamPointer stream, Milliseconds lifetime,
                std::uint64_t drops) {
    if (drops != dropsOf(endpoint)) {
      stream->close();
      return;
    }
    const MonotonicTime now = monotonicNow();
    if (now - lastSweep > kSweepInterval) {
      lastSweep = now;
      sweep(now);
    }
    std::vector<IdleConnection>& connections = idle[endpoint];
    if (connections.size() < kMaxIdleConnections) {
      stream->expires_never();
      connections.push_back({std::move(stream), now + lifetime});
    }
  }

  /// Closes what nobody has used for long, so that servers that left hold no descriptors here.
  void sweep(MonotonicTime now) {
    for (auto& entry : idle) {
      std::erase_if(entry.second, [now](const IdleConnection& connection) {
        return now > connection.usableUntil || !stillUsable(connection.stream->socket());
      });
    }
    std::erase_if(idle, [](const auto& entry) { return entry.second.empty(); });
  }

  std::uint64_t dropsOf(const Endpoint& endpoint) const {
    const auto found = drops.find(endpoint);
    return found == drops.end() ? 0 : found->second;
  }

  asio::any_io_executor executor;
  Client::AddressMap addressOf;
  std::map<Endpoint, std::vector<IdleConnection>> idle;
  /// How often the connections of an address were dropped; only addresses where that happened.
  std::map<Endpoint, std::uint64_t> drops;
  MonotonicTime lastSweep{};
};

namespace {

class StreamImpl : public ResponseStream {
 public:
  /// @param drops of the address when the connection was made or taken.
  StreamImpl(std::shared_ptr<ClientState> state, Endpoint endpoint, StreamPointer stream,
             std::uint64_t drops, ExchangeOptions options, bool headOnly)
      : state_(std::move(state)),
        endpoint_(std::move(endpoint)),
        stream_(std::move(stream)),
        drops_(drops),
        options_(options) {
    parser_.body_limit(options.maxBodyBytes);
    parser_.skip(headOnly);
  }

  ~StreamImpl() override {
    if (!finished_) {
      stream_->close();
    }
  }
  StreamImpl(const StreamImpl&) = delete;
  StreamImpl& operator=(const StreamImpl&) = delete;

  awaitable<Result<void>> readHead() {
    auto [code, bytes] = co_await bhttp::async_read_header(*stream_, buffer_, parser_, kAwait);
    if (code == beast::error::timeout) {
      co_return fail(ErrorKind::kDeadlineExceeded,
                     "no answer from " + endpoint_.toString() + " in time");
    }
    if (code) {
      co_return fail(ErrorKind::kOutcomeUnknown,
                     "no answer from " + endpoint_.toString() + ": " + code.message());
    }
    head_.status = parser_.get().result_int();
    for (const auto& field : parser_.get()) {
      head_.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    noteBytes();
    co_return boost::outcome_v2::success();
  }

  const Response& head() const override { return head_; }

  awaitable<Result<std::string>> read() override {
    while (!parser_.is_done()) {
      parser_.get().body().data = piece_.data();
      parser_.get().body().size = piece_.size();
      stream_->expires_after(options_.bodyTimeout);
      auto [code, bytes] = co_await bhttp::async_read_some(*stream_, buffer_, parser_, kAwait);
      if (code == beast::error::timeout) {
        co_return fail(ErrorKind::kDeadlineExceeded,
                       "the answer of " + endpoint_.toString() + " paused for too long");
      }
      if (code && code != bhttp::error::need_buffer) {
        co_return fail(ErrorKind::kStreamBroken,
                       "the answer of " + endpoint_.toString() + " broke off: " + code.message());
      }
      const std::size_t length = piece_.size() - parser_.get().body().size;
      if (length > 0) {
        noteBytes();
        co_return std::string(piece_.data(), length);
      }
    }
    finish();
    co_return std::string();
  }

  void setBodyTimeout(Milliseconds timeout) override { options_.bodyTimeout = timeout; }

  void cancel() override { stream_->close(); }

 private:
  void noteBytes() {
    constexpr unsigned kFirstRedirect = 300;
    const bool success = head_.status >= kStatusOk && head_.status < kFirstRedirect;
    if (options_.lastBytesAt != nullptr && success) {
      *options_.lastBytesAt = monotonicNow();
    }
  }

  void finish() {
    if (finished_) {
      return;
    }
    finished_ = true;
    // A caller that asks for fresh connections only would fill the pool and never take from it.
    const bool pooled = options_.connection == ConnectionUse::kPooled;
    if (pooled && parser_.get().keep_alive() && buffer_.size() == 0) {
      state_->giveBack(endpoint_, stream_, idleLifetime(head_.headers.get("Keep-Alive")), drops_);
    } else {
      stream_->close();
    }
  }

  std::shared_ptr<ClientState> state_;
  Endpoint endpoint_;
  StreamPointer stream_;
  std::uint64_t drops_;
  ExchangeOptions options_;
  bhttp::response_parser<bhttp::buffer_body> parser_;
  beast::flat_buffer buffer_;
  std::array<char, kBodyPieceBytes> piece_{};
  Response head_;
  bool finished_ = false;
};

void attachTo(ExchangeCanceller* canceller, const StreamPointer& stream) {
  if (canceller != nullptr) {
    canceller->attach([weak = std::weak_ptr(stream)] {
      if (const StreamPointer open = weak.lock()) {
        open->close();
      }
    });
  }
}

awaitable<Result<StreamPointer>> connect(std::shared_ptr<ClientState> state, Endpoint endpoint,
                                         ExchangeOptions options) {
  auto stream = std::make_shared<beast::tcp_stream>(state->executor);
  attachTo(options.canceller, stream);
  const Endpoint target = state->addressOf ? state->addressOf(endpoint) : endpoint;
  const Tcp::endpoint address(asio::ip::make_address(target.address), target.port);
  stream->expires_after(options.connectTimeout);
  const MonotonicTime begin = monotonicNow();
  auto [code] = co_await stream->async_connect(address, kAwait);
  if (code) {
    Error error = fail(ErrorKind::kConnectFailed,
                       "cannot connect to " + endpoint.toString() + ": " + code.message());
    if (code == asio::error::connection_refused) {
      error.reason = kConnectionRefused;
    }
    co_return error;
  }
  if (options.connectTime != nullptr) {
    *options.connectTime = std::chrono::duration_cast<Microseconds>(monotonicNow() - begin);
  }
  beast::error_code ignored;
  stream->socket().set_option(Tcp::no_delay(true), ignored);
  if (options.unacknowledgedTimeout.count() > 0) {
    const auto timeout = static_cast<unsigned>(options.unacknowledgedTimeout.count());
    ::setsockopt(stream->socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
                 sizeof timeout);
  }
  co_return stream;
}

bhttp::request<bhttp::string_body> toBeast(const Endpoint& endpoint, Request&& request) {
  bhttp::request<bhttp::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  if (!request.headers.find("Host")) {
    message.set(bhttp::field::host, endpoint.toString());
  }
  for (const Header& header : request.headers.all()) {
    message.insert(header.name, header.value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

}  // namespace

void ExchangeCanceller::cancel() {
  cancelled_ = true;
  if (close_) {
    const auto close = std::exchange(close_, nullptr);
    close();
  }
}

void ExchangeCanceller::attach(std::function<void()> close) {
  if (cancelled_) {
    close();
    return;
  }
  close_ = std::move(close);
}

Client::Client(asio::any_io_executor executor, AddressMap addressOf)
    : state_(std::make_shared<ClientState>(std::move(executor), std::move(addressOf))) {}

awaitable<Result<std::unique_ptr<ResponseStream>>> Client::open(Endpoint endpoint, Request request,
                                                                ExchangeOptions options) {
  const std::shared_ptr<ClientState> state = state_;
  const std::uint64_t drops = state->dropsOf(endpoint);
  StreamPointer stream;
  if (options.connection == ConnectionUse::kPooled) {
    stream = state->takeIdle(endpoint);
  }
  if (!stream) {
    Result<StreamPointer> connected = co_await connect(state, endpoint, options);
    if (!connected) {
      co_return connected.error();
    }
    stream = connected.value();
    if (options.canceller != nullptr && options.canceller->cancelled()) {
      co_return fail(ErrorKind::kConnectFailed, "given up before the request was sent");
    }
  } else {
    attachTo(options.canceller, stream);
  }
  if (options.beforeSend != nullptr) {
    if (const Result<void> allowed = (*options.beforeSend)(); !allowed) {
      state->giveBack(endpoint, stream, kUnusedLifetime, drops);
      co_return allowed.error();
    }
  }
  const bool headOnly = request.method == "HEAD";
  const auto message = toBeast(endpoint, std::move(request));
  stream->expires_after(options.headerTimeout);
  auto [code, bytes] = co_await bhttp::async_write(*stream, message, kAwait);
  if (code) {
    co_return fail(ErrorKind::kOutcomeUnknown,
                   "sending to " + endpoint.toString() + " broke off: " + code.message());
  }
  auto response = std::make_unique<StreamImpl>(state, endpoint, stream, drops, options, headOnly);
  Result<void> head = co_await response->readHead();
  if (!head) {
    co_return head.error();
  }
  co_return std::unique_ptr<ResponseStream>(std::move(response));
}

void Client::dropConnections(const Endpoint& endpoint) {
  ++state_->drops[endpoint];
  state_->idle.erase(endpoint);
}

awaitable<Result<Response>> Client::exchange(Endpoint endpoint, Request request,
                                             ExchangeOptions options) {
  auto opened = co_await open(std::move(endpoint), std::move(request), options);
  if (!opened) {
    co_return opened.error();
  }
  co_return co_await readWhole(*opened.value());
}

awaitable<Result<Response>> readWhole(ResponseStream& stream) {
  Response response = stream.head();
  for (;;) {
    Result<std::string> piece = co_await stream.read();
    if (!piece) {
      co_return piece.error();
    }
    if (piece.value().empty()) {
      co_return response;
    }
    response.body += piece.value();
  }
}

}  // namespace calicodrift::http
