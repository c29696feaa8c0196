#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/server.h"

namespace calicodrift::testing {

/// An HTTP server that can stand still as a stopped process does: it accepts, reads, writes and
/// closes nothing meanwhile, while its kernel goes on to accept connections and to take bytes.
/// Answers may have neither a length nor chunks. Used on the context's one thread.
class StoppableServer {
 public:
  /// @param unframed tells the requests whose answers end with their connection.
  using Unframed = std::function<bool(const http::Request& request)>;

  StoppableServer(boost::asio::io_context& context, http::Handler handler, Unframed unframed);
  ~StoppableServer();
  StoppableServer(const StoppableServer&) = delete;
  StoppableServer& operator=(const StoppableServer&) = delete;

  /// At the address that it had, if it had one.
  Endpoint listen();
  void standStill(Milliseconds time);
  bool standsStill() const;
  /// Until it does not stand still, as the handler's next write waits.
  boost::asio::awaitable<void> untilRunning();
  /// The process ends: nothing listens, and all connections send FIN. Returns the ids of the
  /// requests that it had not read, as it stood still.
  std::vector<std::string> crash();

  /// Header that requests have at the handler: the address that they came from.
  static constexpr std::string_view kPeerAddress = "Peer-Address";

 private:
  class Writer;
  struct State;
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

  static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);
  static boost::asio::awaitable<void> serve(std::shared_ptr<State> state, Socket socket);
  static boost::asio::awaitable<void> linger(Socket socket);

  std::shared_ptr<State> state_;
};

}  // namespace calicodrift::testing
