#include "http/client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <random>
#include <tuple>

#include "http/open_connection.h"
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
/// Refusals that a connection remembers; it is closed after more.
constexpr std::size_t kMaxRefusals = 64;
/// Answered requests that a connection remembers.
constexpr std::size_t kMaxAnswered = 16;
/// Of bytes that are not parsed yet. More than the longest head that the parser takes; also bounds
/// the extension of a chunk and the trailers, which it parses as a whole.
constexpr std::size_t kMaxUnparsedBytes = 65'536;
/// Heads that may come before the final one. Time does not bound them: the stream notices a timeout
/// only while it waits for bytes.
constexpr std::size_t kMaxInterimHeads = 1000;
constexpr std::size_t kMaxShortAnswerBytes = 1'048'576;
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

using ConnectionPointer = std::shared_ptr<OpenConnection>;

/// Pool of idle connections; outlives the client while responses are being read.
struct ClientState {
  struct IdleConnection {
    ConnectionPointer connection;
    MonotonicTime usableUntil;
    MonotonicTime usedAt;
  };

  ClientState(asio::any_io_executor executor, ClientSettings settings)
      : executor(std::move(executor)), settings(std::move(settings)) {}

  ConnectionPointer takeIdle(const ConnectionPath& path, MonotonicTime usedSince,
                             RequestKey request) {
    const auto found = idle.find(path);
    return found == idle.end() ? nullptr : takeFrom(found->second, usedSince, request);
  }

  static ConnectionPointer takeFrom(std::vector<IdleConnection>& connections,
                                    MonotonicTime usedSince, RequestKey request) {
    // Connections are returned at the end, so that all before an old one are older.
    std::size_t next = connections.size();
    while (next > 0 && connections[next - 1].usedAt >= usedSince) {
      --next;
      if (hasRefused(*connections[next].connection, request)) {
        continue;
      }
      const IdleConnection taken = std::move(connections[next]);
      connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(next));
      const bool fresh = monotonicNow() < taken.usableUntil;
      if (fresh && stillUsable(taken.connection->stream.socket())) {
        taken.connection->connectTime.reset();
        return taken.connection;
      }
    }
    return nullptr;
  }

  static bool hasRefused(const OpenConnection& connection, RequestKey request) {
    return request != RequestKey() &&
           std::find(connection.refused.begin(), connection.refused.end(), request) !=
               connection.refused.end();
  }

  void giveBack(const ConnectionPointer& connection, Milliseconds lifetime) {
    const bool dropped = connection->generation != generationOf(connection->path);
    if (dropped || connection->refused.size() > kMaxRefusals) {
      connection->stream.close();
      return;
    }
    const MonotonicTime now = monotonicNow();
    if (now - lastSweep > kSweepInterval) {
      lastSweep = now;
      sweep(now);
    }
    std::vector<IdleConnection>& connections = idle[connection->path];
    if (connections.size() < kMaxIdleConnections) {
      connection->stream.expires_never();
      connections.push_back({connection, now + lifetime, now});
    }
  }

  /// Closes what nobody has used for long, so that servers that left hold no descriptors here.
  void sweep(MonotonicTime now) {
    for (auto& entry : idle) {
      std::erase_if(entry.second, [now](const IdleConnection& idleOne) {
        return now > idleOne.usableUntil || !stillUsable(idleOne.connection->stream.socket());
      });
    }
    std::erase_if(idle, [](const auto& entry) { return entry.second.empty(); });
  }

  /// Changes whenever the connections of this path are dropped: both counts only grow.
  std::uint64_t generationOf(const ConnectionPath& path) const {
    return countOf(drops, path.endpoint) + (path.proxy ? countOf(proxyDrops, *path.proxy) : 0);
  }
  static std::uint64_t countOf(const std::map<Endpoint, std::uint64_t>& counts,
                               const Endpoint& endpoint) {
    const auto found = counts.find(endpoint);
    return found == counts.end() ? 0 : found->second;
  }

  asio::any_io_executor executor;
  ClientSettings settings;
  std::map<ConnectionPath, std::vector<IdleConnection>> idle;
  /// How often the connections of an endpoint, or through a proxy, were dropped; only those where
  /// that happened.
  std::map<Endpoint, std::uint64_t> drops;
  std::map<Endpoint, std::uint64_t> proxyDrops;
  MonotonicTime lastSweep{};
};

