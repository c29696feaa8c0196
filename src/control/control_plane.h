#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>

#include "bundle/signature.h"
#include "config/configuration.h"
#include "http/client.h"
#include "membership/membership.h"
#include "peer/transport.h"

namespace calicodrift::control {

struct ControlPlaneSettings {
  peer::PeerInfo self;
  membership::MembershipSettings membership;
  config::ConfigurationSettings configuration;
  bundle::SigningRule signingRule;
  /// Of random choices; different on each node.
  std::uint64_t seed = 0;
};

/// What a control plane works with; all must outlive it.
struct ControlPlaneEnvironment {
  boost::asio::any_io_executor executor;
  peer::Transport& transport;
  http::Client& client;
  prometheus::Registry& registry;
};

/// A node's control side on one peer transport: membership and configuration. The real router and
/// the hollow nodes of the capacity measurement both run it. Everything happens on the executor's
/// one thread.
class ControlPlane {
 public:
  /// @param onBundle called with each bundle that comes into force.
  ControlPlane(ControlPlaneSettings settings, const ControlPlaneEnvironment& environment,
               config::BundleHolder::Listener onBundle);

  /// Starts to act; runs until the executor's context stops.
  void start();
  /// Planned stop.
  void leave();

  membership::Membership& membership() { return membership_; }
  const membership::Membership& membership() const { return membership_; }
  config::Configuration& configuration() { return configuration_; }
  const config::Configuration& configuration() const { return configuration_; }

 private:
  boost::asio::awaitable<void> tickForever();

  boost::asio::any_io_executor executor_;
  peer::Transport& transport_;
  membership::Membership membership_;
  config::Configuration configuration_;
};

}  // namespace calicodrift::control
