#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/clock.h"
#include "common/endpoint.h"
#include "common/error.h"
#include "http/body_end.h"
#include "http/connection_path.h"
#include "http/message.h"

namespace calicodrift::http {

struct ClientState;
struct OpenConnection;

/// Whether a request may go over a connection that was used before. A reused one may turn out to be
/// closed after the request was written; for a request that must not run twice, only a fresh one
/// makes a failed connect prove that nothing was sent.
enum class ConnectionUse { kPooled, kFresh };

/// Reasons of a kConnectFailed.
/// The endpoint's machine answered that nothing listens at the port, to this process or to the
/// proxy.
inline constexpr std::string_view kConnectionRefused = "connection_refused";
/// The proxy could not be reached, or its answer could not be understood.
inline constexpr std::string_view kProxyFailed = "proxy_failed";
/// The proxy opens no tunnel to this endpoint now.
inline constexpr std::string_view kProxyDeclined = "proxy_declined";
/// The proxy could not reach the endpoint.
inline constexpr std::string_view kUnreachableFromProxy = "unreachable_from_proxy";

/// Header in which a proxy says why it could not connect: kConnectionRefused or
/// kUnreachableFromProxy.
inline constexpr std::string_view kConnectErrorHeader = "X-Connect-Error";

/// Header of a request for a tunnel: the id under which its proxy remembers how the tunnel ended.
inline constexpr std::string_view kTunnelIdHeader = "X-Tunnel-Id";

/// Ends an exchange from outside, at any point of it: also while it connects or waits for the
/// header. Must outlive the call of Client::open() or exchange() that it is given to.
class ExchangeCanceller {
 public:
  /// Closes the connection; the exchange fails. Safe at any time.
  void cancel();
  bool cancelled() const { return cancelled_; }
  /// For the client: how to close the connection now in use.
  void attach(std::function<void()> close);

 private:
  std::function<void()> close_;
  bool cancelled_ = false;
};

struct ExchangeOptions {
  ConnectionUse connection = ConnectionUse::kPooled;
  Milliseconds connectTimeout{1000};
  /// For the response header, from the start of the exchange.
  Milliseconds headerTimeout{60000};
  /// Between two pieces of the body.
  Milliseconds bodyTimeout{60000};
  /// For the whole response, from when the request was sent: its pieces may come one by one without
  /// end. 0: exchange() takes the sum of the two limits above, a ResponseStream none.
  Milliseconds wholeTimeout{0};
  std::size_t maxBodyBytes = 67'108'864;
  /// For exchange(); readers of a ResponseStream see how its body ended.
  UnframedBody unframedBody = UnframedBody::kReject;
  /// Written bytes that are not acknowledged for so long end the connection, so that a peer without
  /// power is noticed before any answer is due. 0 leaves it to the system.
  Milliseconds unacknowledgedTimeout{0};
  /// A plain pointer, as g++ 12 mishandles temporaries of aggregates with destructors in
  /// coroutines.
  ExchangeCanceller* canceller = nullptr;
  /// See ConnectOptions::request.
  RequestKey request;
  /// Set to how long the connection took where a new one was made. Must outlive the call.
  std::optional<Microseconds>* connectTime = nullptr;
  /// Set to when bytes of a successful response (2xx) last arrived. Must outlive the call.
  MonotonicTime* lastBytesAt = nullptr;
};

/// Bounds the answer to a question of which only the head or a short document is used, so that an
/// answerer that sends bytes without end keeps the asker neither long nor busy.
void boundToShortAnswer(ExchangeOptions& options);

struct ConnectOptions {
  ConnectionUse use = ConnectionUse::kPooled;
  /// Until the connection is open; with a proxy, until its tunnel is.
  Milliseconds timeout{1000};
  /// See ExchangeOptions::unacknowledgedTimeout.
  Milliseconds unacknowledgedTimeout{0};
  /// A pooled connection is taken only if it was in use at this time or later.
  MonotonicTime usedSince{};
  /// The request that is to be sent. A connection on which it was refused before is not taken: a
  /// late copy of that refusal would pass for the answer, as nothing but the connection and the
  /// order on it tells which sending an answer is for.
  RequestKey request;
  ExchangeCanceller* canceller = nullptr;
};

/// A connection that is ready for one exchange. Closes it when destroyed unused.
class ClientConnection {
 public:
  explicit ClientConnection(std::shared_ptr<OpenConnection> open) : open_(std::move(open)) {}
  const ConnectionPath& path() const;
  /// How long it took to open; empty if it was used before.
  std::optional<Microseconds> connectTime() const;
  /// For src/http.
  OpenConnection& open() const { return *open_; }
  const std::shared_ptr<OpenConnection>& share() const { return open_; }

