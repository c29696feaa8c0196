#include "peer/udp_transport.h"

#include <boost/asio.hpp>

namespace calicodrift::peer {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

UdpTransport::UdpTransport(asio::io_context& context) : socket_(context) {}

UdpTransport::~UdpTransport() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

Result<Endpoint> UdpTransport::listen(const Endpoint& endpoint) {
  const Udp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
  boost::system::error_code code;
  socket_.open(address.protocol(), code);
  if (!code) {
    socket_.bind(address, code);
  }
  if (code) {
    return fail(ErrorKind::kSettingsInvalid,
                "cannot listen on UDP " + endpoint.toString() + ": " + code.message());
  }
  socket_.non_blocking(true, code);
  receiveNext();
  return Endpoint{endpoint.address, socket_.local_endpoint().port()};
}

void UdpTransport::send(const Endpoint& to, Channel channel, std::string payload) {
  ChannelTraffic& traffic = traffic_[channel];
  if (payload.size() > kMaxPayloadBytes) {
    ++traffic.dropped;
    return;
  }
  payload.insert(payload.begin(), static_cast<char>(channel));
  const Udp::endpoint address(asio::ip::make_address(to.address), to.port);
  boost::system::error_code code;
  // A full socket buffer loses the message, as the network may; the protocols repeat.
  socket_.send_to(asio::buffer(payload), address, 0, code);
  if (code) {
    ++traffic.dropped;
    return;
  }
  ++traffic.sentMessages;
  traffic.sentBytes += payload.size();
}

void UdpTransport::setReceiver(Channel channel, Receiver receiver) {
  receivers_[channel] = std::move(receiver);
}

void UdpTransport::receiveNext() {
  socket_.async_receive_from(asio::buffer(buffer_), sender_,
                             [this](boost::system::error_code code, std::size_t length) {
                               if (code == asio::error::operation_aborted) {
                                 return;
                               }
                               if (!code) {
                                 dispatch(length);
                               }
                               receiveNext();
                             });
}

void UdpTransport::dispatch(std::size_t length) {
  if (length == 0) {
    return;
  }
  const auto channel = static_cast<Channel>(buffer_[0]);
  const auto receiver = receivers_.find(channel);
  if (receiver == receivers_.end()) {
    return;
  }
  ChannelTraffic& traffic = traffic_[channel];
  ++traffic.receivedMessages;
  traffic.receivedBytes += length;
  const Endpoint from{sender_.address().to_string(), sender_.port()};
  receiver->second(from, std::string_view(buffer_.data(), length).substr(1));
}

}  // namespace calicodrift::peer