namespace {

class StreamImpl : public ResponseStream {
 public:
  StreamImpl(std::shared_ptr<ClientState> state, ConnectionPointer connection,
             ExchangeOptions options, bool headOnly)
      : state_(std::move(state)),
        connection_(std::move(connection)),
        stream_(connection_->stream),
        options_(options),
        headEnd_(endOf(options.headerTimeout)),
        wholeEnd_(endOf(options.wholeTimeout)),
        headOnly_(headOnly) {}

  ~StreamImpl() override {
    if (!finished_) {
      stream_.close();
    }
  }
  StreamImpl(const StreamImpl&) = delete;
  StreamImpl& operator=(const StreamImpl&) = delete;

  awaitable<Result<void>> readHead() {
    beast::error_code code;
    std::size_t heads = 0;
    do {
      if (++heads > kMaxInterimHeads) {
        co_return fail(ErrorKind::kOutcomeUnknown,
                       "no answer from " + name() + ": too many interim responses");
      }
      resetParser();
      std::tie(code, std::ignore) =
          co_await bhttp::async_read_header(stream_, buffer_, *parser_, kAwait);
    } while (!code && isInterim(parser_->get().result_int()));
    if (code == beast::error::timeout) {
      co_return fail(ErrorKind::kDeadlineExceeded, "no answer from " + name() + " in time");
    }
    if (code) {
      co_return fail(ErrorKind::kOutcomeUnknown,
                     "no answer from " + name() + ": " + code.message());
    }
    head_.status = parser_->get().result_int();
    for (const auto& field : parser_->get()) {
      head_.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    noteBytes();
    co_return boost::outcome_v2::success();
  }

  const Response& head() const override { return head_; }

  bool hasAnswered(RequestKey request) const override {
    const std::deque<RequestKey>& answered = connection_->answered;
    return request != RequestKey() &&
           std::find(answered.begin(), answered.end(), request) != answered.end();
  }

  awaitable<Result<void>> skipAnswer() override {
    surplus_ = true;
    if (bodyEnd() == BodyEnd::kConnection) {
      co_return fail(ErrorKind::kOutcomeUnknown,
                     "a surplus answer of " + name() + " has no length");
    }
    for (;;) {
      const Result<std::string> piece = co_await readPiece();
      if (!piece) {
        co_return piece.error();
      }
      if (piece.value().empty()) {
        break;
      }
    }
    head_ = {};
    stream_.expires_at(headEnd_);
    co_return co_await readHead();
  }

  awaitable<Result<BodyPiece>> read() override {
    Result<std::string> piece = co_await readPiece();
    if (!piece) {
      co_return piece.error();
    }
    if (!piece.value().empty()) {
      co_return BodyPiece{std::move(piece.value()), std::nullopt};
    }
    finish();
    co_return BodyPiece{{}, bodyEnd()};
  }

  std::optional<Tunnel> tunnel() const override {
    const ConnectionPath& path = connection_->path;
    return path.direct() ? std::nullopt : std::optional(Tunnel{*path.proxy, connection_->tunnelId});
  }

  void setBodyTimeout(Milliseconds timeout) override { options_.bodyTimeout = timeout; }

  void noteRefusal() override {
    if (options_.request != RequestKey()) {
      connection_->refused.push_back(options_.request);
    }
  }

  void cancel() override { stream_.close(); }

 private:
  using Parser = bhttp::response_parser<bhttp::buffer_body>;

  /// The next bytes of the body; empty at its end. Fails as read() does.
  awaitable<Result<std::string>> readPiece() {
    while (!parser_->is_done()) {
      parser_->get().body().data = piece_.data();
      parser_->get().body().size = piece_.size();
      const MonotonicTime now = monotonicNow();
      if (now >= wholeEnd_) {
        co_return fail(ErrorKind::kDeadlineExceeded,
                       "the answer of " + name() + " did not end in time");
      }
      stream_.expires_at(std::min(now + options_.bodyTimeout, wholeEnd_));
      auto [code, bytes] = co_await bhttp::async_read_some(stream_, buffer_, *parser_, kAwait);
      if (code == beast::error::timeout) {
        co_return fail(ErrorKind::kDeadlineExceeded,
                       "the answer of " + name() + " paused for too long");
      }
      if (code && code != bhttp::error::need_buffer) {
        co_return fail(ErrorKind::kStreamBroken,
                       "the answer of " + name() + " broke off: " + code.message());
      }
      const std::size_t length = piece_.size() - parser_->get().body().size;
      if (length > 0) {
        noteBytes();
        co_return std::string(piece_.data(), length);
      }
    }
    co_return std::string();
  }

  static MonotonicTime endOf(Milliseconds timeout) {
    return timeout.count() > 0 ? monotonicNow() + timeout : MonotonicTime::max();
  }

  /// Each head needs a parser of its own.
  void resetParser() {
    parser_.emplace();
    parser_->body_limit(options_.maxBodyBytes);
    parser_->skip(headOnly_);
  }

  /// Whether the final head follows. After 101 the connection speaks another protocol.
  static bool isInterim(unsigned status) {
    constexpr unsigned kSwitchingProtocols = 101;
    return status < kStatusOk && status != kSwitchingProtocols;
  }

  BodyEnd bodyEnd() const {
    return !headOnly_ && parser_->need_eof() ? BodyEnd::kConnection : BodyEnd::kFramed;
  }

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
    // From now on the connection may serve another exchange, which this one's canceller must not
    // end.
    ++connection_->exchanges;
    if (options_.request != RequestKey()) {
      connection_->answered.push_back(options_.request);
    }
    if (connection_->answered.size() > kMaxAnswered) {
      connection_->answered.pop_front();
    }
    // A caller that asks for fresh connections only would fill the pool and never take from it.
    const bool pooled = options_.connection == ConnectionUse::kPooled;
    const bool reusable = parser_->get().keep_alive() && buffer_.size() == 0 &&
                          bodyEnd() == BodyEnd::kFramed && !surplus_;
    if (pooled && reusable) {
      state_->giveBack(connection_, idleLifetime(head_.headers.get("Keep-Alive")));
    } else {
      stream_.close();
    }
  }

