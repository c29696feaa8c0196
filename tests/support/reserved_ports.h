#pragma once

#include <unistd.h>

#include <boost/asio.hpp>
#include <list>
#include <stdexcept>

#include "common/endpoint.h"

namespace calicodrift::testing {

/// Part of the ports that the system does not give out by itself.
struct PortRange {
  unsigned first = 0;
  unsigned count = 0;
  /// Distance between the places at which processes that run side by side begin.
  unsigned perProcess = 0;
};

/// For nodes of fleets in one process.
inline constexpr PortRange kFleetPorts{30'000, 2'700, 64};
/// For processes that soaks start.
inline constexpr PortRange kSoakPorts{10'000, 20'000, 256};

/// TCP ports of 127.0.0.1 that no other process gets while this object lives, also while the node
/// that listens there is being restarted. Each is held by a bound socket that does not listen.
class ReservedPorts {
 public:
  ReservedPorts(boost::asio::any_io_executor executor, PortRange range)
      : executor_(std::move(executor)),
        range_(range),
        next_(static_cast<unsigned>(::getpid()) * range.perProcess) {}

  Endpoint reserve() {
    for (unsigned tried = 0; tried < range_.count; ++tried) {
      const auto port = static_cast<std::uint16_t>(range_.first + next_++ % range_.count);
      if (hold(port)) {
        return {"127.0.0.1", port};
      }
    }
    throw std::runtime_error("all ports of the range are in use");
  }

 private:
  using Acceptor = boost::asio::ip::tcp::acceptor;

  bool hold(std::uint16_t port) {
    Acceptor holder(executor_);
    holder.open(boost::asio::ip::tcp::v4());
    boost::system::error_code code;
    holder.bind({boost::asio::ip::make_address("127.0.0.1"), port}, code);
    if (code) {
      return false;
    }
    // Only now, so that the bind fails where another process holds the port. The node's listener
    // has this option, too, and may share the port with a socket that does not listen.
    holder.set_option(Acceptor::reuse_address(true));
    holders_.push_back(std::move(holder));
    return true;
  }

  boost::asio::any_io_executor executor_;
  PortRange range_;
  unsigned next_;
  std::list<Acceptor> holders_;
};

}  // namespace calicodrift::testing
