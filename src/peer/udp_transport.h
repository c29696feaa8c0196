#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "peer/transport.h"

namespace calicodrift::peer {

/// What one channel has sent and received since the start, payload bytes with the channel byte.
struct ChannelTraffic {
  std::uint64_t sentMessages = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedMessages = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t dropped = 0;
};

/// Transport over one UDP socket. Used on the context's one thread.
class UdpTransport : public Transport {
 public:
  explicit UdpTransport(boost::asio::io_context& context);
  ~UdpTransport() override;
  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;

  /// Port 0 lets the system choose. Fails with kSettingsInvalid where the address can't be bound.
  Result<Endpoint> listen(const Endpoint& endpoint);
  void send(const Endpoint& to, Channel channel, std::string payload) override;
  void setReceiver(Channel channel, Receiver receiver) override;
  const std::map<Channel, ChannelTraffic>& traffic() const { return traffic_; }

 private:
  void receiveNext();
  void dispatch(std::size_t length);

  static constexpr std::size_t kReceiveBufferBytes = 2048;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, kReceiveBufferBytes> buffer_{};
  std::map<Channel, Receiver> receivers_;
  std::map<Channel, ChannelTraffic> traffic_;
};

}  // namespace calicodrift::peer
