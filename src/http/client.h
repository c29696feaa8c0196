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
#include "http/message.h"

namespace calicodrift::http {

struct ClientState;

/// Whether a request may go over a connection that was used before. A reused one may turn out to be
/// closed after the request was written; for a request that must not run twice, only a fresh one
/// makes a failed connect prove that nothing was sent.
enum class ConnectionUse { kPooled, kFresh };

/// Reason of a kConnectFailed: the machine answered that nothing listens at the port.
inline constexpr std::string_view kConnectionRefused = "connection_refused";

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
  std::size_t maxBodyBytes = 67'108'864;
  /// Written bytes that are not acknowledged for so long end the connection, so that a peer without
  /// power is noticed before any answer is due. 0 leaves it to the system.
  Milliseconds unacknowledgedTimeout{0};
  /// A plain pointer, as g++ 12 mishandles temporaries of aggregates with destructors in
  /// coroutines.
  ExchangeCanceller* canceller = nullptr;
  /// Asked once the connection is there, right before the first byte. Where it fails nothing is
  /// sent, the connection is kept and the exchange fails so. Must outlive the call.
  const std::function<Result<void>()>* beforeSend = nullptr;
  /// Set to how long the connection took where a new one was made. Must outlive the call.
  std::optional<Microseconds>* connectTime = nullptr;
  /// Set to when bytes of a successful response (2xx) last arrived. Must outlive the call.
  MonotonicTime* lastBytesAt = nullptr;
};

/// A response whose body is still arriving.
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;
  /// Status and headers; the body is empty.
  virtual const Response& head() const = 0;
  /// The next bytes of the body; an empty text is its end. A connection that breaks before the end
  /// fails with kStreamBroken, a pause longer than bodyTimeout with kDeadlineExceeded.
  virtual boost::asio::awaitable<Result<std::string>> read() = 0;
  /// Replaces ExchangeOptions::bodyTimeout for the next calls of read().
  virtual void setBodyTimeout(Milliseconds timeout) = 0;
  /// Closes the connection; a pending read() fails. Safe at any time.
  virtual void cancel() = 0;
};

/// The head with its whole body. Fails as ResponseStream::read() does.
boost::asio::awaitable<Result<Response>> readWhole(ResponseStream& stream);

/// HTTP/1.1 client with a pool of idle connections for each endpoint. Used on one thread.
/// Errors: kConnectFailed means that no byte of the request left; kOutcomeUnknown that it may have;
/// kDeadlineExceeded that the answer's header did not come in time.
class Client {
 public:
  /// Translates the address of an endpoint into the one to connect to.
  using AddressMap = std::function<Endpoint(const Endpoint&)>;

  /// @param addressOf empty: endpoints are connected to as they are.
  explicit Client(boost::asio::any_io_executor executor, AddressMap addressOf = {});

  /// Sends a request and reads the whole response.
  boost::asio::awaitable<Result<Response>> exchange(Endpoint endpoint, Request request,
                                                    ExchangeOptions options = {});
  /// Sends a request and reads the response's header.
  boost::asio::awaitable<Result<std::unique_ptr<ResponseStream>>> open(
      Endpoint endpoint, Request request, ExchangeOptions options = {});

  /// The process at this address is another one now: no connection that was made until now serves a
  /// further request. Those in use end with their exchange.
  void dropConnections(const Endpoint& endpoint);

 private:
  std::shared_ptr<ClientState> state_;
};

}  // namespace calicodrift::http
