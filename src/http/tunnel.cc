#include "http/tunnel.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio.hpp>
#include <memory>

#include "http/peer_close.h"

namespace calicodrift::http {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using asio::awaitable;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kPieceBytes = 8192;
/// After the server's end the caller has so long to close.
constexpr Milliseconds kLingerTime{1000};
constexpr Milliseconds kIdleCheckInterval{5000};

void closeSocket(Tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.close(ignored);
}

/// Closes so that the other side sees a reset and not an end.
void resetSocket(Tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

/// The two ends while bytes pass between them. Outlived by the sockets, which belong to the
/// coroutine that waits for both directions to end.
class Passing {
 public:
  Passing(Tcp::socket& caller, Tcp::socket& server, TunnelOptions options)
      : caller_(caller),
        server_(server),
        options_(std::move(options)),
        ended_(caller.get_executor()) {
    ended_.expires_at(MonotonicTime::max());
  }

  awaitable<void> passRequests(std::string early) {
    bool open = !callerHasClosed();
    if (open && !early.empty()) {
      open = co_await write(server_, early.data(), early.size());
      totals_.fromCaller += early.size();
    }
    if (open) {
      co_await passRequestPieces();
    }
    // The caller's close ends the server's work.
    closeSocket(server_);
    finishDirection();
  }

  awaitable<void> passAnswers() {
    std::array<char, kPieceBytes> piece{};
    for (;;) {
      auto [code, count] = co_await server_.async_read_some(asio::buffer(piece), kAwait);
      if (code) {
        endAnswers(code);
        break;
      }
      noteBytes();
      totals_.fromServer += count;
      const bool written = co_await write(caller_, piece.data(), count);
      if (!written) {
        closeSocket(server_);
        break;
      }
    }
    finishDirection();
  }

  /// Waits until both directions have ended.
  awaitable<void> wait() {
    while (directions_ > 0) {
      ended_.expires_after(serverEnded_ ? kLingerTime : kIdleCheckInterval);
      const auto [code] = co_await ended_.async_wait(kAwait);
      const bool idle = monotonicNow() - lastBytesAt_ > options_.idleTimeout;
      if (!code && (idle || serverEnded_)) {
        closeSocket(caller_);
        closeSocket(server_);
      }
    }
  }

  const TunnelTotals& totals() const { return totals_; }

 private:
  /// What a caller has sent before it closed must not begin work any more. Callers close only when
  /// they have their answers, or want none.
  bool callerHasClosed() { return peerHasClosed(caller_.native_handle()); }

  awaitable<void> passRequestPieces() {
    std::array<char, kPieceBytes> piece{};
    for (;;) {
      auto [code, count] = co_await caller_.async_read_some(asio::buffer(piece), kAwait);
      if (code || callerHasClosed()) {
        co_return;
      }
      noteBytes();
      totals_.fromCaller += count;
      const bool written = co_await write(server_, piece.data(), count);
      if (!written) {
        // What the server has answered until now is still passed on, unless it has broken off.
        co_return;
      }
    }
  }

  static awaitable<bool> write(Tcp::socket& to, const char* data, std::size_t count) {
    auto [code, written] = co_await asio::async_write(to, asio::buffer(data, count), kAwait);
    co_return !code;
  }

  void endAnswers(boost::system::error_code code) {
    if (code == asio::error::eof) {
      if (options_.onServerEnd) {
        options_.onServerEnd();
      }
      boost::system::error_code ignored;
      caller_.shutdown(Tcp::socket::shutdown_send, ignored);
      serverEnded_ = true;
    } else {
      resetSocket(caller_);
    }
  }

  void noteBytes() { lastBytesAt_ = monotonicNow(); }

  void finishDirection() {
    --directions_;
    ended_.cancel();
  }

  Tcp::socket& caller_;
  Tcp::socket& server_;
  TunnelOptions options_;
  asio::steady_timer ended_;
  TunnelTotals totals_;
  MonotonicTime lastBytesAt_ = monotonicNow();
  int directions_ = 2;
  bool serverEnded_ = false;
};

awaitable<void> passRequestsOf(std::shared_ptr<Passing> passing, std::string early) {
  co_await passing->passRequests(std::move(early));
}

awaitable<void> passAnswersOf(std::shared_ptr<Passing> passing) {
  co_await passing->passAnswers();
}

}  // namespace

awaitable<TunnelTotals> passBytes(boost::beast::tcp_stream& caller, std::string early,
                                  boost::beast::tcp_stream& server, TunnelOptions options) {
  caller.expires_never();
  server.expires_never();
  auto passing = std::make_shared<Passing>(caller.socket(), server.socket(), std::move(options));
  const auto executor = caller.get_executor();
  asio::co_spawn(executor, passRequestsOf(passing, std::move(early)), asio::detached);
  asio::co_spawn(executor, passAnswersOf(passing), asio::detached);
  co_await passing->wait();
  closeSocket(caller.socket());
  closeSocket(server.socket());
  co_return passing->totals();
}

}  // namespace calicodrift::http
