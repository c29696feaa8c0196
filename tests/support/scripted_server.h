#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/clock.h"
#include "common/endpoint.h"
#include "http/message.h"

namespace calicodrift::testing {

/// What a ScriptedServer does with a connection after it has written an answer's bytes.
enum class ConnectionEnd {
  /// Waits for the next request.
  kKeep,
  /// Sends FIN.
  kClose,
  kReset,
  /// Sends nothing more and stays open.
  kSilence,
  /// The process ends: nothing listens any more, and all connections send FIN.
  kCrash,
};

/// The bytes of an answer as they are written, head included, in pieces.
struct ScriptedAnswer {
  std::vector<std::string> pieces;
  ConnectionEnd end = ConnectionEnd::kKeep;
  Milliseconds pieceGap{0};
  /// The server stops for `stopTime` before it writes this piece; at the count of the pieces before
  /// it ends the connection, and at one more after that.
  std::size_t stopBefore = 0;
  Milliseconds stopTime{0};
  /// If not empty, written after the pieces again and again until the other side closes. After
  /// kMostEndlessBytes the server falls silent, to spare the memory of a reader that holds them.
  std::string endless{};
};

/// An HTTP server whose answers are written byte by byte as a test says, framed or not, and ended
/// in any way. Used on the context's one thread.
class ScriptedServer {
 public:
  using Script = std::function<ScriptedAnswer(const http::Request&)>;

  ScriptedServer(boost::asio::io_context& context, Script script)
      : state_(std::make_shared<State>(context, std::move(script))) {
    listen(0);
  }
  ~ScriptedServer() { crash(); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  Endpoint endpoint() const { return {"127.0.0.1", port_}; }
  void setScript(Script script) { state_->script = std::move(script); }
  const std::vector<http::Request>& requests() const { return state_->requests; }
  /// How many bytes of endless pieces the other sides and their kernels took.
  std::size_t endlessBytes() const { return state_->endlessBytes; }
  /// Connections that are open now.
  std::size_t openConnections() const {
    return static_cast<std::size_t>(
        std::count_if(state_->sockets.begin(), state_->sockets.end(),
                      [](const auto& socket) { return !socket.expired(); }));
  }
  /// See ConnectionEnd::kCrash.
  void crash() { state_->crash(); }
  /// Reads, writes and accepts nothing for so long, as a process that does not run; its kernel goes
  /// on.
  void stopFor(Milliseconds time) { state_->stopFor(time); }
  /// The end of the last stop that has begun.
  MonotonicTime stoppedUntil() const { return state_->stoppedUntil; }
  /// Resets each new connection for so long, as a server that has enough of them.
  void resetConnectionsFor(Milliseconds time) { state_->resetUntil = monotonicNow() + time; }
  /// Listens at the same address again after a crash.
  void restart() { listen(port_); }

  static std::string head(const std::string& fields, const std::string& status = "200 OK") {
    return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n";
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Socket = std::shared_ptr<Tcp::socket>;

  struct State {
    State(boost::asio::io_context& context, Script script)
        : script(std::move(script)), acceptor(context) {}
    void crash() {
      boost::system::error_code ignored;
      acceptor.close(ignored);
      for (const std::weak_ptr<Tcp::socket>& weak : sockets) {
        if (const Socket socket = weak.lock()) {
          // Unread bytes would turn the end into a reset.
          socket->shutdown(Tcp::socket::shutdown_both, ignored);
          socket->close(ignored);
        }
      }
      sockets.clear();
    }
    void stopFor(Milliseconds time) { stoppedUntil = monotonicNow() + time; }
    boost::asio::awaitable<void> untilRunning() {
      boost::asio::steady_timer timer(acceptor.get_executor());
      while (monotonicNow() < stoppedUntil) {
        timer.expires_at(stoppedUntil);
        co_await timer.async_wait(boost::asio::use_awaitable);
      }
    }
    Script script;
    MonotonicTime stoppedUntil{};
    MonotonicTime resetUntil{};
    Tcp::acceptor acceptor;
    std::vector<std::weak_ptr<Tcp::socket>> sockets;
    std::vector<http::Request> requests;
    std::size_t endlessBytes = 0;
  };

  void listen(std::uint16_t port) {
    Tcp::acceptor& acceptor = state_->acceptor;
    acceptor.open(Tcp::v4());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port});
    acceptor.listen();
    port_ = acceptor.local_endpoint().port();
    boost::asio::co_spawn(acceptor.get_executor(), accept(state_), boost::asio::detached);
  }

