#include "hollow/hollow_node.h"

#include <boost/asio.hpp>

namespace calicodrift::hollow {

void SilenceableTransport::send(const Endpoint& to, peer::Channel channel, std::string payload) {
  if (!silent_) {
    inner_.send(to, channel, std::move(payload));
  }
}

void SilenceableTransport::setReceiver(peer::Channel channel, Receiver receiver) {
  inner_.setReceiver(channel, [this, receiver = std::move(receiver)](const Endpoint& from,
                                                                     std::string_view payload) {
    if (!silent_) {
      receiver(from, payload);
    }
  });
}

HollowNode::HollowNode(boost::asio::io_context& context)
    : context_(context), transport_(context), client_(context.get_executor()) {}

Result<Endpoint> HollowNode::listen(const std::string& address) {
  Result<Endpoint> endpoint = transport_.listen({address, 0});
  if (endpoint) {
    endpoint_ = endpoint.value();
  }
  return endpoint;
}

void HollowNode::start(control::ControlPlaneSettings settings,
                       config::BundleHolder::Listener onBundle) {
  settings.self.endpoint = endpoint_;
  const control::ControlPlaneEnvironment environment{context_.get_executor(), transport_, client_,
                                                     registry_};
  control_ = std::make_unique<control::ControlPlane>(std::move(settings), environment,
                                                     std::move(onBundle));
  control_->start();
  running_ = true;
}

void HollowNode::fail() {
  transport_.silence();
  running_ = false;
}

}  // namespace calicodrift::hollow
