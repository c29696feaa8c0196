#pragma once

#include <boost/asio.hpp>

#include "common/endpoint.h"

namespace calicodrift::testing {

/// An address at which connections are neither accepted nor refused: the listener's queue is full,
/// so that the kernel drops further SYNs.
class HangingListener {
 public:
  explicit HangingListener(boost::asio::io_context& context)
      : acceptor_(context), filler_(context) {
    const boost::asio::ip::tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen(0);
    filler_.connect(acceptor_.local_endpoint());
  }
  Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

 private:
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket filler_;
};

}  // namespace calicodrift::testing
