#include "http/server.h"

#include <utility>

#include "http/client.h"
#include "http/server_connection.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using asio::awaitable;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

/// Measures how long a task that is ready now waits for its turn.
void measureLoopDelay(const std::shared_ptr<ServerState>& server) {
  if (std::exchange(server->measuresDelay, true)) {
    return;
  }
  asio::post(server->acceptor.get_executor(), [server, posted = monotonicNow()] {
    server->measuresDelay = false;
    server->admission.observeDelay(monotonicNow() - posted);
  });
}

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

/// Serves the connection, or closes it unread if the event loop is too late.
void takeConnection(const std::shared_ptr<ServerState>& server, Tcp::socket socket) {
  measureLoopDelay(server);
  if (!server->admission.admit(monotonicNow())) {
    ++server->refusedConnections;
    return;
  }
  const auto executor = server->acceptor.get_executor();
  asio::co_spawn(executor, runConnection(std::move(socket), server), asio::detached);
}

/// Takes the connections that the system has already accepted.
void acceptPending(const std::shared_ptr<ServerState>& server) {
  beast::error_code code;
  server->acceptor.non_blocking(true, code);
  while (!code) {
    Tcp::socket socket(server->acceptor.get_executor());
    server->acceptor.accept(socket, code);
    if (!code) {
      takeConnection(server, std::move(socket));
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
    takeConnection(server, std::move(socket));
    if (server->admission.overloaded()) {
      // One connection is accepted each time round the loop, and the loop is late.
      acceptPending(server);
    }
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

awaitable<Result<TunnelTotals>> ResponseWriter::tunnel(ClientConnection /*server*/,
                                                       TunnelOptions /*options*/) {
  co_return fail(ErrorKind::kInternal, "this writer has no connection for a tunnel");
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

void Server::setLimits(const ServerLimits& limits) {
  state_->limits = limits;
  state_->admission.setMaxDelay(limits.maxLoopDelay);
}

void Server::closeAfterAnswers() {
  state_->closing = true;
}

void Server::closeIdle() {
  const std::set<Connection*> idle = state_->idle;
  for (Connection* connection : idle) {
    connection->endIdleWait();
  }
}

void Server::stopAccepting() {
  state_->closing = true;
  state_->stopping = true;
  if (state_->acceptor.is_open()) {
    // Closing the acceptor would reset them.
    acceptPending(state_);
  }
  beast::error_code ignored;
  state_->acceptor.close(ignored);
}

std::size_t Server::activeRequests() const {
  return state_->active;
}
std::size_t Server::refusedConnections() const {
  return state_->refusedConnections;
}
std::size_t Server::failedHandlers() const {
  return state_->failedHandlers;
}
std::size_t Server::busyConnections() const {
  return state_->busy;
}
std::size_t Server::heldBodyBytes() const {
  return state_->heldBodyBytes;
}
std::size_t Server::openConnections() const {
  return state_->connections;
}

}  // namespace calicodrift::http
