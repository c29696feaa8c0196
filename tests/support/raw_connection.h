#pragma once

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <string>

#include "common/endpoint.h"

namespace calicodrift::testing {

/// A caller that writes bytes as it likes, well-formed or not.
class RawConnection {
 public:
  /// @param receiveBuffer bytes that the system takes in unread; 0 for its default.
  explicit RawConnection(const Endpoint& endpoint, int receiveBuffer = 0) : socket_(context_) {
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::make_address(endpoint.address),
                                                 endpoint.port);
    socket_.open(address.protocol());
    if (receiveBuffer > 0) {
      socket_.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
    }
    socket_.connect(address);
    const timeval timeout{kPatienceSeconds, 0};
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  }

  /// False if the connection is closed.
  bool send(const std::string& bytes) {
    boost::system::error_code code;
    boost::asio::write(socket_, boost::asio::buffer(bytes), code);
    return !code;
  }
  /// Reads until `end` has come, or the connection ends; all that came so far.
  const std::string& readUntil(const std::string& end) {
    while (received_.find(end) == std::string::npos && readMore()) {
    }
    return received_;
  }
  /// Reads until the other side closes. `closedCleanly()` tells a close from a reset.
  const std::string& readAll() {
    while (readMore()) {
    }
    return received_;
  }
  bool closedCleanly() const { return closedCleanly_; }

 private:
  bool readMore() {
    char piece[4096];
    const auto count = ::recv(socket_.native_handle(), piece, sizeof piece, 0);
    closedCleanly_ = count == 0;
    if (count > 0) {
      received_.append(piece, static_cast<std::size_t>(count));
    }
    return count > 0;
  }

  static constexpr int kPatienceSeconds = 20;
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool closedCleanly_ = false;
};

}  // namespace calicodrift::testing
