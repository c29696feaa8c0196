#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "control/control_plane.h"
#include "peer/udp_transport.h"

/// Many nodes' control sides in one process, for measurements at sizes where real processes don't
/// fit. They run the product's own control::ControlPlane over real UDP sockets.
namespace calicodrift::hollow {

/// UDP transport that can go silent both ways, as a crashed process does.
class SilenceableTransport : public peer::Transport {
 public:
  explicit SilenceableTransport(boost::asio::io_context& context) : inner_(context) {}

  Result<Endpoint> listen(const Endpoint& endpoint) { return inner_.listen(endpoint); }
  void send(const Endpoint& to, peer::Channel channel, std::string payload) override;
  void setReceiver(peer::Channel channel, Receiver receiver) override;
  /// The socket stays open, so that no other process gets its port.
  void silence() { silent_ = true; }
  const std::map<peer::Channel, peer::ChannelTraffic>& traffic() const { return inner_.traffic(); }

 private:
  peer::UdpTransport inner_;
  bool silent_ = false;
};

/// One node's control side without a data path. Used on the context's one thread.
class HollowNode {
 public:
  explicit HollowNode(boost::asio::io_context& context);

  /// Binds a UDP socket; the system chooses the port.
  Result<Endpoint> listen(const std::string& address);
  /// @param settings without the endpoint, which listen() found.
  void start(control::ControlPlaneSettings settings, config::BundleHolder::Listener onBundle);
  /// Goes silent towards its peers without a word.
  void fail();
  void leave() { control_->leave(); }
  bool running() const { return running_; }
  /// Only after start().
  control::ControlPlane& control() { return *control_; }
  const Endpoint& endpoint() const { return endpoint_; }
  const std::map<peer::Channel, peer::ChannelTraffic>& traffic() const {
    return transport_.traffic();
  }

 private:
  boost::asio::io_context& context_;
  SilenceableTransport transport_;
  http::Client client_;
  prometheus::Registry registry_;
  Endpoint endpoint_;
  std::unique_ptr<control::ControlPlane> control_;
  bool running_ = false;
};

}  // namespace calicodrift::hollow