 private:
  std::shared_ptr<OpenConnection> open_;
};

/// A response whose body is still arriving.
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;
  /// The head is a refusal of the request, which may be sent again; see ConnectOptions::request.
  virtual void noteRefusal() {}
  /// Whether an earlier exchange of this connection was for the request: an answer to it that comes
  /// now is a surplus copy.
  virtual bool hasAnswered(RequestKey /*request*/) const { return false; }
  /// Reads the surplus answer that head() belongs to up to its end, and the next head. The
  /// connection serves no further exchange then. Fails as Client::send() and read() do, and with
  /// kOutcomeUnknown if nothing but the connection frames the surplus answer.
  virtual boost::asio::awaitable<Result<void>> skipAnswer() = 0;
  /// Status and headers; the body is empty.
  virtual const Response& head() const = 0;
  /// The next piece of the body; after the last one it is returned again. A connection that breaks
  /// before the end fails with kStreamBroken, a pause longer than bodyTimeout and a body longer
  /// than wholeTimeout with kDeadlineExceeded. A FIN is no break where nothing but the connection
  /// frames the body.
  virtual boost::asio::awaitable<Result<BodyPiece>> read() = 0;
  /// The tunnel that the response comes through; empty if its connection is direct.
  virtual std::optional<Tunnel> tunnel() const = 0;
  /// Replaces ExchangeOptions::bodyTimeout for the next calls of read().
  virtual void setBodyTimeout(Milliseconds timeout) = 0;
  /// Closes the connection; a pending read() fails. Safe at any time.
  virtual void cancel() = 0;
};

/// The head with its whole body. Fails as ResponseStream::read() does, and with kStreamBroken for a
/// body whose end is not accepted.
boost::asio::awaitable<Result<Response>> readWhole(ResponseStream& stream, UnframedBody unframed);

struct ClientSettings {
  /// Translates the address of an endpoint into the one to connect to; empty: it stays as it is.
  std::function<Endpoint(const Endpoint&)> addressOf;
  /// Address that connections leave from; empty: the system chooses.
  std::string sourceAddress;
};

/// HTTP/1.1 client with a pool of idle connections for each endpoint. Used on one thread.
/// Errors: kConnectFailed means that no byte of the request left; kOutcomeUnknown that it may have;
/// kDeadlineExceeded that the answer's header did not come in time.
class Client {
 public:
  explicit Client(boost::asio::any_io_executor executor, ClientSettings settings = {});

  /// Sends a request and reads the whole response.
  boost::asio::awaitable<Result<Response>> exchange(Endpoint endpoint, Request request,
                                                    ExchangeOptions options = {});
  /// Sends a request and reads the response's header.
  boost::asio::awaitable<Result<std::unique_ptr<ResponseStream>>> open(
      Endpoint endpoint, Request request, ExchangeOptions options = {});

  /// The two steps of open(). Fails with kConnectFailed: nothing was sent.
  boost::asio::awaitable<Result<ClientConnection>> connect(ConnectionPath path,
                                                           ConnectOptions options);
  /// Options that concern the connection are ignored.
  boost::asio::awaitable<Result<std::unique_ptr<ResponseStream>>> send(ClientConnection connection,
                                                                       Request request,
                                                                       ExchangeOptions options);
  /// Takes an idle connection of any path to the endpoint that satisfies `usable`; see
  /// ConnectOptions::usedSince and ConnectOptions::request.
  std::optional<ClientConnection> takeIdle(const Endpoint& endpoint,
                                           const std::function<bool(const ConnectionPath&)>& usable,
                                           MonotonicTime usedSince, RequestKey request = {});
  /// Returns a connection on which nothing was sent to the pool.
  void release(const ClientConnection& connection);

  /// The process at this address is another one now: no connection that was made until now, on any
  /// path, serves a further request. Those in use end with their exchange.
  void dropConnections(const Endpoint& endpoint);
  /// The same for connections through this proxy.
  void dropConnectionsThrough(const Endpoint& proxy);
  /// Closes idle direct connections to the endpoint.
  void closeIdleDirect(const Endpoint& endpoint);

 private:
  std::shared_ptr<ClientState> state_;
};

}  // namespace calicodrift::http