  static boost::asio::awaitable<void> accept(std::shared_ptr<State> state) {
    for (;;) {
      auto [code, socket] =
          co_await state->acceptor.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
      if (code) {
        co_return;
      }
      co_await state->untilRunning();
      auto open = std::make_shared<Tcp::socket>(std::move(socket));
      open->set_option(Tcp::no_delay(true));
      if (monotonicNow() < state->resetUntil) {
        open->set_option(boost::asio::socket_base::linger(true, 0));
        open->close();
        continue;
      }
      state->sockets.push_back(open);
      boost::asio::co_spawn(open->get_executor(), serve(state, open), boost::asio::detached);
    }
  }

  static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, Socket socket) {
    namespace bhttp = boost::beast::http;
    boost::beast::flat_buffer buffer;
    for (;;) {
      bhttp::request<bhttp::string_body> message;
      auto [code, count] = co_await bhttp::async_read(
          *socket, buffer, message, boost::asio::as_tuple(boost::asio::use_awaitable));
      if (code) {
        co_return;
      }
      co_await state->untilRunning();
      if (!socket->is_open()) {
        // The process ended while it stood still.
        co_return;
      }
      http::Request request;
      request.method = std::string(message.method_string());
      request.target = std::string(message.target());
      for (const auto& field : message) {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
      }
      request.body = std::move(message.body());
      state->requests.push_back(request);
      const ScriptedAnswer answer = state->script(request);
      if (!co_await write(*state, answer, *socket)) {
        co_return;
      }
      stopIfDue(*state, answer, answer.pieces.size());
      co_await state->untilRunning();
      if (!socket->is_open()) {
        co_return;
      }
      if (answer.end != ConnectionEnd::kKeep) {
        co_await end(*state, answer, *socket);
        co_return;
      }
    }
  }

  static void stopIfDue(State& state, const ScriptedAnswer& answer, std::size_t written) {
    if (answer.stopTime.count() > 0 && answer.stopBefore == written) {
      state.stopFor(answer.stopTime);
    }
  }

  static boost::asio::awaitable<bool> write(State& state, const ScriptedAnswer& answer,
                                            Tcp::socket& socket) {
    for (std::size_t number = 0; number < answer.pieces.size(); ++number) {
      stopIfDue(state, answer, number);
      co_await state.untilRunning();
      auto [code, count] =
          co_await boost::asio::async_write(socket, boost::asio::buffer(answer.pieces[number]),
                                            boost::asio::as_tuple(boost::asio::use_awaitable));
      if (code) {
        co_return false;
      }
      if (answer.pieceGap.count() > 0) {
        co_await pause(socket, answer.pieceGap);
      }
    }
    if (!answer.endless.empty()) {
      co_await writeEndless(state, answer, socket);
      co_return false;
    }
    co_return true;
  }

  static boost::asio::awaitable<void> writeEndless(State& state, const ScriptedAnswer& answer,
                                                   Tcp::socket& socket) {
    socket.set_option(boost::asio::socket_base::send_buffer_size(kSendBufferBytes));
    while (state.endlessBytes < kMostEndlessBytes) {
      auto [code, count] =
          co_await boost::asio::async_write(socket, boost::asio::buffer(answer.endless),
                                            boost::asio::as_tuple(boost::asio::use_awaitable));
      state.endlessBytes += count;
      if (code) {
        co_return;
      }
      if (answer.pieceGap.count() > 0) {
        co_await pause(socket, answer.pieceGap);
      }
    }
    co_await pause(socket, kSilence);
  }

  static boost::asio::awaitable<void> end(State& state, const ScriptedAnswer& answer,
                                          Tcp::socket& socket) {
    boost::system::error_code ignored;
    switch (answer.end) {
      case ConnectionEnd::kClose:
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
        stopIfDue(state, answer, answer.pieces.size() + 1);
        co_await pause(socket, kLinger);
        break;
      case ConnectionEnd::kReset:
        socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
        break;
      case ConnectionEnd::kCrash:
        state.crash();
        break;
      case ConnectionEnd::kSilence:
        co_await pause(socket, kSilence);
        break;
      case ConnectionEnd::kKeep:
        break;
    }
  }

  static boost::asio::awaitable<void> pause(Tcp::socket& socket, Milliseconds time) {
    boost::asio::steady_timer timer(socket.get_executor(), time);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  /// The other side reads the end meanwhile.
  static constexpr Milliseconds kLinger{50};
  static constexpr Milliseconds kSilence{20'000};
  /// Small, so that the bytes that were written are about those that the other side took.
  static constexpr int kSendBufferBytes = 65'536;
  static constexpr std::size_t kMostEndlessBytes = 128'000'000;

  std::shared_ptr<State> state_;
  std::uint16_t port_ = 0;
};

}  // namespace calicodrift::testing
