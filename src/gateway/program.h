#pragma once

#include <functional>

#include "gateway/gateway_node.h"

namespace calicodrift::gateway {

/// Makes the ports for one run of the program; they live as long as the returned object.
class PortFactory {
 public:
  virtual ~PortFactory() = default;
  virtual GatewayPorts make(http::Client& client, const GatewaySettings& settings) = 0;
};

/// Runs a gateway until it is stopped: SIGTERM drains it, SIGHUP tells that its settings file has
/// changed. Returns the exit code.
int runGateway(int argc, const char* const* argv, PortFactory& ports);

}  // namespace calicodrift::gateway