  std::string name() const { return connection_->path.endpoint.toString(); }

  std::shared_ptr<ClientState> state_;
  ConnectionPointer connection_;
  beast::tcp_stream& stream_;
  ExchangeOptions options_;
  MonotonicTime headEnd_;
  MonotonicTime wholeEnd_;
  bool headOnly_;
  std::optional<Parser> parser_;
  beast::flat_buffer buffer_{kMaxUnparsedBytes};
  std::array<char, kBodyPieceBytes> piece_{};
  Response head_;
  bool finished_ = false;
  /// A surplus answer has come on the connection; others may be on their way.
  bool surplus_ = false;
};

void attachTo(ExchangeCanceller* canceller, const ConnectionPointer& connection) {
  if (canceller != nullptr) {
    canceller->attach([weak = std::weak_ptr(connection), exchange = connection->exchanges] {
      const ConnectionPointer open = weak.lock();
      if (open && open->exchanges == exchange) {
        open->stream.close();
      }
    });
  }
}

Error connectError(const Endpoint& endpoint, const std::string& cause, std::string_view reason) {
  Error error =
      fail(ErrorKind::kConnectFailed, "cannot connect to " + endpoint.toString() + ": " + cause);
  error.reason = reason;
  return error;
}

beast::error_code bindSource(Tcp::socket& socket, const ClientSettings& settings) {
  beast::error_code code;
  if (!settings.sourceAddress.empty()) {
    const Tcp::endpoint source(asio::ip::make_address(settings.sourceAddress, code), 0);
    if (!code) {
      socket.open(source.protocol(), code);
    }
    if (!code) {
      socket.bind(source, code);
    }
  }
  return code;
}

awaitable<Result<void>> connectTcp(std::shared_ptr<ClientState> state, ConnectionPointer connection,
                                   Endpoint to) {
  const ClientSettings& settings = state->settings;
  const Endpoint target = settings.addressOf ? settings.addressOf(to) : to;
  const Tcp::endpoint address(asio::ip::make_address(target.address), target.port);
  if (const beast::error_code code = bindSource(connection->stream.socket(), settings)) {
    co_return connectError(to, "source address: " + code.message(), "");
  }
  auto [code] = co_await connection->stream.async_connect(address, kAwait);
  if (code) {
    const bool refused = code == asio::error::connection_refused;
    co_return connectError(to, code.message(), refused ? kConnectionRefused : "");
  }
  beast::error_code ignored;
  connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
  co_return boost::outcome_v2::success();
}

/// Why a proxy opened no tunnel, from the head of its answer.
std::string_view reasonOf(const bhttp::response_header<>& head) {
  if (head.result() != bhttp::status::bad_gateway) {
    return kProxyDeclined;
  }
  const auto cause = head[std::string(kConnectErrorHeader)];
  return std::string_view(cause.data(), cause.size()) == kConnectionRefused ? kConnectionRefused
                                                                            : kUnreachableFromProxy;
}

TunnelId newTunnelId() {
  static std::mt19937_64 random{std::random_device{}()};
  return TunnelId(random());
}

/// Asks the proxy, to which the connection leads, for a tunnel to the endpoint.
awaitable<Result<void>> openTunnel(ConnectionPointer connection) {
  const Endpoint& endpoint = connection->path.endpoint;
  bhttp::request<bhttp::empty_body> request{bhttp::verb::connect, endpoint.toString(), 11};
  request.set(bhttp::field::host, endpoint.toString());
  connection->tunnelId = newTunnelId();
  request.set(std::string(kTunnelIdHeader), std::to_string(connection->tunnelId.value()));
  auto [writeCode, written] = co_await bhttp::async_write(connection->stream, request, kAwait);
  if (writeCode) {
    co_return connectError(endpoint, "the proxy: " + writeCode.message(), kProxyFailed);
  }
  bhttp::response_parser<bhttp::empty_body> parser;
  parser.skip(true);
  beast::flat_buffer buffer;
  auto [readCode, read] =
      co_await bhttp::async_read_header(connection->stream, buffer, parser, kAwait);
  if (readCode) {
    co_return connectError(endpoint, "the proxy: " + readCode.message(), kProxyFailed);
  }
  if (parser.get().result() != bhttp::status::ok) {
    co_return connectError(endpoint,
                           "the proxy answered " + std::to_string(parser.get().result_int()),
                           reasonOf(parser.get().base()));
  }
  if (buffer.size() > 0) {
    // Nothing was asked of the server yet.
    co_return connectError(endpoint, "the proxy: unexpected bytes", kProxyFailed);
  }
  co_return boost::outcome_v2::success();
}

awaitable<Result<ConnectionPointer>> makeConnection(std::shared_ptr<ClientState> state,
                                                    ConnectionPath path, ConnectOptions options) {
  const MonotonicTime begin = monotonicNow();
  auto connection = std::make_shared<OpenConnection>(state->executor, path);
  connection->generation = state->generationOf(path);
  attachTo(options.canceller, connection);
  connection->stream.expires_after(options.timeout);
  const Endpoint first = path.proxy.value_or(path.endpoint);
  Result<void> opened = co_await connectTcp(state, connection, first);
  if (opened && path.proxy) {
    opened = co_await openTunnel(connection);
  } else if (!opened && path.proxy) {
    opened.error().reason = kProxyFailed;
  }
  if (!opened) {
    co_return opened.error();
  }
  connection->connectTime = std::chrono::duration_cast<Microseconds>(monotonicNow() - begin);
  if (options.unacknowledgedTimeout.count() > 0) {
    const auto timeout = static_cast<unsigned>(options.unacknowledgedTimeout.count());
    ::setsockopt(connection->stream.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &timeout, sizeof timeout);
  }
  co_return connection;
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

std::string_view toString(BodyEnd end) {
  return end == BodyEnd::kFramed ? "framed" : "connection";
}

void boundToShortAnswer(ExchangeOptions& options) {
  options.wholeTimeout = options.headerTimeout + options.bodyTimeout;
  options.maxBodyBytes = kMaxShortAnswerBytes;
}

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

Client::Client(asio::any_io_executor executor, ClientSettings settings)
    : state_(std::make_shared<ClientState>(std::move(executor), std::move(settings))) {}

const ConnectionPath& ClientConnection::path() const {
  return open_->path;
}

std::optional<Microseconds> ClientConnection::connectTime() const {
  return open_->connectTime;
}

awaitable<Result<ClientConnection>> Client::connect(ConnectionPath path, ConnectOptions options) {
  const std::shared_ptr<ClientState> state = state_;
  if (options.use == ConnectionUse::kPooled) {
    if (ConnectionPointer idle = state->takeIdle(path, options.usedSince, options.request)) {
      idle->generation = state->generationOf(path);
      attachTo(options.canceller, idle);
      co_return ClientConnection(std::move(idle));
    }
  }
  Result<ConnectionPointer> made = co_await makeConnection(state, std::move(path), options);
  if (!made) {
    co_return made.error();
  }
  if (options.canceller != nullptr && options.canceller->cancelled()) {
    co_return fail(ErrorKind::kConnectFailed, "given up before the request was sent");
  }
  co_return ClientConnection(std::move(made.value()));
}

awaitable<Result<std::unique_ptr<ResponseStream>>> Client::send(ClientConnection connection,
                                                                Request request,
                                                                ExchangeOptions options) {
  const std::shared_ptr<ClientState> state = state_;
  const ConnectionPointer& open = connection.share();
  attachTo(options.canceller, open);
  const Endpoint endpoint = open->path.endpoint;
  const bool headOnly = request.method == "HEAD";
  const auto message = toBeast(endpoint, std::move(request));
  open->stream.expires_after(options.headerTimeout);
  auto [code, bytes] = co_await bhttp::async_write(open->stream, message, kAwait);
  if (code) {
    co_return fail(ErrorKind::kOutcomeUnknown,
                   "sending to " + endpoint.toString() + " broke off: " + code.message());
  }
  auto response = std::make_unique<StreamImpl>(state, open, options, headOnly);
  Result<void> head = co_await response->readHead();
  if (!head) {
    co_return head.error();
  }
  co_return std::unique_ptr<ResponseStream>(std::move(response));
}

awaitable<Result<std::unique_ptr<ResponseStream>>> Client::open(Endpoint endpoint, Request request,
                                                                ExchangeOptions options) {
  ConnectOptions connecting;
  connecting.use = options.connection;
  connecting.timeout = options.connectTimeout;
  connecting.unacknowledgedTimeout = options.unacknowledgedTimeout;
  connecting.canceller = options.canceller;
  connecting.request = options.request;
  Result<ClientConnection> connected =
      co_await connect(ConnectionPath(std::move(endpoint)), connecting);
  if (!connected) {
    co_return connected.error();
  }
  if (options.connectTime != nullptr && connected.value().connectTime()) {
    *options.connectTime = connected.value().connectTime();
  }
  co_return co_await send(std::move(connected.value()), std::move(request), options);
}

std::optional<ClientConnection> Client::takeIdle(
    const Endpoint& endpoint, const std::function<bool(const ConnectionPath&)>& usable,
    MonotonicTime usedSince, RequestKey request) {
  auto found = state_->idle.lower_bound(ConnectionPath(endpoint));
  for (; found != state_->idle.end() && found->first.endpoint == endpoint; ++found) {
    if (!usable(found->first)) {
      continue;
    }
    if (ConnectionPointer idle = ClientState::takeFrom(found->second, usedSince, request)) {
      idle->generation = state_->generationOf(idle->path);
      return ClientConnection(std::move(idle));
    }
  }
  return std::nullopt;
}

void Client::release(const ClientConnection& connection) {
  state_->giveBack(connection.share(), kUnusedLifetime);
}

void Client::dropConnections(const Endpoint& endpoint) {
  ++state_->drops[endpoint];
  std::erase_if(state_->idle, [&](const auto& entry) { return entry.first.endpoint == endpoint; });
}

void Client::dropConnectionsThrough(const Endpoint& proxy) {
  ++state_->proxyDrops[proxy];
  std::erase_if(state_->idle, [&](const auto& entry) { return entry.first.proxy == proxy; });
}

void Client::closeIdleDirect(const Endpoint& endpoint) {
  state_->idle.erase(ConnectionPath(endpoint));
}

awaitable<Result<Response>> Client::exchange(Endpoint endpoint, Request request,
                                             ExchangeOptions options) {
  if (options.wholeTimeout.count() == 0) {
    options.wholeTimeout = options.headerTimeout + options.bodyTimeout;
  }
  auto opened = co_await open(std::move(endpoint), std::move(request), options);
  if (!opened) {
    co_return opened.error();
  }
  co_return co_await readWhole(*opened.value(), options.unframedBody);
}

awaitable<Result<Response>> readWhole(ResponseStream& stream, UnframedBody unframed) {
  Response response = stream.head();
  for (;;) {
    Result<BodyPiece> piece = co_await stream.read();
    if (!piece) {
      co_return piece.error();
    }
    const std::optional<BodyEnd> end = piece.value().end;
    if (end == BodyEnd::kConnection && unframed == UnframedBody::kReject) {
      co_return fail(ErrorKind::kStreamBroken,
                     "the answer has no length, and nothing proves that it is whole");
    }
    if (end) {
      co_return response;
    }
    response.body += piece.value().bytes;
  }
}

}  // namespace calicodrift::http
