#include "stoppable_server.h"

#include <sys/socket.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using Tcp = asio::ip::tcp;
using asio::awaitable;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// What the other side has to read an end and to close.
constexpr Milliseconds kLinger{2000};

http::Request requestFrom(bhttp::request<bhttp::string_body>&& message) {
  http::Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.add(std::string(field.name_string()), std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

}  // namespace

struct StoppableServer::State {
  State(asio::io_context& context, http::Handler handler, Unframed unframed)
      : handler(std::move(handler)), unframed(std::move(unframed)), acceptor(context) {}

  awaitable<void> untilRunning() {
    asio::steady_timer timer(acceptor.get_executor());
    while (monotonicNow() < stoppedUntil) {
      timer.expires_at(stoppedUntil);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  http::Handler handler;
  Unframed unframed;
  Tcp::acceptor acceptor;
  std::uint16_t port = 0;
  MonotonicTime stoppedUntil{};
  std::vector<std::weak_ptr<Tcp::socket>> sockets;
  /// Ids of requests that the process reads once it runs.
  std::multiset<std::string> unread;
};

class StoppableServer::Writer : public http::ResponseWriter {
 public:
  Writer(std::shared_ptr<State> state, Socket socket, bool unframed)
      : state_(std::move(state)), socket_(std::move(socket)), unframed_(unframed) {}

  awaitable<Result<void>> send(http::Response response) override {
    answered_ = true;
    const std::string framing =
        unframed_ ? "" : "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    std::string bytes = headOf(response, framing) + response.body;
    const Result<void> written = co_await write(std::move(bytes));
    if (written && unframed_) {
      finish();
    }
    co_return written;
  }
  awaitable<Result<void>> startStream(http::Response response) override {
    answered_ = true;
    streamStarted_ = true;
    std::string bytes = headOf(response, unframed_ ? "" : "Transfer-Encoding: chunked\r\n");
    co_return co_await write(std::move(bytes));
  }
  awaitable<Result<void>> writeChunk(std::string_view bytes) override {
    std::ostringstream chunk;
    if (unframed_) {
      chunk << bytes;
    } else {
      chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    }
    std::string text = chunk.str();
    co_return co_await write(std::move(text));
  }
  awaitable<Result<void>> endStream() override {
    if (!unframed_) {
      co_return co_await write("0\r\n\r\n");
    }
    co_await state_->untilRunning();
    finish();
    co_return boost::outcome_v2::success();
  }
  void abort() override {
    broken_ = true;
    boost::system::error_code ignored;
    socket_->set_option(asio::socket_base::linger(true, 0), ignored);
    socket_->close(ignored);
  }
  /// Handlers look at callerGone() instead.
  void onCallerGone(std::function<void()> /*callback*/) override {}
  bool callerGone() const override {
    char byte = 0;
    const auto count = ::recv(socket_->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool nothingYet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return broken_ || (count <= 0 && !nothingYet);
  }
  bool streamStarted() const override { return streamStarted_; }

  /// Whether another request may follow on the connection.
  bool keepsAlive() const { return answered_ && !unframed_ && !broken_; }

 private:
  std::string headOf(const http::Response& response, const std::string& framing) const {
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " Status\r\n" + framing;
    for (const http::Header& header : response.headers.all()) {
      head += header.name + ": " + header.value + "\r\n";
    }
    return head + (unframed_ ? "Connection: close\r\n\r\n" : "\r\n");
  }
  awaitable<Result<void>> write(std::string bytes) {
    co_await state_->untilRunning();
    auto [code, count] = co_await asio::async_write(*socket_, asio::buffer(bytes), kAwait);
    if (code) {
      broken_ = true;
      co_return fail(ErrorKind::kCallerGone, code.message());
    }
    co_return boost::outcome_v2::success();
  }
  void finish() {
    boost::system::error_code ignored;
    socket_->shutdown(Tcp::socket::shutdown_send, ignored);
  }

  std::shared_ptr<State> state_;
  Socket socket_;
  bool unframed_;
  bool answered_ = false;
  bool streamStarted_ = false;
  bool broken_ = false;
};

StoppableServer::StoppableServer(asio::io_context& context, http::Handler handler,
                                 Unframed unframed)
    : state_(std::make_shared<State>(context, std::move(handler), std::move(unframed))) {}

StoppableServer::~StoppableServer() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
}

Endpoint StoppableServer::listen() {
  Tcp::acceptor& acceptor = state_->acceptor;
  acceptor.open(Tcp::v4());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind({asio::ip::make_address("127.0.0.1"), state_->port});
  acceptor.listen();
  state_->port = acceptor.local_endpoint().port();
  asio::co_spawn(acceptor.get_executor(), accept(state_), asio::detached);
  return {"127.0.0.1", state_->port};
}

void StoppableServer::standStill(Milliseconds time) {
  state_->stoppedUntil = std::max(state_->stoppedUntil, monotonicNow() + time);
}

bool StoppableServer::standsStill() const {
  return monotonicNow() < state_->stoppedUntil;
}

awaitable<void> StoppableServer::untilRunning() {
  return state_->untilRunning();
}

std::vector<std::string> StoppableServer::crash() {
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
  for (const std::weak_ptr<Tcp::socket>& weak : state_->sockets) {
    if (const Socket socket = weak.lock()) {
      socket->shutdown(Tcp::socket::shutdown_both, ignored);
      socket->close(ignored);
    }
  }
  state_->sockets.clear();
  state_->stoppedUntil = {};
  return {state_->unread.begin(), state_->unread.end()};
}

awaitable<void> StoppableServer::accept(std::shared_ptr<State> state) {
  for (;;) {
    auto [code, socket] = co_await state->acceptor.async_accept(kAwait);
    if (code) {
      co_return;
    }
    auto open = std::make_shared<Tcp::socket>(std::move(socket));
    boost::system::error_code ignored;
    open->set_option(Tcp::no_delay(true), ignored);
    std::erase_if(state->sockets, [](const auto& weak) { return weak.expired(); });
    state->sockets.push_back(open);
    asio::co_spawn(open->get_executor(), serve(state, open), asio::detached);
  }
}

awaitable<void> StoppableServer::serve(std::shared_ptr<State> state, Socket socket) {
  boost::beast::flat_buffer buffer;
  for (bool more = true; more;) {
    bhttp::request<bhttp::string_body> message;
    auto [code, count] = co_await bhttp::async_read(*socket, buffer, message, kAwait);
    if (code) {
      co_await state->untilRunning();
      co_return;
    }
    http::Request request = requestFrom(std::move(message));
    boost::system::error_code ignored;
    request.headers.set(kPeerAddress, socket->remote_endpoint(ignored).address().to_string());
    const auto unread = state->unread.insert(request.headers.get(http::kRequestIdHeader));
    co_await state->untilRunning();
    state->unread.erase(unread);
    // The process may have ended while it stood still.
    if (!socket->is_open()) {
      co_return;
    }
    Writer writer(state, socket, state->unframed(request));
    co_await state->handler(request, writer);
    more = writer.keepsAlive();
  }
  co_await linger(socket);
}

/// Closes once the other side has, for bytes that were not read would turn the end into a reset.
awaitable<void> StoppableServer::linger(Socket socket) {
  asio::steady_timer timer(socket->get_executor(), kLinger);
  timer.async_wait([socket](boost::system::error_code code) {
    boost::system::error_code ignored;
    if (!code) {
      socket->close(ignored);
    }
  });
  char byte = 0;
  co_await socket->async_read_some(asio::buffer(&byte, 1), kAwait);
  timer.cancel();
  boost::system::error_code ignored;
  socket->close(ignored);
}

}  // namespace calicodrift::testing
